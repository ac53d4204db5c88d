/** A job in the hands of the cell's owner: its progress, ahead of the store by the changes that aren't written yet. */
import type { KnownJob } from '../job/job-view.js';
import { JobProgress } from '../job/progress.js';
import type { QueueTerms, Submission } from '../job/submission.js';

/** Changes are numbered; the one numbered `durable` and all before it are in the store. */
export class OwnedJob {
  readonly id: string;

  readonly submission: Submission;

  readonly progress: JobProgress;

  /** Version of the progress row; 0 while there is none. */
  progressVersion: number;

  /** When each waiting step was first seen ready, by `<occurrence>.<step>`, on the monotonic clock. */
  readonly readySince = new Map<string, number>();

  /** When runs of others were last stopped for it, on the monotonic clock. */
  #madeRoomAt = -Infinity;

  #cancelled: boolean;

  #terms: QueueTerms;

  #change = 0;

  #durable = 0;

  constructor({ id, submission, progress, progressVersion, cancelled }: KnownJob) {
    this.id = id;
    this.submission = submission;
    this.progress = progress ?? new JobProgress(submission);
    this.progressVersion = progressVersion;
    this.#cancelled = cancelled;
    this.#terms = submission.terms;
  }

  get madeRoomAt(): number {
    return this.#madeRoomAt;
  }

  noteRoomMade(now: number): void {
    this.#madeRoomAt = now;
  }

  get cancelled(): boolean {
    return this.#cancelled;
  }

  /** Its caller has cancelled it. */
  noteCancelled(): void {
    this.#cancelled = true;
  }

  /** Of its queue: as configured now, or as it was when the job was accepted. */
  get terms(): QueueTerms {
    return this.#terms;
  }

  noteTerms(terms: QueueTerms): void {
    this.#terms = terms;
  }

  get change(): number {
    return this.#change;
  }

  get isDirty(): boolean {
    return this.#change > this.#durable;
  }

  /** Numbers a change of the progress that was just made. */
  changed(): number {
    this.#change += 1;
    return this.#change;
  }

  isDurable(change: number): boolean {
    return change <= this.#durable;
  }

  /** The store has this change. */
  wrote(change: number, version: number): void {
    this.#durable = Math.max(this.#durable, change);
    this.progressVersion = version;
  }
}
