/** Circuit breaker: while the store fails, calls are refused at once instead of piling up on it. */
import type { Clock } from '@zincspan/core';

/** How a breaker is set up. Times in ms. */
export interface CircuitBreakerOptions {
  clock: Clock;
  /** Failures in a row that open it. */
  failureThreshold: number;
  /** How long it stays open before it lets an attempt through. */
  openMs: number;
  /** Told of each change of state. */
  onChange?: (state: 'open' | 'closed') => void;
}

/** Opens after failures in a row; once `openMs` has passed, lets one attempt through to probe. */
export class CircuitBreaker {
  readonly #options: CircuitBreakerOptions;

  #failures = 0;

  #openUntil = 0;

  constructor(options: CircuitBreakerOptions) {
    this.#options = options;
  }

  get isOpen(): boolean {
    return this.#failures >= this.#options.failureThreshold;
  }

  /** How long to stay away, in ms; 0 if an attempt may be made now. */
  get waitMs(): number {
    return this.isOpen ? Math.max(0, this.#openUntil - this.#options.clock.now()) : 0;
  }

  /** Takes leave for an attempt; answers as `waitMs`. */
  admit(): number {
    const { waitMs } = this;
    // This caller probes; others stay away until its outcome is known or another openMs has passed.
    if (waitMs === 0 && this.isOpen) this.#startOpenPeriod();
    return waitMs;
  }

  recordSuccess(): void {
    const wasOpen = this.isOpen;
    this.#failures = 0;
    if (wasOpen) this.#options.onChange?.('closed');
  }

  recordFailure(): void {
    const wasOpen = this.isOpen;
    this.#failures += 1;
    if (!this.isOpen) return;
    this.#startOpenPeriod();
    if (!wasOpen) this.#options.onChange?.('open');
  }

  #startOpenPeriod(): void {
    this.#openUntil = this.#options.clock.now() + this.#options.openMs;
  }
}
