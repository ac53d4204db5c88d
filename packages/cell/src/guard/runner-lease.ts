/**
 * The lease under which a runner's tasks go on. The owner grants it in its answer to a contact, counted from when the contact was
 * sent. The runner gets it as a deadline on its own clock, so that a call that arrives late doesn't extend it.
 */

import { LEASE_SLACK_MS, MAX_CLOCK_SLOWDOWN } from '../clock/lease-margin.js';

/** A reading of the runner's clock: it showed `runnerMs` no later than `at` on the guard's clock. */
interface ClockSample {
  runnerMs: number;
  at: number;
}

/** Lease of one incarnation of a runner. Times in ms; `now` is the guard's monotonic clock. */
export class RunnerLease {
  #clockSample: ClockSample | undefined;

  #grantEndsAt = -Infinity;

  /** Latest end of any lease that was passed to the runner. */
  #issuedUntil: number;

  /** `issuedUntil`: others may have passed a lease to this incarnation that ends then; -Infinity if nobody can have. */
  constructor({ issuedUntil = -Infinity }: { issuedUntil?: number } = {}) {
    this.#issuedUntil = issuedUntil;
  }

  noteClock(runnerMs: number, at: number): void {
    this.#clockSample = { runnerMs, at };
  }

  /** The owner answered a contact sent at `sentAt` with a lease of `leaseMs`. */
  grant(sentAt: number, leaseMs: number): void {
    this.#grantEndsAt = Math.max(this.#grantEndsAt, sentAt + leaseMs);
  }

  /**
   * End of the granted lease on the runner's clock, to be passed to the runner; undefined without a valid lease or a reading of
   * that clock.
   */
  deadline(now: number): number | undefined {
    if (this.#clockSample === undefined || now >= this.#grantEndsAt) return undefined;
    this.#issuedUntil = Math.max(this.#issuedUntil, this.#grantEndsAt);
    const { runnerMs, at } = this.#clockSample;
    return Math.floor(runnerMs + (this.#grantEndsAt - at));
  }

  /** True once no lease that was passed to the runner can still be valid. */
  hasExpired(now: number): boolean {
    if (this.#issuedUntil === -Infinity) return true;
    return (
      now >
      this.#issuedUntil + (MAX_CLOCK_SLOWDOWN - 1) * (now - this.#issuedUntil) + LEASE_SLACK_MS
    );
  }
}
