/**
 * Writes the progress of jobs to the store before it takes effect. Changes of many jobs go into one transaction, on condition
 * that the owner row is unchanged, that nobody else has changed the progress, and that the jobs weren't cancelled meanwhile.
 */
import type { AcceptanceCall, AcceptanceResult, ProcessContext } from '@zincspan/core';
import type { Evacuations } from '../evacuation/evacuations.js';
import { jobRowKey, packProgress, type JobRowKind } from '../job/job-rows.js';
import {
  sameRow,
  type Row,
  type RowKey,
  type RowStore,
  type Transaction,
} from '../store/row-store.js';
import { AcceptanceQueue, type QueuedAcceptance } from './acceptance-queue.js';
import type { OwnedJob } from './owned-job.js';
import { OWNER_ROW_KEY } from './owner-row.js';
import { sleep } from '../clock/sleep.js';

/**
 * Maximum number of jobs in one transaction: up to four entries each, besides the owner row, its heartbeat and eighteen failure
 * domains; the store takes 100 entries.
 */
const MAX_JOBS_PER_WRITE = 20;

/** The same in a transaction that also accepts submissions: ten of those take 21 entries. */
const MAX_JOBS_WITH_ACCEPTANCES = 14;

/** Time-out of a write, in ms: several times the response time of a slow store. */
const WRITE_TIMEOUT_MS = 1500;

/** Delay after a failed write, in ms. */
const RETRY_DELAY_MS = 100;

/** Called on the results of writes. */
export interface ProgressWriterEvents {
  /** Changes of these jobs were written. */
  onDurable: (jobs: readonly OwnedJob[]) => void;
  /** Rows of jobs that a write has accepted: starts of them may go into the next one. */
  onAccepted: (rows: readonly Row[]) => void;
  /** A job was cancelled before its change was written. */
  onCancelled: (job: OwnedJob) => void;
  /** A write that expected these failure domains not to be evacuated met a conflict; `rows` are the current ones. */
  onEvacuationConflict: (
    failureDomains: readonly string[],
    rows: readonly Row[],
    at: number,
  ) => void;
  /** The job had ended, and its rows were removed from the store. */
  onRemoved: (job: OwnedJob) => void;
  /** Another entry owns the cell, or the state in memory doesn't match the store. */
  onOwnershipLost: (reason: string) => void;
}

/** Sends a write that expects the version of the owner row. */
export type FencedTransact = RowStore['transact'];

interface PendingProgress {
  job: OwnedJob;
  change: number;
  value: Buffer;
}

/** One write: progress of some jobs, the failure domains in which it starts runs, and submissions that it accepts. */
interface WriteBatch {
  jobs: readonly PendingProgress[];
  startDomains: readonly string[];
  acceptances: readonly QueuedAcceptance[];
  sentAt: number;
}

/** The only writer of progress during one term. */
export class ProgressWriter {
  readonly #ctx: ProcessContext;

  readonly #transact: FencedTransact;

  readonly #ownerVersion: number;

  readonly #evacuations: Evacuations;

  readonly #configKey: RowKey;

  readonly #acceptances: AcceptanceQueue;

  readonly #events: ProgressWriterEvents;

  readonly #dirtyJobs = new Set<OwnedJob>();

  /** Values of writes that got no answer: any of them may be in the store. */
  readonly #unansweredWrites = new Map<OwnedJob, Buffer[]>();

  #writing = false;

  #stopped = false;

  constructor({
    ctx,
    transact,
    ownerVersion,
    evacuations,
    configKey,
    events,
  }: {
    ctx: ProcessContext;
    transact: FencedTransact;
    ownerVersion: number;
    evacuations: Evacuations;
    /** Row of the operator's configuration. */
    configKey: RowKey;
    events: ProgressWriterEvents;
  }) {
    this.#ctx = ctx;
    this.#transact = transact;
    this.#ownerVersion = ownerVersion;
    this.#evacuations = evacuations;
    this.#configKey = configKey;
    this.#acceptances = new AcceptanceQueue(() => ctx.clock.now());
    this.#events = events;
  }

  /** Schedules a write of the job's changes. */
  markDirty(job: OwnedJob): void {
    this.#dirtyJobs.add(job);
    this.#scheduleWrite();
  }

  /** Accepts a job in the next write. */
  accept(call: AcceptanceCall): Promise<AcceptanceResult> {
    const result = this.#acceptances.add(call);
    this.#scheduleWrite();
    return result;
  }

  stop(): void {
    this.#stopped = true;
    this.#acceptances.close();
  }

