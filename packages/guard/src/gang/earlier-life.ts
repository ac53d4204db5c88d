/**
 * What an earlier life of this guard may have left running on the worker. Until the worker has been cleared of it,
 * this life can't say of a task that it doesn't know that it doesn't run.
 */
import type { Clock } from '@zincspan/core';

/** Tasks of an earlier life end at the latest when their leases do. */
export class EarlierLife {
  readonly #clock: Clock;

  readonly #overAt: number;

  #cleared = false;

  /** `leaseMs` and `clockMargin` as earlier lives had them. */
  constructor(options: { clock: Clock; leaseMs: number; clockMargin: number }) {
    const { clock, leaseMs, clockMargin } = options;
    this.#clock = clock;
    this.#overAt = clock.now() + leaseMs * (1 + clockMargin);
  }

  /** The worker was found without tasks that this life doesn't know. */
  cleared(): void {
    this.#cleared = true;
  }

  /** Whether a task of it may still run. */
  get mayRun(): boolean {
    return !this.#cleared && this.#clock.now() <= this.#overAt;
  }
}
