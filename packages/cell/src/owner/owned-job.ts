/** A job in the hands of the cell's owner: its progress, ahead of the store by the changes that aren't written yet. */
import type { KnownJob } from '../job/job-view.js';
import { JobProgress } from '../job/progress.js';
import type { QueueTerms, Step, Submission } from '../job/submission.js';

/** A step's next runs are kept from a worker where one went wrong for this long, in ms; then any will do. */
const AVOID_WORKER_MS = 2500;

/** Names a step of an occurrence. */
export interface StepRef {
  occurrence: number;
  step: number;
}

/** Changes are numbered; the one numbered `durable` and all before it are in the store. */
export class OwnedJob {
  readonly id: string;

  readonly submission: Submission;

  readonly progress: JobProgress;

  readonly submissionVersion: number;

  /** Version of the progress row; 0 while there is none. */
  progressVersion: number;

  /** When each waiting step was first seen ready, by `<occurrence>.<step>`, on the monotonic clock. */
  readonly readySince = new Map<string, number>();

  /** When runs of others were last stopped for it, on the monotonic clock. */
  #lastPreemptionAt = -Infinity;

  #cancelled: boolean;

  #terms: QueueTerms;

  /** Workers where a step's runs went wrong, and when, by `<occurrence>.<step>` and VM. */
  readonly #avoidedWorkers = new Map<string, Map<string, number>>();

  /** How long tasks of each step took that ran from their beginning, in ms: the newest. */
  readonly #lastTaskMs = new Map<Step, number>();

  /** Failure domains in which runs start by changes that aren't durable yet, with the last such change of each. */
  readonly #pendingStarts = new Map<string, number>();

  #lastChange = 0;

  #lastDurableChange = 0;

  constructor({
    id,
    submission,
    submissionVersion,
    progress,
    progressVersion,
    cancelled,
  }: KnownJob) {
    this.id = id;
    this.submissionVersion = submissionVersion;
    this.submission = submission;
    this.progress = progress ?? new JobProgress(submission);
    this.progressVersion = progressVersion;
    this.#cancelled = cancelled;
    this.#terms = submission.terms;
  }

  get lastPreemptionAt(): number {
    return this.#lastPreemptionAt;
  }

  notePreemption(now: number): void {
    this.#lastPreemptionAt = now;
  }

  get cancelled(): boolean {
    return this.#cancelled;
  }

  /** Its caller has cancelled it. */
  markCancelled(): void {
    this.#cancelled = true;
  }

  /** Of its queue: as configured now, or as it was when the job was accepted. */
  get terms(): QueueTerms {
    return this.#terms;
  }

  setTerms(terms: QueueTerms): void {
    this.#terms = terms;
  }

  /** A run of this step went wrong there. */
  avoidWorker({ occurrence, step }: StepRef, vm: string, now: number): void {
    const key = `${occurrence}.${step}`;
    const vms = this.#avoidedWorkers.get(key) ?? new Map<string, number>();
    this.#avoidedWorkers.set(key, vms);
    vms.set(vm, now);
  }

  /** Workers that the next runs of this step are kept from. */
  avoidedWorkers({ occurrence, step }: StepRef, now: number): Set<string> {
    const vms = this.#avoidedWorkers.get(`${occurrence}.${step}`) ?? new Map<string, number>();
    const recent = [...vms].filter(([, at]) => now - at < AVOID_WORKER_MS);
    return new Set(recent.map(([vm]) => vm));
  }

  /** A task of this step ran for so long from its beginning to its end. */
  noteTaskDuration(step: Step, durationMs: number): void {
    this.#lastTaskMs.set(step, durationMs);
  }

  /** How long a task of this step took; undefined before one has ended. */
  lastTaskMs(step: Step): number | undefined {
    return this.#lastTaskMs.get(step);
  }

  get lastChange(): number {
    return this.#lastChange;
  }

  get isDirty(): boolean {
    return this.#lastChange > this.#lastDurableChange;
  }

  /** Numbers a change of the progress that was just made. */
  addChange(): number {
    this.#lastChange += 1;
    return this.#lastChange;
  }

  /** A run starts there by this change. */
  addPendingStart(failureDomain: string, change: number): void {
    this.#pendingStarts.set(failureDomain, change);
  }

  /** No run starts there any more. */
  dropPendingStarts(failureDomain: string): void {
    this.#pendingStarts.delete(failureDomain);
  }

  /** Failure domains in which something starts once all changes so far are durable. */
  pendingStartDomains(): string[] {
    return [...this.#pendingStarts.keys()];
  }

  isDurable(change: number): boolean {
    return change <= this.#lastDurableChange;
  }

  /** The store has this change. */
  markWritten(change: number, version: number): void {
    this.#lastDurableChange = Math.max(this.#lastDurableChange, change);
    this.progressVersion = version;
    this.#pendingStarts.forEach((last, failureDomain) => {
      if (this.isDurable(last)) this.#pendingStarts.delete(failureDomain);
    });
  }
}
