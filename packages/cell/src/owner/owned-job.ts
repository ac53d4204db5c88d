/** A job in the hands of the cell's owner: its progress, ahead of the store by the changes that aren't written yet. */
import type { JobSnapshot } from '../job/job-view.js';
import { JobProgress } from '../job/progress.js';
import type { QueueTerms, Step, Submission } from '../job/submission.js';

/** A step's next runs are kept from a worker where one went wrong for this long, in ms; then any will do. */
const AVOID_MS = 2500;

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
  #madeRoomAt = -Infinity;

  #cancelled: boolean;

  #terms: QueueTerms;

  /** Workers where a step's runs went wrong, and when, by `<occurrence>.<step>` and VM. */
  readonly #avoided = new Map<string, Map<string, number>>();

  /** How long tasks of each step took that ran from their beginning, in ms: the newest. */
  readonly #tookMs = new Map<Step, number>();

  /** Failure domains in which runs start by changes that aren't durable yet, with the last such change of each. */
  readonly #startsIn = new Map<string, number>();

  #change = 0;

  #durable = 0;

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

  /** A run of this step went wrong there. */
  avoid({ occurrence, step }: StepRef, vm: string, now: number): void {
    const key = `${occurrence}.${step}`;
    const vms = this.#avoided.get(key) ?? new Map<string, number>();
    this.#avoided.set(key, vms);
    vms.set(vm, now);
  }

  /** Workers that the next runs of this step are kept from. */
  avoided({ occurrence, step }: StepRef, now: number): Set<string> {
    const vms = this.#avoided.get(`${occurrence}.${step}`) ?? new Map<string, number>();
    const recent = [...vms].filter(([, at]) => now - at < AVOID_MS);
    return new Set(recent.map(([vm]) => vm));
  }

  /** A task of this step ran for so long from its beginning to its end. */
  noteTook(step: Step, tookMs: number): void {
    this.#tookMs.set(step, tookMs);
  }

  /** How long a task of this step took; undefined before one has ended. */
  tookMs(step: Step): number | undefined {
    return this.#tookMs.get(step);
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

  /** A run starts there by this change. */
  noteStart(failureDomain: string, change: number): void {
    this.#startsIn.set(failureDomain, change);
  }

  /** No run starts there any more. */
  forgetStarts(failureDomain: string): void {
    this.#startsIn.delete(failureDomain);
  }

  /** Failure domains in which something starts once all changes so far are durable. */
  startsIn(): string[] {
    return [...this.#startsIn.keys()];
  }

  isDurable(change: number): boolean {
    return change <= this.#durable;
  }

  /** The store has this change. */
  wrote(change: number, version: number): void {
    this.#durable = Math.max(this.#durable, change);
    this.progressVersion = version;
    this.#startsIn.forEach((last, failureDomain) => {
      if (this.isDurable(last)) this.#startsIn.delete(failureDomain);
    });
  }
}
