/**
 * An owner's view of the failure domains that the operator has evacuated: nothing more may start there. A run becomes durable only
 * by a write that expects the evacuation rows of its failure domains to be absent; a run that is durable already is ordered only
 * while that is known recently enough.
 */
import { sameRow, type Row, type RowKey } from '../store/row-store.js';

/** Location of the operator's evacuations: one row per failure domain, with the key prefix followed by the domain's name as key. */
export interface EvacuationSource {
  table: string;
  part: string;
  keyPrefix: string;
}

/** A failure domain that was evacuated or reopened. */
export interface EvacuationChange {
  failureDomain: string;
  isEvacuated: boolean;
  /** Version of the operator's row; after reopening, of the deleted row. */
  version: number;
}

/** Times are on the owner's monotonic clock, in ms. */
export class Evacuations {
  readonly #source: EvacuationSource;

  readonly #staleAfterMs: number;

  /** Row versions by evacuated failure domain. */
  readonly #versions = new Map<string, number>();

  /** By failure domain: when the newest call was sent whose answer covered it. */
  readonly #confirmedAt = new Map<string, number>();

  /** When the last full read was sent. */
  #fullReadAt = -Infinity;

  constructor({
    source,
    staleAfterMs,
  }: {
    source: EvacuationSource;
    /** Starts that are durable may be ordered for this long after the state was last confirmed. */
    staleAfterMs: number;
  }) {
    this.#source = source;
    this.#staleAfterMs = staleAfterMs;
  }

  /** Key range of all evacuation rows. */
  get range(): { table: string; part: string; from: string; to: string } {
    const { table, part, keyPrefix } = this.#source;
    return { table, part, from: keyPrefix, to: `${keyPrefix}\uffff` };
  }

  get evacuatedDomains(): string[] {
    return [...this.#versions.keys()];
  }

  /** Age of the last full read; Infinity before the first. */
  ageMs(now: number): number {
    return now - this.#fullReadAt;
  }

  isEvacuated(failureDomain: string): boolean {
    return this.#versions.has(failureDomain);
  }

  /** True if a durable start may be ordered there: it was confirmed within `staleAfterMs` that the domain isn't evacuated. */
  mayOrderStart(failureDomain: string, now: number): boolean {
    if (this.isEvacuated(failureDomain)) return false;
    return now - this.#lastConfirmedAt(failureDomain) < this.#staleAfterMs;
  }

  /** Row that a write must expect to be absent if it makes starts in the failure domain durable. */
  expectedAbsentRow(failureDomain: string): RowKey & { version: number } {
    const { table, part, keyPrefix } = this.#source;
    return { table, part, key: `${keyPrefix}${failureDomain}`, version: 0 };
  }

  /** Applies a full read that was sent at `sentAt`. Returns what has changed. */
  applyRead(rows: readonly Row[], sentAt: number): EvacuationChange[] {
    if (sentAt < this.#fullReadAt) return [];
    this.#fullReadAt = sentAt;
    const found = rows.map((row) => this.#domainOf(row));
    const domains = new Set([...this.#versions.keys(), ...found]);
    return [...domains].flatMap((domain) => this.#applyRow(domain, rows, sentAt));
  }

  /** Applies the rows found by a write that failed because it expected these failure domains not to be evacuated. */
  applyConflict(
    failureDomains: readonly string[],
    rows: readonly Row[],
    sentAt: number,
  ): EvacuationChange[] {
    return failureDomains.flatMap((domain) => this.#applyRow(domain, rows, sentAt));
  }

  /** Applies the success of a write that expected these failure domains not to be evacuated. */
  applyConfirmedWrite(failureDomains: readonly string[], sentAt: number): void {
    failureDomains.forEach((domain) => this.#confirm(domain, sentAt));
  }

  #applyRow(failureDomain: string, rows: readonly Row[], sentAt: number): EvacuationChange[] {
    // Ignores answers to calls that were sent earlier than the newest applied one.
    if (sentAt < (this.#confirmedAt.get(failureDomain) ?? -Infinity)) return [];
    this.#confirm(failureDomain, sentAt);
    const key = this.expectedAbsentRow(failureDomain);
    const version = rows.find((row) => sameRow(row, key))?.version;
    const earlier = this.#versions.get(failureDomain);
    if (version === earlier) return [];
    if (version === undefined) this.#versions.delete(failureDomain);
    else this.#versions.set(failureDomain, version);
    return [
      { failureDomain, isEvacuated: version !== undefined, version: version ?? earlier ?? 0 },
    ];
  }

  #confirm(failureDomain: string, sentAt: number): void {
    this.#confirmedAt.set(
      failureDomain,
      Math.max(sentAt, this.#confirmedAt.get(failureDomain) ?? sentAt),
    );
  }

  #lastConfirmedAt(failureDomain: string): number {
    return Math.max(this.#fullReadAt, this.#confirmedAt.get(failureDomain) ?? -Infinity);
  }

  #domainOf({ key }: Row): string {
    return key.slice(this.#source.keyPrefix.length);
  }
}
