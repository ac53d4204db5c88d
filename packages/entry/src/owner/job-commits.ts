/** The row changes that an owner makes to its jobs. */
import {
  changeAfterAttempt,
  RetryBudget,
  type AttemptConclusion,
  type JobChange,
  type JobRow,
} from '@zincspan/core';
import type { AttemptRunner, RowWritten } from './attempt-runner.js';
import { commitJob, type Commit } from './commit-job.js';
import type { JobEntry } from './job-entry.js';
import { kindOf, policyOf, type Ownership } from './ownership.js';

/** Writes starts, ends and refusals down. */
export class JobCommits {
  readonly #own: Ownership;

  readonly #retries: RetryBudget;

  constructor(own: Ownership) {
    this.#own = own;
    this.#retries = new RetryBudget({ share: () => policyOf(own, 'retryBudget', 0) });
  }

  /** Writes that an attempt starts. Gives up on a table that is down only once the attempt is to end anyway. */
  async started(
    entry: JobEntry,
    { attempt, members, stopWanted }: StartOf,
    onUnknown: () => void,
  ): Promise<RowWritten> {
    const { term, ctx } = this.#own;
    const at = ctx.clock.wall();
    const { account, attempt: before } = entry.record.row;
    const change = (): JobChange => ({ type: 'start', attempt, term, members, at });
    const written = await this.#commit(entry, change, { onUnknown, giveUp: stopWanted });
    if (written === 'forbidden') {
      return entry.record.row.cancelRequested ? 'cancelled' : 'superseded';
    }
    if (written !== 'written') return 'unwritten';
    if (before === 0) this.#retries.firstAttempt(account);
    return 'written';
  }

  /** Writes what became of an attempt that has surely ended. */
  async concluded(
    entry: JobEntry,
    { attempt }: Pick<AttemptRunner, 'attempt'>,
    conclusion: AttemptConclusion,
  ): Promise<Commit> {
    const { account, spec } = entry.record.row;
    const { idempotent } = kindOf(this.#own, spec.kind);
    const at = this.#own.ctx.clock.wall();
    const failed = conclusion.type === 'ended' && conclusion.end === 'failed';
    const mayRetry = failed && idempotent && this.#retries.take(account);
    const isOurs = (row: JobRow): boolean => row.state === 'queued' || row.attempt === attempt;
    return this.#commit(entry, (row) =>
      isOurs(row) ? changeAfterAttempt(row, conclusion, { idempotent, mayRetry, at }) : undefined,
    );
  }

  /** Writes the end of a job that is still queued. */
  async withdrawn(entry: JobEntry, change: JobChange): Promise<Commit> {
    return this.#commit(entry, (row) => (row.state === 'queued' ? change : undefined));
  }

  async #commit(
    entry: JobEntry,
    change: (row: JobRow) => JobChange | undefined,
    extra: { onUnknown?: () => void; giveUp?: () => boolean } = {},
  ): Promise<Commit> {
    const { jobs, timers, signal, watch, failureDomain } = this.#own;
    // Once moved, a job is its new owner's, also for an owner that was paused and doesn't know.
    const ifHere = (row: JobRow): JobChange | undefined =>
      row.failureDomain === failureDomain ? change(row) : undefined;
    const written = await commitJob({
      entry,
      change: ifHere,
      store: jobs,
      timers,
      signal,
      ...extra,
    });
    if (written === 'written') watch.changed(entry.key);
    return written;
  }
}

/** The attempt to start, and whether something asked for its end meanwhile. */
type StartOf = Pick<AttemptRunner, 'attempt' | 'members'> & { stopWanted: () => boolean };
