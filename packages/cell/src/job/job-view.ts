/** In-memory view of jobs, assembled from their rows in any order. */
import type { ProcessContext } from '@zincspan/core';
import type { FeedRow, Row } from '../store/row-store.js';
import { parseJobRowKey, unpackProgress, unpackSubmission } from './job-rows.js';
import { JobProgress, type JobState } from './progress.js';
import type { Submission } from './submission.js';

/** State of a job according to its rows. Versions are those of the rows; 0 where there is none. */
export interface JobSnapshot {
  id: string;
  submission: Submission;
  submissionVersion: number;
  /** Undefined until the owner first writes it. */
  progress?: JobProgress;
  progressVersion: number;
  cancelled: boolean;
}

/** Called after each change was applied. */
export type JobListener = (job: JobSnapshot) => void;

/** All jobs whose rows have been received. */
export class JobView {
  readonly #jobs = new Map<string, JobSnapshot>();

  /** Rows of jobs whose submission hasn't been received yet. */
  readonly #pendingRows = new Map<string, FeedRow[]>();

  readonly #listeners: JobListener[] = [];

  readonly #ctx: ProcessContext;

  constructor({ ctx }: { ctx: ProcessContext }) {
    this.#ctx = ctx;
  }

  subscribe(listener: JobListener): void {
    this.#listeners.push(listener);
  }

  all(): IterableIterator<JobSnapshot> {
    return this.#jobs.values();
  }

  get(id: string): JobSnapshot | undefined {
    return this.#jobs.get(id);
  }

  /** Adds a job that was removed from this view, unless it is here again. Its rows that came meanwhile are applied. */
  restore(job: JobSnapshot): void {
    if (this.#jobs.has(job.id)) return;
    this.#jobs.set(job.id, job);
    this.#applyPending(job.id);
  }

  remove(id: string): void {
    this.#jobs.delete(id);
    this.#pendingRows.delete(id);
  }

  /** Number of accepted jobs of a queue that have started no task yet. */
  countWaiting(queue: string): number {
    let count = 0;
    this.#jobs.forEach((job) => {
      if (job.submission.queue === queue && isWaiting(job)) count += 1;
    });
    return count;
  }

  /** Applies a row unless a newer version is known. Returns its job's id; undefined if it isn't a job's row. */
  apply(row: FeedRow): string | undefined {
    const parsed = parseJobRowKey(row.key);
    if (parsed === undefined) return undefined;
    const { id, kind } = parsed;
    if (row.deleted) {
      if (kind === 'submission') this.remove(id);
      return id;
    }
    try {
      if (kind === 'submission') this.#applySubmission(id, row);
      else this.#applyUpdate(id, kind, row);
    } catch (err) {
      this.#ctx.metrics.count('job.row-unreadable');
      this.#ctx.log.error(
        { err, key: row.key, version: row.version },
        'cannot decode job row; ignoring it',
      );
    }
    return id;
  }

  #applySubmission(id: string, row: Row): void {
    if (this.#jobs.has(id)) return;
    const job: JobSnapshot = {
      id,
      submission: unpackSubmission(row.value),
      submissionVersion: row.version,
      progressVersion: 0,
      cancelled: false,
    };
    this.#jobs.set(id, job);
    this.#applyPending(id);
    this.#notifyListeners(job);
  }

  #applyPending(id: string): void {
    const pending = this.#pendingRows.get(id) ?? [];
    this.#pendingRows.delete(id);
    pending.forEach((each) => this.apply(each));
  }

  #applyUpdate(id: string, kind: 'progress' | 'cancellation', row: FeedRow): void {
    const job = this.#jobs.get(id);
    if (job === undefined) {
      this.#pendingRows.set(id, [...(this.#pendingRows.get(id) ?? []), row]);
      return;
    }
    if (kind === 'cancellation') {
      job.cancelled = true;
    } else {
      if (row.version <= job.progressVersion) return;
      job.progress = unpackProgress(job.submission, row.value);
      job.progressVersion = row.version;
    }
    this.#notifyListeners(job);
  }

  #notifyListeners(job: JobSnapshot): void {
    this.#listeners.forEach((listener) => listener(job));
  }
}

/** State of a job as reported to callers. */
export function jobState({ submission, progress, cancelled }: JobSnapshot): JobState {
  const { state } = progress ?? new JobProgress(submission);
  return cancelled && (state === 'queued' || state === 'running') ? 'cancelled' : state;
}

function isWaiting({ progress, cancelled }: JobSnapshot): boolean {
  if (cancelled) return false;
  return progress === undefined || (progress.outcome === 'open' && !progress.begun);
}
