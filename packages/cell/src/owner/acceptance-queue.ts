/**
 * Submissions that entries hand to the owner while the store is slow: they go along with the owner's next write, so that they take
 * no turn of their own there.
 */
import type { AcceptanceCall, AcceptanceResult } from '@zincspan/core';
import { jobRowKey } from '../job/job-rows.js';
import { sameRow, type Row, type RowKey, type TransactResult } from '../store/row-store.js';

/** Submissions in one write: two entries each, beside the configuration's row. */
export const ACCEPTANCES_PER_WRITE = 10;

/** One that waits. */
export interface HandedAcceptance {
  key: RowKey;
  value: Buffer;
  configVersion: number;
  /** It isn't sent after this moment, on the monotonic clock, in ms. */
  until: number;
  /** A write that had it may have been done. */
  maybeDone: boolean;
  answer: (result: AcceptanceResult) => void;
}

/** Of one term. */
export class AcceptanceQueue {
  readonly #now: () => number;

  #waiting: HandedAcceptance[] = [];

  #closed = false;

  constructor(now: () => number) {
    this.#now = now;
  }

  get isEmpty(): boolean {
    return this.#waiting.length === 0;
  }

  add({ jobId, value, configVersion, timeoutMs }: AcceptanceCall): Promise<AcceptanceResult> {
    return new Promise((resolve) => {
      this.#putBack([
        {
          key: jobRowKey(jobId, 'submission'),
          value: Buffer.from(value),
          configVersion,
          until: this.#now() + timeoutMs,
          maybeDone: false,
          answer: resolve,
        },
      ]);
    });
  }

  /** Those of the next write: by one configuration, the newest, and none that comes too late. */
  take(): HandedAcceptance[] {
    this.#drop(({ until }) => until <= this.#now(), unsent('the time for it is over'));
    const newest = Math.max(...this.#waiting.map(({ configVersion }) => configVersion));
    this.#drop(({ configVersion }) => configVersion < newest, { outcome: 'config-changed' });
    // Two entries may hand the same job over, and a transaction may name a row once: the second one finds it there.
    const isFirst = ({ key }: HandedAcceptance, index: number): boolean =>
      this.#waiting.findIndex((other) => sameRow(other.key, key)) === index;
    const taken = this.#waiting.filter(isFirst).slice(0, ACCEPTANCES_PER_WRITE);
    this.#waiting = this.#waiting.filter((each) => !taken.includes(each));
    return taken;
  }

  /** Answers those that the write has settled; the others wait for the next one. */
  settle(taken: readonly HandedAcceptance[], result: TransactResult, configKey: RowKey): void {
    taken.forEach((each) => {
      const settled = settledBy(each, result, configKey);
      const maybeDone = each.maybeDone || result.outcome === 'unknown';
      if (settled === undefined) this.#putBack([{ ...each, maybeDone }]);
      else each.answer(settled);
    });
  }

  /** Another entry takes the cell: nothing more is sent. */
  close(): void {
    this.#closed = true;
    this.#drop(() => true, unsent('the cell has another owner'));
  }

  #putBack(acceptances: readonly HandedAcceptance[]): void {
    this.#waiting.push(...acceptances);
    if (this.#closed) this.close();
  }

  #drop(
    isDropped: (each: HandedAcceptance) => boolean,
    { outcome, detail = '' }: { outcome: 'config-changed' | 'refused'; detail?: string },
  ): void {
    const dropped = this.#waiting.filter(isDropped);
    this.#waiting = this.#waiting.filter((each) => !dropped.includes(each));
    dropped.forEach(({ maybeDone, answer }) => {
      if (maybeDone) answer({ outcome: 'unknown', detail: 'a write of it was not answered' });
      else if (outcome === 'refused') answer({ outcome, detail });
      else answer({ outcome });
    });
  }
}

function unsent(detail: string): { outcome: 'refused'; detail: string } {
  return { outcome: 'refused', detail };
}

/** Undefined if it has to be sent again. */
function settledBy(
  each: HandedAcceptance,
  result: TransactResult,
  configKey: RowKey,
): AcceptanceResult | undefined {
  if (result.outcome === 'done') return { outcome: 'done', version: result.version };
  if (result.outcome !== 'conflict') return undefined;
  const find = (key: RowKey): Row | undefined => result.rows.find((row) => sameRow(row, key));
  if (find(each.key) !== undefined) return { outcome: 'exists' };
  // What was sent by this configuration can't be done any more.
  const isInForce = (find(configKey)?.version ?? 0) === each.configVersion;
  return isInForce ? undefined : { outcome: 'config-changed' };
}
