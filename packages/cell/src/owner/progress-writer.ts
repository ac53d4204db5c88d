/**
 * Writes progress ahead of its effects. Changes of many jobs go into one transaction, on condition that the owner's row
 * is unchanged, that nobody else has changed the progress, and that the jobs weren't cancelled meanwhile.
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
import { AcceptanceQueue, type HandedAcceptance } from './acceptance-queue.js';
import type { OwnedJob } from './owned-job.js';
import { OWNER_ROW_KEY } from './owner-row.js';
import { pause } from '../clock/pause.js';

/**
 * Jobs in one transaction: four entries each at most, beside the owner's row, its heartbeat and eighteen failure domains; the
 * store takes 100.
 */
const MAX_JOBS_PER_WRITE = 20;

/** And beside submissions: ten of those take 21 entries. */
const MAX_JOBS_WITH_ACCEPTANCES = 14;

/** One write may take this long, in ms: several times a slow store's answer. */
const WRITE_TIMEOUT_MS = 1500;

/** Pause after a write that failed, in ms. */
const RETRY_DELAY_MS = 100;

/** What the writer's user is told. */
export interface ProgressWriterEvents {
  /** These jobs' changes so far are in the store. */
  onDurable: (jobs: readonly OwnedJob[]) => void;
  /** Rows of jobs that were accepted by a write: what starts of them may go with the next one. */
  onAccepted: (rows: readonly Row[]) => void;
  /** A job was cancelled before its change was written. */
  onCancelled: (job: OwnedJob) => void;
  /** These failure domains were expected not to be evacuated; the rows that are there say what is so. */
  onEvacuationConflict: (
    failureDomains: readonly string[],
    rows: readonly Row[],
    at: number,
  ) => void;
  /** A job's rows are gone: it was over, and was removed. */
  onRemoved: (job: OwnedJob) => void;
  /** Another entry owns the cell, or the books of this term aren't what the store holds. */
  onOwnershipLost: (reason: string) => void;
}

/** Sends a write that names the owner's row. */
export type FencedTransact = RowStore['transact'];

interface PendingProgress {
  job: OwnedJob;
  change: number;
  value: Buffer;
}

/** One write: progress of some jobs, the failure domains in which something starts by it, and submissions that go along. */
interface WriteBatch {
  jobs: readonly PendingProgress[];
  pendingStartDomains: readonly string[];
  acceptances: readonly HandedAcceptance[];
  sentAt: number;
}

/** One writer for one term. */
export class ProgressWriter {
  readonly #ctx: ProcessContext;

  readonly #transact: FencedTransact;

  readonly #ownerVersion: number;

  readonly #evacuations: Evacuations;

  readonly #configKey: RowKey;

  readonly #acceptances: AcceptanceQueue;

  readonly #events: ProgressWriterEvents;

  readonly #dirtyJobs = new Set<OwnedJob>();

  /** Values of writes without an answer: any of them may be in the store. */
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
    /** Where the operator's configuration stands. */
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

  /** The job has changes to write. */
  markDirty(job: OwnedJob): void {
    this.#dirtyJobs.add(job);
    this.#scheduleWrite();
  }