  get #hasWork(): boolean {
    return !this.#stopped && (this.#dirtyJobs.size > 0 || !this.#acceptances.isEmpty);
  }

  #scheduleWrite(): void {
    if (this.#writing || !this.#hasWork) return;
    this.#writing = true;
    // Changes of the same turn of the event loop share a write.
    setImmediate(() => {
      void this.#writeAll();
    });
  }

  async #writeAll(): Promise<void> {
    try {
      while (this.#hasWork) await this.#writeBatch();
    } catch (err) {
      this.#ctx.metrics.count('progress.write-failed');
      this.#ctx.log.error({ err }, 'could not write the progress of jobs');
    } finally {
      this.#writing = false;
    }
    if (this.#hasWork) setTimeout(() => this.#scheduleWrite(), RETRY_DELAY_MS);
  }

  async #writeBatch(): Promise<void> {
    const batch = this.#nextBatch();
    const { jobs, startDomains, acceptances, sentAt } = batch;
    if (jobs.length === 0 && acceptances.length === 0) return;
    const result = await this.#transact(this.#buildTransaction(batch), {
      timeoutMs: WRITE_TIMEOUT_MS,
    });
    this.#acceptances.settle(acceptances, result, this.#configKey);
    if (this.#stopped) return;
    this.#ctx.metrics.timing('progress.write', this.#ctx.clock.now() - sentAt);
    if (result.outcome === 'done') {
      this.#evacuations.applyConfirmedWrite(startDomains, sentAt);
      this.#markWritten(jobs, () => result.version);
      this.#reportAccepted(acceptances, result.version);
    } else if (result.outcome === 'conflict') {
      this.#resolveConflict(batch, result.rows);
    } else {
      this.#ctx.metrics.count(`progress.write-${result.outcome}`);
      if (result.outcome === 'unknown') this.#keepUnanswered(jobs);
      await sleep(RETRY_DELAY_MS);
    }
  }

  #nextBatch(): WriteBatch {
    const acceptances = this.#acceptances.take();
    const maxJobs = acceptances.length > 0 ? MAX_JOBS_WITH_ACCEPTANCES : MAX_JOBS_PER_WRITE;
    const jobs = [...this.#dirtyJobs].slice(0, maxJobs);
    return {
      jobs: jobs.map((job) => ({ job, change: job.lastChange, value: packProgress(job.progress) })),
      startDomains: [...new Set(jobs.flatMap((job) => job.pendingStartDomains()))],
      acceptances,
      sentAt: this.#ctx.clock.now(),
    };
  }

  #keepUnanswered(batch: readonly PendingProgress[]): void {
    batch.forEach(({ job, value }) => {
      const earlier = this.#unansweredWrites.get(job) ?? [];
      if (earlier.some((each) => each.equals(value))) return;
      this.#unansweredWrites.set(job, [...earlier, value]);
    });
  }

  #buildTransaction({ jobs, startDomains, acceptances }: WriteBatch): Transaction {
    const expected = jobs.flatMap(({ job }) => [
      { ...jobRowKey(job.id, 'progress'), version: job.progressVersion },
      // A job whose rows were removed has ended, even if a lagging feed still delivers it.
      ...(job.progressVersion > 0
        ? []
        : [{ ...jobRowKey(job.id, 'submission'), version: job.submissionVersion }]),
      ...(job.cancelled ? [] : [{ ...jobRowKey(job.id, 'cancellation'), version: 0 }]),
    ]);
    return {
      expected: [
        { ...OWNER_ROW_KEY, version: this.#ownerVersion },
        ...startDomains.map((failureDomain) => this.#evacuations.expectedAbsentRow(failureDomain)),
        ...expected,
        ...this.#acceptancePreconditions(acceptances),
      ],
      set: [
        ...jobs.map(({ job, value }) => ({ ...jobRowKey(job.id, 'progress'), value })),
        ...acceptances.map(({ key, value }) => ({ ...key, value })),
      ],
    };
  }

  #reportAccepted(acceptances: readonly QueuedAcceptance[], version: number): void {
    if (acceptances.length === 0) return;
    this.#events.onAccepted(acceptances.map(({ key, value }) => ({ ...key, value, version })));
  }

  /** As where an entry writes a submission itself: the configuration that let it through, and no job with its id. */
  #acceptancePreconditions([
    first,
    ...others
  ]: readonly QueuedAcceptance[]): Transaction['expected'] {
    if (first === undefined) return [];
    const config = { ...this.#configKey, version: first.configVersion };
    return [config, ...[first, ...others].map(({ key }) => ({ ...key, version: 0 }))];
  }

  #markWritten(batch: readonly PendingProgress[], versionOf: (job: OwnedJob) => number): void {
    batch.forEach(({ job, change }) => {
      job.markWritten(change, versionOf(job));
      this.#unansweredWrites.delete(job);
      if (!job.isDirty) this.#dirtyJobs.delete(job);
    });
    this.#events.onDurable(batch.map(({ job }) => job));
  }

  /**
   * Only the owner writes progress, so a row with another version holds an earlier write of this owner whose answer was lost,
   * and the next write starts from it. If it holds anything else, the state in memory is wrong: the term ends, and the jobs
   * are read again.
   */
  #resolveConflict({ jobs, startDomains, sentAt }: WriteBatch, rows: readonly Row[]): void {
    const owner = rows.find((row) => sameRow(row, OWNER_ROW_KEY));
    if (owner?.version !== this.#ownerVersion) {
      this.#endOwnership('a write found that another entry owns the cell');
      return;
    }
    this.#ctx.metrics.count('progress.conflict');
    if (startDomains.length > 0) this.#events.onEvacuationConflict(startDomains, rows, sentAt);
    const written: PendingProgress[] = [];
    for (const pending of jobs) {
      const { job, value } = pending;
      const rowOf = (kind: JobRowKind): Row | undefined =>
        rows.find((each) => sameRow(each, jobRowKey(job.id, kind)));
      const row = rowOf('progress');
      if (row !== undefined && row.version !== job.progressVersion) {
        if (!this.#unansweredWrites.get(job)?.some((own) => own.equals(row.value))) {
          this.#endOwnership(`stored progress of job ${job.id} differs from what this owner wrote`);
          return;
        }
        job.progressVersion = row.version;
        if (row.value.equals(value)) written.push(pending);
      }
      if (job.progressVersion === 0 && rowOf('submission') === undefined) {
        this.#dirtyJobs.delete(job);
        this.#unansweredWrites.delete(job);
        this.#events.onRemoved(job);
      } else if (!job.cancelled && rowOf('cancellation') !== undefined) {
        job.markCancelled();
        this.#events.onCancelled(job);
      }
    }
    this.#markWritten(written, (job) => job.progressVersion);
  }

  #endOwnership(reason: string): void {
    this.stop();
    this.#events.onOwnershipLost(reason);
  }
}
