/** What an entry knows of all jobs, from the feed of their rows. */
import type { ProcessContext } from '@zincspan/core';
import type { FeedRow, Row, RowStore } from '../store/row-store.js';
import { TableFollower } from '../store/table-follower.js';
import {
  JOB_TABLE,
  jobRowKey,
  parseJobRowKey,
  unpackProgress,
  unpackSubmission,
} from './job-rows.js';
import { JobProgress, type JobState } from './progress.js';
import type { Submission } from './submission.js';

/** A job as its rows say. Versions are those of the rows; 0 where there is none. */
export interface KnownJob {
  id: string;
  submission: Submission;
  submissionVersion: number;
  /** Undefined until the owner has first written it. */
  progress?: JobProgress;
  progressVersion: number;
  cancelled: boolean;
}

/** Told of each change, after it was applied. */
export type JobListener = (job: KnownJob) => void;

/** A look-up that the store didn't answer in time. */
export type FindResult = KnownJob | 'absent' | 'unknown';

/** Follows the table of jobs. */
export class JobView {
  readonly #jobs = new Map<string, KnownJob>();

  /** Rows of jobs whose submission hasn't come yet. */
  readonly #early = new Map<string, FeedRow[]>();

  readonly #listeners: JobListener[] = [];

  readonly #ctx: ProcessContext;

  readonly #store: RowStore;

  readonly #follower: TableFollower;

  constructor({ ctx, store }: { ctx: ProcessContext; store: RowStore }) {
    this.#ctx = ctx;
    this.#store = store;
    this.#follower = new TableFollower({
      ctx,
      store,
      table: JOB_TABLE,
      onRows: (rows) => rows.forEach((row) => this.apply(row)),
    });
  }

  /** True once the whole table was read. */
  get loaded(): boolean {
    return this.#follower.loaded;
  }

  /** Time since the feed last answered, in ms. */
  get ageMs(): number {
    return this.#follower.ageMs;
  }

  start(): void {
    this.#follower.start();
  }

  stop(): void {
    this.#follower.stop();
  }

  subscribe(listener: JobListener): void {
    this.#listeners.push(listener);
  }

  all(): IterableIterator<KnownJob> {
    return this.#jobs.values();
  }

  get(id: string): KnownJob | undefined {
    return this.#jobs.get(id);
  }

  /** Asks the store about a job that the feed hasn't told of. */
  async find(id: string, { timeoutMs }: { timeoutMs: number }): Promise<FindResult> {
    const known = this.#jobs.get(id);
    if (known !== undefined) return known;
    const { table, part } = jobRowKey(id, 'submission');
    const result = await this.#store.read(
      { table, part, from: `${id}/`, to: `${id}0` },
      { timeoutMs },
    );
    if (result.outcome === 'failed') return 'unknown';
    result.rows.forEach((row) => this.apply({ ...row, deleted: false }));
    return this.#jobs.get(id) ?? 'absent';
  }

  /** Jobs of a queue that were accepted and of which no task has started. */
  waiting(queue: string): number {
    let count = 0;
    this.#jobs.forEach((job) => {
      if (job.submission.queue === queue && isWaiting(job)) count += 1;
    });
    return count;
  }

  /** Takes a row, unless a newer one of it is known. */
  apply(row: FeedRow): void {
    const name = parseJobRowKey(row.key);
    if (name === undefined) return;
    const { id, kind } = name;
    if (row.deleted) {
      if (kind === 'submission') this.#jobs.delete(id);
      return;
    }
    try {
      if (kind === 'submission') this.#applySubmission(id, row);
      else this.#applyToKnown(id, kind, row);
    } catch (err) {
      this.#ctx.metrics.count('job.row-unreadable');
      this.#ctx.log.error({ err, key: row.key, version: row.version }, 'job row unreadable');
    }
  }

  #applySubmission(id: string, row: Row): void {
    if (this.#jobs.has(id)) return;
    const job: KnownJob = {
      id,
      submission: unpackSubmission(row.value),
      submissionVersion: row.version,
      progressVersion: 0,
      cancelled: false,
    };
    this.#jobs.set(id, job);
    const early = this.#early.get(id) ?? [];
    this.#early.delete(id);
    early.forEach((each) => this.apply(each));
    this.#tell(job);
  }

  #applyToKnown(id: string, kind: 'progress' | 'cancellation', row: FeedRow): void {
    const job = this.#jobs.get(id);
    if (job === undefined) {
      this.#early.set(id, [...(this.#early.get(id) ?? []), row]);
      return;
    }
    if (kind === 'cancellation') {
      job.cancelled = true;
    } else {
      if (row.version <= job.progressVersion) return;
      job.progress = unpackProgress(job.submission, row.value);
      job.progressVersion = row.version;
    }
    this.#tell(job);
  }

  #tell(job: KnownJob): void {
    this.#listeners.forEach((listener) => listener(job));
  }
}

/** What a caller is told of a job. */
export function jobState({ submission, progress, cancelled }: KnownJob): JobState {
  const { state } = progress ?? new JobProgress(submission);
  return cancelled && (state === 'queued' || state === 'running') ? 'cancelled' : state;
}

function isWaiting({ progress, cancelled }: KnownJob): boolean {
  if (cancelled) return false;
  return progress === undefined || (progress.outcome === 'open' && !progress.begun);
}