  /** Accepts a job with the next write. */
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
    // Changes of the same turn go together.
    setImmediate(() => {
      void this.#writeAll();
    });
  }

  async #writeAll(): Promise<void> {
    try {
      while (this.#hasWork) await this.#writeBatch();
    } catch (err) {
      this.#ctx.metrics.count('progress.write-failed');
      this.#ctx.log.error({ err }, 'writing progress failed');
    } finally {
      this.#writing = false;
    }
    if (this.#hasWork) setTimeout(() => this.#scheduleWrite(), RETRY_DELAY_MS);
  }

  async #writeBatch(): Promise<void> {
    const batch = this.#nextBatch();
    const { jobs, pendingStartDomains, acceptances, sentAt } = batch;
    if (jobs.length === 0 && acceptances.length === 0) return;
    const result = await this.#transact(this.#buildTransaction(batch), {
      timeoutMs: WRITE_TIMEOUT_MS,
    });
    this.#acceptances.settle(acceptances, result, this.#configKey);
    if (this.#stopped) return;
    this.#ctx.metrics.timing('progress.write', this.#ctx.clock.now() - sentAt);
    if (result.outcome === 'done') {
      this.#evacuations.noteConfirmed(pendingStartDomains, sentAt);
      this.#markWritten(jobs, () => result.version);
      this.#reportAccepted(acceptances, result.version);
    } else if (result.outcome === 'conflict') {
      this.#resolveConflict(batch, result.rows);
    } else {
      this.#ctx.metrics.count(`progress.write-${result.outcome}`);
      if (result.outcome === 'unknown') this.#keepUnanswered(jobs);
      await pause(RETRY_DELAY_MS);
    }
  }

  #nextBatch(): WriteBatch {
    const acceptances = this.#acceptances.take();
    const mostJobs = acceptances.length > 0 ? MAX_JOBS_WITH_ACCEPTANCES : MAX_JOBS_PER_WRITE;
    const jobs = [...this.#dirtyJobs].slice(0, mostJobs);
    return {
      jobs: jobs.map((job) => ({ job, change: job.lastChange, value: packProgress(job.progress) })),
      pendingStartDomains: [...new Set(jobs.flatMap((job) => job.pendingStartDomains()))],
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

  #buildTransaction({ jobs, pendingStartDomains, acceptances }: WriteBatch): Transaction {
    const expected = jobs.flatMap(({ job }) => [
      { ...jobRowKey(job.id, 'progress'), version: job.progressVersion },
      // A job whose rows were removed is over, whatever a feed that is behind tells of it.
      ...(job.progressVersion > 0
        ? []
        : [{ ...jobRowKey(job.id, 'submission'), version: job.submissionVersion }]),
      ...(job.cancelled ? [] : [{ ...jobRowKey(job.id, 'cancellation'), version: 0 }]),
    ]);
    return {
      expected: [
        { ...OWNER_ROW_KEY, version: this.#ownerVersion },
        ...pendingStartDomains.map((failureDomain) => this.#evacuations.expectedRow(failureDomain)),
        ...expected,
        ...this.#acceptancePreconditions(acceptances),
      ],
      set: [
        ...jobs.map(({ job, value }) => ({ ...jobRowKey(job.id, 'progress'), value })),
        ...acceptances.map(({ key, value }) => ({ ...key, value })),
      ],
    };
  }

  #reportAccepted(acceptances: readonly HandedAcceptance[], version: number): void {
    if (acceptances.length === 0) return;
    this.#events.onAccepted(acceptances.map(({ key, value }) => ({ ...key, value, version })));
  }

  /** As for one that an entry writes itself: the configuration that let it through, and no job of this id. */
  #acceptancePreconditions([
    first,
    ...others
  ]: readonly HandedAcceptance[]): Transaction['expected'] {
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
   * Nobody but the owner writes progress: a row with another version holds an earlier write of our own whose answer was
   * lost, and the next write starts from there. If it holds anything else, the books are wrong and are read anew.
   */
  #resolveConflict({ jobs, pendingStartDomains, sentAt }: WriteBatch, rows: readonly Row[]): void {
    const owner = rows.find((row) => sameRow(row, OWNER_ROW_KEY));
    if (owner?.version !== this.#ownerVersion) {
      this.#endOwnership('a write found another owner');
      return;
    }
    this.#ctx.metrics.count('progress.conflict');
    if (pendingStartDomains.length > 0)
      this.#events.onEvacuationConflict(pendingStartDomains, rows, sentAt);
    const written: PendingProgress[] = [];
    for (const pending of jobs) {
      const { job, value } = pending;
      const rowOf = (kind: JobRowKind): Row | undefined =>
        rows.find((each) => sameRow(each, jobRowKey(job.id, kind)));
      const row = rowOf('progress');
      if (row !== undefined && row.version !== job.progressVersion) {
        if (!this.#unansweredWrites.get(job)?.some((own) => own.equals(row.value))) {
          this.#endOwnership(`progress of job ${job.id} is not what this owner wrote`);
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
