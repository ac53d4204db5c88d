/**
 * Queue of job submissions that entries send to the owner while the store is slow. They become part of the owner's next write, so
 * that they need no transaction of their own.
 */
import type { AcceptanceCall, AcceptanceResult } from '@zincspan/core';
import { jobRowKey } from '../job/job-rows.js';
import { sameRow, type Row, type RowKey, type TransactResult } from '../store/row-store.js';

/** Submissions per write. Each takes two entries of the transaction, in addition to the configuration row. */
export const MAX_ACCEPTANCES_PER_WRITE = 10;

/** A submission that waits for the owner's next write. */
export interface QueuedAcceptance {
  key: RowKey;
  value: Buffer;
  configVersion: number;
  /** Not sent after this time (monotonic clock, in ms). */
  deadline: number;
  /** True if an earlier write that contained it may have been committed. */
  mayBeCommitted: boolean;
  answer: (result: AcceptanceResult) => void;
}

/** Queues submissions for one term of the owner. */
export class AcceptanceQueue {
  readonly #now: () => number;

  #queued: QueuedAcceptance[] = [];

  #closed = false;

  constructor(now: () => number) {
    this.#now = now;
  }

  get isEmpty(): boolean {
    return this.#queued.length === 0;
  }

  add({ jobId, value, configVersion, timeoutMs }: AcceptanceCall): Promise<AcceptanceResult> {
    return new Promise((resolve) => {
      this.#enqueue([
        {
          key: jobRowKey(jobId, 'submission'),
          value: Buffer.from(value),
          configVersion,
          deadline: this.#now() + timeoutMs,
          mayBeCommitted: false,
          answer: resolve,
        },
      ]);
    });
  }

  /** Removes and returns the submissions for the next write: only unexpired ones that were admitted under the newest configuration. */
  take(): QueuedAcceptance[] {
    this.#drop(({ deadline }) => deadline <= this.#now(), refusal('not sent before its deadline'));
    const newestVersion = Math.max(...this.#queued.map(({ configVersion }) => configVersion));
    this.#drop(({ configVersion }) => configVersion < newestVersion, { outcome: 'config-changed' });
    // Two entries may send the same job, but a transaction may contain a row only once. The second waits and then finds the job's row.
    const isFirstOfJob = ({ key }: QueuedAcceptance, index: number): boolean =>
      this.#queued.findIndex((other) => sameRow(other.key, key)) === index;
    const taken = this.#queued.filter(isFirstOfJob).slice(0, MAX_ACCEPTANCES_PER_WRITE);
    this.#queued = this.#queued.filter((queued) => !taken.includes(queued));
    return taken;
  }

  /** Answers the submissions whose outcome the write determined and queues the others again. */
  settle(taken: readonly QueuedAcceptance[], result: TransactResult, configKey: RowKey): void {
    taken.forEach((acceptance) => {
      const ownResult = resultOfWrite(acceptance, result, configKey);
      const mayBeCommitted = acceptance.mayBeCommitted || result.outcome === 'unknown';
      if (ownResult === undefined) this.#enqueue([{ ...acceptance, mayBeCommitted }]);
      else acceptance.answer(ownResult);
    });
  }

  /** The owner's term has ended: answers what is queued and sends nothing more. */
  close(): void {
    this.#closed = true;
    this.#drop(() => true, refusal("the owner's term has ended"));
  }

  #enqueue(acceptances: readonly QueuedAcceptance[]): void {
    this.#queued.push(...acceptances);
    if (this.#closed) this.close();
  }

  #drop(
    matches: (acceptance: QueuedAcceptance) => boolean,
    { outcome, detail = '' }: { outcome: 'config-changed' | 'refused'; detail?: string },
  ): void {
    const dropped = this.#queued.filter(matches);
    this.#queued = this.#queued.filter((acceptance) => !dropped.includes(acceptance));
    dropped.forEach(({ mayBeCommitted, answer }) => {
      if (mayBeCommitted) answer({ outcome: 'unknown', detail: 'a write was not confirmed' });
      else if (outcome === 'refused') answer({ outcome, detail });
      else answer({ outcome });
    });
  }
}

function refusal(detail: string): { outcome: 'refused'; detail: string } {
  return { outcome: 'refused', detail };
}

/** The result for one submission of the write; undefined if it has to be sent again. */
function resultOfWrite(
  acceptance: QueuedAcceptance,
  result: TransactResult,
  configKey: RowKey,
): AcceptanceResult | undefined {
  if (result.outcome === 'done') return { outcome: 'done', version: result.version };
  if (result.outcome !== 'conflict') return undefined;
  const findRow = (key: RowKey): Row | undefined => result.rows.find((row) => sameRow(row, key));
  if (findRow(acceptance.key) !== undefined) return { outcome: 'exists' };
  // Once another configuration is in force, earlier writes under the old one can no longer be committed.
  const isConfigCurrent = (findRow(configKey)?.version ?? 0) === acceptance.configVersion;
  return isConfigCurrent ? undefined : { outcome: 'config-changed' };
}
