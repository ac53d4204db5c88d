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
import { AcceptanceQueue, type QueuedAcceptance } from './acceptance-queue.js';
import type { OwnedJob } from './owned-job.js';
import { OWNER_KEY } from './owner-row.js';
import { pause } from '../clock/pause.js';

/**
 * Jobs in one transaction: four entries each at most, beside the owner's row, its heartbeat and eighteen failure domains; the
 * store takes 100.
 */
const JOBS_PER_WRITE = 20;

/** And beside submissions: ten of those take 21 entries. */
const JOBS_BESIDE_ACCEPTANCES = 14;

/** One write may take this long, in ms: several times a slow store's answer. */
const WRITE_TIMEOUT_MS = 1500;

/** Pause after a write that failed, in ms. */
const RETRY_PAUSE_MS = 100;

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
  onDeposed: (reason: string) => void;
}

/** Sends a write that names the owner's row. */
export type OwnerTransact = RowStore['transact'];

interface Pending {
  job: OwnedJob;
  change: number;
  value: Buffer;
}

/** One write: progress of some jobs, the failure domains in which something starts by it, and submissions that go along. */
interface Batch {
  jobs: readonly Pending[];
  startsIn: readonly string[];
  acceptances: readonly QueuedAcceptance[];
  sentAt: number;
}

/** One writer for one term. */
export class ProgressWriter {
  readonly #ctx: ProcessContext;

  readonly #transact: OwnerTransact;

  readonly #ownerVersion: number;

  readonly #evacuations: Evacuations;

  readonly #configKey: RowKey;

  readonly #acceptances: AcceptanceQueue;

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
    configKey,
    events,
  }: {
    ctx: ProcessContext;
    transact: OwnerTransact;
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
  mark(job: OwnedJob): void {
    this.#dirty.add(job);
    this.#wake();
  }

  /** Accepts a job with the next write. */
  accept(call: AcceptanceCall): Promise<AcceptanceResult> {
    const result = this.#acceptances.add(call);
    this.#wake();
    return result;
  }

  stop(): void {
    this.#stopped = true;
    this.#acceptances.close();
  }

  get #hasWork(): boolean {
    return !this.#stopped && (this.#dirty.size > 0 || !this.#acceptances.isEmpty);
  }

  #wake(): void {
    if (this.#running || !this.#hasWork) return;
    this.#running = true;
    // Changes of the same turn go together.
    setImmediate(() => {
      void this.#run();
    });
  }

  async #run(): Promise<void> {
    try {
      while (this.#hasWork) await this.#write();
    } catch (err) {
      this.#ctx.metrics.count('progress.write-failed');
      this.#ctx.log.error({ err }, 'writing progress failed');
    } finally {
      this.#running = false;
    }
    if (this.#hasWork) setTimeout(() => this.#wake(), RETRY_PAUSE_MS);
  }

  async #write(): Promise<void> {
    const batch = this.#nextBatch();
    const { jobs, startsIn, acceptances, sentAt } = batch;
    if (jobs.length === 0 && acceptances.length === 0) return;
    const result = await this.#transact(this.#transaction(batch), {
      timeoutMs: WRITE_TIMEOUT_MS,
    });
    this.#acceptances.settle(acceptances, result, this.#configKey);
    if (this.#stopped) return;
    this.#ctx.metrics.timing('progress.write', this.#ctx.clock.now() - sentAt);
    if (result.outcome === 'done') {
      this.#evacuations.noteConfirmed(startsIn, sentAt);
      this.#noteWritten(jobs, () => result.version);
      this.#noteAccepted(acceptances, result.version);
    } else if (result.outcome === 'conflict') {
      this.#noteConflict(batch, result.rows);
    } else {
      this.#ctx.metrics.count(`progress.write-${result.outcome}`);
      if (result.outcome === 'unknown') this.#noteUnanswered(jobs);
      await pause(RETRY_PAUSE_MS);
    }
  }

  #nextBatch(): Batch {
    const acceptances = this.#acceptances.take();
    const mostJobs = acceptances.length > 0 ? JOBS_BESIDE_ACCEPTANCES : JOBS_PER_WRITE;
    const jobs = [...this.#dirty].slice(0, mostJobs);
    return {
      jobs: jobs.map((job) => ({ job, change: job.change, value: packProgress(job.progress) })),
      startsIn: [...new Set(jobs.flatMap((job) => job.startsIn()))],
      acceptances,
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

  #transaction({ jobs, startsIn, acceptances }: Batch): Transaction {
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
        ...this.#expectedBy(acceptances),
      ],
      set: [
        ...jobs.map(({ job, value }) => ({ ...jobRowKey(job.id, 'progress'), value })),
        ...acceptances.map(({ key, value }) => ({ ...key, value })),
      ],
    };
  }

  #noteAccepted(acceptances: readonly QueuedAcceptance[], version: number): void {
    if (acceptances.length === 0) return;
    this.#events.onAccepted(acceptances.map(({ key, value }) => ({ ...key, value, version })));
  }

  /** As for one that an entry writes itself: the configuration that let it through, and no job of this id. */
  #expectedBy([first, ...others]: readonly QueuedAcceptance[]): Transaction['expected'] {
    if (first === undefined) return [];
    const config = { ...this.#configKey, version: first.configVersion };
    return [config, ...[first, ...others].map(({ key }) => ({ ...key, version: 0 }))];
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
