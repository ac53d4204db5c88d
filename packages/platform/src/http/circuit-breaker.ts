/** Circuit breaker: while the store fails, calls are refused at once instead of piling up on it. */
import type { Clock } from '@zincspan/core';

/** Opens after failures in a row; once `openMs` has passed, lets one attempt through to probe. */
export class CircuitBreaker {
  readonly #clock: Clock;

  readonly #failuresToOpen: number;

  readonly #openMs: number;

  #failures = 0;

  #openUntil = 0;

  constructor({
    clock,
    failuresToOpen,
    openMs,
  }: {
    clock: Clock;
    failuresToOpen: number;
    openMs: number;
  }) {
    this.#clock = clock;
    this.#failuresToOpen = failuresToOpen;
    this.#openMs = openMs;
  }

  get open(): boolean {
    return this.#failures >= this.#failuresToOpen;
  }

  /** How long to stay away, in ms; 0 if an attempt may be made now. */
  get closedInMs(): number {
    return this.open ? Math.max(0, this.#openUntil - this.#clock.now()) : 0;
  }

  /** Takes leave for an attempt; answers as `closedInMs`. */
  enter(): number {
    const waitMs = this.closedInMs;
    // This caller probes; others stay away until its outcome is known or another openMs has passed.
    if (waitMs === 0 && this.open) this.#openUntil = this.#clock.now() + this.#openMs;
    return waitMs;
  }

  succeeded(): void {
    this.#failures = 0;
  }

  failed(): void {
    this.#failures += 1;
    if (this.open) this.#openUntil = this.#clock.now() + this.#openMs;
  }
}
