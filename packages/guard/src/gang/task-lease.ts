/** What is known of a task's lease on its worker: when it may end last, whatever answers were lost. */
import type { Clock } from '@zincspan/core';

/** Times in ms, by the guard's own monotonic clock. */
export class TaskLease {
  readonly #clock: Clock;

  readonly #margin: number;

  #lastOkAt: number;

  /** The latest time at which a grant may have reached the worker. */
  #lastTryEndedAt: number;

  #trying = 0;

  /** Longest lease that the worker may have been given. */
  #grantedMs = 0;

  /** `margin`: allowance for a slow clock at the worker, as a share of the lease. */
  constructor({ clock, margin }: { clock: Clock; margin: number }) {
    this.#clock = clock;
    this.#margin = margin;
    this.#lastOkAt = clock.now();
    this.#lastTryEndedAt = clock.now();
  }

  /** Carries out an order that grants a lease, and notes when it may have arrived last. */
  async grant<T>(leaseMs: number, order: () => Promise<T>): Promise<T> {
    this.#grantedMs = Math.max(this.#grantedMs, leaseMs);
    this.#trying += 1;
    try {
      const answer = await order();
      this.#lastOkAt = this.#clock.now();
      return answer;
    } finally {
      this.#trying -= 1;
      this.#lastTryEndedAt = this.#clock.now();
    }
  }

  /** Time since the worker last answered a grant. */
  get silentMs(): number {
    return this.#clock.now() - this.#lastOkAt;
  }

  /** True once no grant that may have arrived can still run. */
  get surelyOver(): boolean {
    if (this.#trying > 0) return false;
    return this.#clock.now() - this.#lastTryEndedAt > this.#grantedMs * (1 + this.#margin);
  }
}
