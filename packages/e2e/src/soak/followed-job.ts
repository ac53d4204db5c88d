/** A job of a soak run as its caller knows it. */
import { MAX_ATTEMPTS, type SoakJob } from './soak-jobs.js';

const OVER = ['completed', 'failed', 'cancelled'];

/** From the first try to the last state. */
export class FollowedJob {
  readonly job: SoakJob;

  #acceptedAt: number | undefined;

  #isUnsure = false;

  #isCancelled = false;

  #state = 'never shown';

  constructor(job: SoakJob) {
    this.job = job;
  }

  /** On this process's monotonic clock, in ms. */
  get acceptedAt(): number | undefined {
    return this.#acceptedAt;
  }

  /** A try may have been accepted without an answer. */
  get isUnsure(): boolean {
    return this.#isUnsure;
  }

  /** As it was shown last. */
  get state(): string {
    return this.#state;
  }

  /** Accepted, and not known to be over. */
  get isOpen(): boolean {
    return this.#acceptedAt !== undefined && !OVER.includes(this.#state);
  }

  /** Its last state can't be true. */
  get isShownWrongly(): boolean {
    if (this.#state === 'failed') return this.job.failRuns < MAX_ATTEMPTS && !this.job.crashes;
    return this.#state === 'cancelled' && !this.#isCancelled;
  }

  accept(): void {
    this.#acceptedAt ??= performance.now();
  }

  doubt(): void {
    this.#isUnsure = true;
  }

  /** Its cancellation was sent. */
  cancel(): void {
    this.#isCancelled = true;
  }

  show(state: string): void {
    this.#state = state;
  }
}
