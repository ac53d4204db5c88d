/**
 * Writes progress ahead of its effects. Changes of many jobs go into one transaction, on condition that the owner's row
 * is unchanged, that nobody else has changed the progress, and that the jobs weren't cancelled meanwhile.
 */
import type { ProcessContext } from '@zincspan/core';
import type { Evacuations } from '../evacuation/evacuations.js';
import { jobRowKey, packProgress, type JobRowKind } from '../job/job-rows.js';
import { sameRow, type Row, type RowStore, type Transaction } from '../store/row-store.js';
import type { OwnedJob } from './owned-job.js';
import { OWNER_KEY } from './owner-row.js';
import { pause } from '../clock/pause.js';

/**
 * Jobs in one transaction: four entries each at most, beside the owner's row, its heartbeat and eighteen failure domains; the
 * store takes 100.
 */
const JOBS_PER_WRITE = 20;

/** One write may take this long, in ms: several times a slow store's answer. */
const WRITE_TIMEOUT_MS = 1500;

/** Pause after a write that failed, in ms. */
const RETRY_PAUSE_MS = 100;

/** What the writer's user is told. */
export interface ProgressWriterEvents {
  /** These jobs' changes so far are in the store. */
  onDurable: (jobs: readonly OwnedJob[]) => void;
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
  onDeposed: (reason: string) => void;
}

/** Sends a write that names the owner's row. */
export type OwnerTransact = RowStore['transact'];

interface Pending {
  job: OwnedJob;
  change: number;
  value: Buffer;
}

/** One write: progress of some jobs, and the failure domains in which something starts by it. */
interface Batch {
  jobs: readonly Pending[];
  startsIn: readonly string[];
  sentAt: number;
}

/** One writer for one term. */
export class ProgressWriter {
  readonly #ctx: ProcessContext;

  readonly #transact: OwnerTransact;

  readonly #ownerVersion: number;

  readonly #evacuations: Evacuations;

  readonly #events: ProgressWriterEvents;

  readonly #dirty = new Set<OwnedJob>();

  /** Values of writes without an answer: any of them may be in the store. */
  readonly #unanswered = new Map<OwnedJob, Buffer[]>();

  #running = false;

  #stopped = false;

  constructor({
    ctx,
    transact,
    ownerVersion,
    evacuations,
    events,
  }: {
    ctx: ProcessContext;
    transact: OwnerTransact;
    ownerVersion: number;
    evacuations: Evacuations;
    events: ProgressWriterEvents;
  }) {
    this.#ctx = ctx;
    this.#transact = transact;
    this.#ownerVersion = ownerVersion;
    this.#evacuations = evacuations;
    this.#events = events;
  }

  /** The job has changes to write. */
  mark(job: OwnedJob): void {
    this.#dirty.add(job);
    if (this.#running || this.#stopped) return;
    this.#running = true;
    // Changes of the same turn go together.
    setImmediate(() => {
      void this.#run();
    });
  }

  stop(): void {
    this.#stopped = true;
  }

  async #run(): Promise<void> {
    try {
      while (this.#dirty.size > 0 && !this.#stopped) await this.#write();
    } catch (err) {
      this.#ctx.metrics.count('progress.write-failed');
      this.#ctx.log.error({ err }, 'writing progress failed');
    } finally {
      this.#running = false;
    }
    if (this.#dirty.size > 0 && !this.#stopped) setTimeout(() => this.#resume(), RETRY_PAUSE_MS);
  }

  #resume(): void {
    const [first] = this.#dirty;
    if (first !== undefined) this.mark(first);
  }

  async #write(): Promise<void> {
    const batch = this.#nextBatch();
    const { jobs, startsIn, sentAt } = batch;
    const result = await this.#transact(this.#transaction(batch), {
      timeoutMs: WRITE_TIMEOUT_MS,
    });
    if (this.#stopped) return;
    this.#ctx.metrics.timing('progress.write', this.#ctx.clock.now() - sentAt);
    if (result.outcome === 'done') {
      this.#evacuations.noteConfirmed(startsIn, sentAt);
      this.#noteWritten(jobs, () => result.version);
    } else if (result.outcome === 'conflict') {
      this.#noteConflict(batch, result.rows);
    } else {
      this.#ctx.metrics.count(`progress.write-${result.outcome}`);
      if (result.outcome === 'unknown') this.#noteUnanswered(jobs);
      await pause(RETRY_PAUSE_MS);
    }
  }

  #nextBatch(): Batch {
    const jobs = [...this.#dirty].slice(0, JOBS_PER_WRITE);
    return {
      jobs: jobs.map((job) => ({ job, change: job.change, value: packProgress(job.progress) })),
      startsIn: [...new Set(jobs.flatMap((job) => job.startsIn()))],
      sentAt: this.#ctx.clock.now(),
    };
  }

  #noteUnanswered(batch: readonly Pending[]): void {
    batch.forEach(({ job, value }) => {
      const earlier = this.#unanswered.get(job) ?? [];
      if (earlier.some((each) => each.equals(value))) return;
      this.#unanswered.set(job, [...earlier, value]);
    });
  }

  #transaction({ jobs, startsIn }: Batch): Transaction {
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
        { ...OWNER_KEY, version: this.#ownerVersion },
        ...startsIn.map((failureDomain) => this.#evacuations.expectedRow(failureDomain)),
        ...expected,
      ],
      set: jobs.map(({ job, value }) => ({ ...jobRowKey(job.id, 'progress'), value })),
    };
  }

  #noteWritten(batch: readonly Pending[], versionOf: (job: OwnedJob) => number): void {
    batch.forEach(({ job, change }) => {
      job.wrote(change, versionOf(job));
      this.#unanswered.delete(job);
      if (!job.isDirty) this.#dirty.delete(job);
    });
    this.#events.onDurable(batch.map(({ job }) => job));
  }

  /**
   * Nobody but the owner writes progress: a row with another version holds an earlier write of our own whose answer was
   * lost, and the next write starts from there. If it holds anything else, the books are wrong and are read anew.
   */
  #noteConflict({ jobs, startsIn, sentAt }: Batch, rows: readonly Row[]): void {
    const owner = rows.find((row) => sameRow(row, OWNER_KEY));
    if (owner?.version !== this.#ownerVersion) {
      this.#depose('a write found another owner');
      return;
    }
    this.#ctx.metrics.count('progress.conflict');
    if (startsIn.length > 0) this.#events.onEvacuationConflict(startsIn, rows, sentAt);
    const written: Pending[] = [];
    for (const pending of jobs) {
      const { job, value } = pending;
      const rowOf = (kind: JobRowKind): Row | undefined =>
        rows.find((each) => sameRow(each, jobRowKey(job.id, kind)));
      const row = rowOf('progress');
      if (row !== undefined && row.version !== job.progressVersion) {
        if (!this.#unanswered.get(job)?.some((own) => own.equals(row.value))) {
          this.#depose(`progress of job ${job.id} is not what this owner wrote`);
          return;
        }
        job.progressVersion = row.version;
        if (row.value.equals(value)) written.push(pending);
      }
      if (job.progressVersion === 0 && rowOf('submission') === undefined) {
        this.#dirty.delete(job);
        this.#unanswered.delete(job);
        this.#events.onRemoved(job);
      } else if (!job.cancelled && rowOf('cancellation') !== undefined) {
        job.noteCancelled();
        this.#events.onCancelled(job);
      }
    }
    this.#noteWritten(written, (job) => job.progressVersion);
  }

  #depose(reason: string): void {
    this.stop();
    this.#events.onDeposed(reason);
  }
}
