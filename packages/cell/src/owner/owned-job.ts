/** A job as the cell's owner holds it in memory: its progress is ahead of the store by the changes that aren't written yet. */
import type { JobSnapshot } from '../job/job-view.js';
import { JobProgress } from '../job/progress.js';
import type { QueueTerms, Step, Submission } from '../job/submission.js';

/** The next runs of a step avoid a worker where one went wrong for this long, in ms; after that any worker will do. */
const AVOID_WORKER_MS = 2500;

/** A step of one occurrence of a job. */
export interface StepRef {
  occurrence: number;
  step: number;
}

/** Numbers the changes of the job's progress; the last durable one and all before it are in the store. */
export class OwnedJob {
  readonly id: string;

  readonly submission: Submission;

  readonly progress: JobProgress;

  readonly submissionVersion: number;

  /** Version of the progress row; 0 while there is none. */
  progressVersion: number;

  /** When each waiting step was first seen ready, by `<occurrence>.<step>`, on the monotonic clock. */
  readonly readySince = new Map<string, number>();

  /** When runs of other jobs were last preempted for this one, on the monotonic clock. */
  #lastPreemptionAt = -Infinity;

  /** Time between the first refusal of the job and its acceptance, in ms; 0 if it wasn't refused. */
  #refusedForMs = 0;

  #cancelled: boolean;

  #terms: QueueTerms;

  /** When a run of a step last went wrong on a worker, by `<occurrence>.<step>` and VM. */
  readonly #avoidedWorkers = new Map<string, Map<string, number>>();

  /** Duration of the newest task of each step that ran from its beginning, in ms. */
  readonly #lastTaskMs = new Map<Step, number>();

  /** Failure domains in which changes that aren't durable yet start runs, each with the last such change. */
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
  }: JobSnapshot) {
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

  get refusedForMs(): number {
    return this.#refusedForMs;
  }

  /** The job was refused before, first this long ago, in ms. */
  noteRefused(sinceFirstMs: number): void {
    this.#refusedForMs = sinceFirstMs;
  }

  get cancelled(): boolean {
    return this.#cancelled;
  }

  /** Its caller has cancelled the job. */
  markCancelled(): void {
    this.#cancelled = true;
  }

  /** Terms of its queue: as configured now, or as of the job's acceptance if the queue is no longer configured. */
  get terms(): QueueTerms {
    return this.#terms;
  }

  setTerms(terms: QueueTerms): void {
    this.#terms = terms;
  }

  /** Keeps the next runs of this step off a worker where one went wrong. */
  avoidWorker({ occurrence, step }: StepRef, vm: string, now: number): void {
    const key = `${occurrence}.${step}`;
    const vms = this.#avoidedWorkers.get(key) ?? new Map<string, number>();
    this.#avoidedWorkers.set(key, vms);
    vms.set(vm, now);
  }

  /** Workers that the next runs of this step avoid. */
  avoidedWorkers({ occurrence, step }: StepRef, now: number): Set<string> {
    const vms = this.#avoidedWorkers.get(`${occurrence}.${step}`) ?? new Map<string, number>();
    const recent = [...vms].filter(([, at]) => now - at < AVOID_WORKER_MS);
    return new Set(recent.map(([vm]) => vm));
  }

  /** Workers of the active tasks that started with this run, of the same step. */
  activeVms({ ref, run }: { ref: StepRef; run: number }): string[] {
    return this.progress
      .activeRuns()
      .filter((other) => other.ref.occurrence === ref.occurrence && other.ref.step === ref.step)
      .flatMap(({ active }) => (active.run === run ? [active.vm] : []));
  }

  /** Records the duration of a task of this step that ran from its beginning to its end. */
  noteTaskDuration(step: Step, durationMs: number): void {
    this.#lastTaskMs.set(step, durationMs);
  }

  /** Duration of the newest such task of this step, in ms; undefined before one has ended. */
  lastTaskMs(step: Step): number | undefined {
    return this.#lastTaskMs.get(step);
  }

  get lastChange(): number {
    return this.#lastChange;
  }

  get isDirty(): boolean {
    return this.#lastChange > this.#lastDurableChange;
  }

  /** Numbers a change that was just made to the progress. */
  addChange(): number {
    this.#lastChange += 1;
    return this.#lastChange;
  }

  /** A run starts in this failure domain by this change. */
  addPendingStart(failureDomain: string, change: number): void {
    this.#pendingStarts.set(failureDomain, change);
  }

  /** No change that isn't durable yet starts a run in this failure domain any more. */
  dropPendingStarts(failureDomain: string): void {
    this.#pendingStarts.delete(failureDomain);
  }

  /** Failure domains in which runs start once all changes so far are durable. */
  pendingStartDomains(): string[] {
    return [...this.#pendingStarts.keys()];
  }

  isDurable(change: number): boolean {
    return change <= this.#lastDurableChange;
  }

  /** The store has all changes up to this one, in this version of the progress row. */
  markWritten(change: number, version: number): void {
    this.#lastDurableChange = Math.max(this.#lastDurableChange, change);
    this.progressVersion = version;
    this.#pendingStarts.forEach((last, failureDomain) => {
      if (this.isDurable(last)) this.#pendingStarts.delete(failureDomain);
    });
  }
}
