/**
 * The authority by which tasks go on, between two clocks. A contact that the owner answered gives it, counted from when
 * the contact was sent; the runner gets it as a moment on its own clock, so that a call that arrives late gives no more.
 */

import { LEASE_SLACK_MS, SLOW_CLOCK } from '../clock/lease-margin.js';

/** A reading of the runner's clock: it showed `runnerMs` no later than `at` on the guard's clock. */
interface Reading {
  runnerMs: number;
  at: number;
}

/** One life of a runner. Times in ms; `now` is the guard's monotonic clock. */
export class RunnerLease {
  #reading: Reading | undefined;

  #authorityEnd = -Infinity;

  /** Latest end of any lease that was handed on. */
  #handedEnd: number;

  /** `heldUntil`: somebody else may have handed it a lease until then. */
  constructor({ heldUntil = -Infinity }: { heldUntil?: number } = {}) {
    this.#handedEnd = heldUntil;
  }

  noteClock(runnerMs: number, at: number): void {
    this.#reading = { runnerMs, at };
  }

  /** A contact sent at `sentAt` was answered with this authority. */
  grant(sentAt: number, leaseMs: number): void {
    this.#authorityEnd = Math.max(this.#authorityEnd, sentAt + leaseMs);
  }

  /** The end of the authority on the runner's clock; undefined if there is none, or its clock isn't known. */
  deadline(now: number): number | undefined {
    if (this.#reading === undefined || now >= this.#authorityEnd) return undefined;
    this.#handedEnd = Math.max(this.#handedEnd, this.#authorityEnd);
    const { runnerMs, at } = this.#reading;
    return Math.floor(runnerMs + (this.#authorityEnd - at));
  }

  /** True once no lease that was handed on can still hold. */
  isOver(now: number): boolean {
    if (!Number.isFinite(this.#handedEnd)) return false;
    return now > this.#handedEnd + (SLOW_CLOCK - 1) * (now - this.#handedEnd) + LEASE_SLACK_MS;
  }
}
