/**
 * Failure domains in which the operator wants nothing more to start, as one owner knows them. A run becomes durable only by a
 * write that names the rows of its failure domains as absent; what is durable already is ordered only while that
 * is known well enough.
 */
import { sameRow, type Row, type RowKey } from '../store/row-store.js';

/** Where the operator's evacuations stand: one row each, whose key is the prefix and the name of the failure domain. */
export interface EvacuationSource {
  table: string;
  part: string;
  keyPrefix: string;
}

/** A failure domain was evacuated, or taken back. */
export interface EvacuationChange {
  failureDomain: string;
  isEvacuated: boolean;
  /** Of the operator's row: the present one, or the one that is gone. */
  version: number;
}

/** All of them. Moments are on the owner's monotonic clock, in ms. */
export class Evacuations {
  readonly #source: EvacuationSource;

  readonly #staleAfterMs: number;

  /** Versions of the rows of evacuated failure domains. */
  readonly #versions = new Map<string, number>();

  /** When the newest call was sent that told of each failure domain, where that was later than the last read of all. */
  readonly #toldAt = new Map<string, number>();

  /** When the last read of all rows was sent. */
  #readAt = -Infinity;

  constructor({
    source,
    staleAfterMs,
  }: {
    source: EvacuationSource;
    /** What is known is good for this long to order a start that is durable. */
    staleAfterMs: number;
  }) {
    this.#source = source;
    this.#staleAfterMs = staleAfterMs;
  }

  /** The range of the store's keys in which all of them stand. */
  get range(): { table: string; part: string; from: string; to: string } {
    const { table, part, keyPrefix } = this.#source;
    return { table, part, from: keyPrefix, to: `${keyPrefix}\uffff` };
  }

  /** Evacuated failure domains. */
  get all(): string[] {
    return [...this.#versions.keys()];
  }

  /** How old the last read of all is; Infinity before the first. */
  ageMs(now: number): number {
    return now - this.#readAt;
  }

  isEvacuated(failureDomain: string): boolean {
    return this.#versions.has(failureDomain);
  }

  /** A durable start may be ordered there: nothing older than the bound says that it isn't evacuated. */
  mayOrder(failureDomain: string, now: number): boolean {
    if (this.isEvacuated(failureDomain)) return false;
    return now - this.#knownAt(failureDomain) < this.#staleAfterMs;
  }

  /** What a write has to expect that lets something start in a failure domain. */
  expectedRow(failureDomain: string): RowKey & { version: number } {
    const { table, part, keyPrefix } = this.#source;
    return { table, part, key: `${keyPrefix}${failureDomain}`, version: 0 };
  }

  /** All rows, by a read that was sent at this moment. */
  noteRead(rows: readonly Row[], sentAt: number): EvacuationChange[] {
    if (sentAt < this.#readAt) return [];
    this.#readAt = sentAt;
    const told = rows.map((row) => this.#nameOf(row));
    const names = new Set([...this.#versions.keys(), ...told]);
    return [...names].flatMap((name) => this.#note(name, rows, sentAt));
  }

  /** The write that expected these failure domains not to be evacuated met other rows. */
  noteConflict(
    failureDomains: readonly string[],
    rows: readonly Row[],
    sentAt: number,
  ): EvacuationChange[] {
    return failureDomains.flatMap((name) => this.#note(name, rows, sentAt));
  }

  /** The write that expected these failure domains not to be evacuated was done. */
  noteConfirmed(failureDomains: readonly string[], sentAt: number): void {
    failureDomains.forEach((name) => this.#noteTold(name, sentAt));
  }

  #note(failureDomain: string, rows: readonly Row[], sentAt: number): EvacuationChange[] {
    // An answer that was asked for earlier may come later.
    if (sentAt < (this.#toldAt.get(failureDomain) ?? -Infinity)) return [];
    this.#noteTold(failureDomain, sentAt);
    const key = this.expectedRow(failureDomain);
    const version = rows.find((row) => sameRow(row, key))?.version;
    const earlier = this.#versions.get(failureDomain);
    if (version === earlier) return [];
    if (version === undefined) this.#versions.delete(failureDomain);
    else this.#versions.set(failureDomain, version);
    return [
      { failureDomain, isEvacuated: version !== undefined, version: version ?? earlier ?? 0 },
    ];
  }

  #noteTold(failureDomain: string, sentAt: number): void {
    this.#toldAt.set(failureDomain, Math.max(sentAt, this.#toldAt.get(failureDomain) ?? sentAt));
  }

  #knownAt(failureDomain: string): number {
    return Math.max(this.#readAt, this.#toldAt.get(failureDomain) ?? -Infinity);
  }

  #nameOf({ key }: Row): string {
    return key.slice(this.#source.keyPrefix.length);
  }
}
