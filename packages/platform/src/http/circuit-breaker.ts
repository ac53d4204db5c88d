/** Circuit breaker: while the store fails, calls are rejected at once instead of piling up on it. */
import type { Clock } from '@zincspan/core';

/** Settings of a circuit breaker. Times in ms. */
export interface CircuitBreakerOptions {
  clock: Clock;
  /** Consecutive failures that open it. */
  failureThreshold: number;
  /** How long it stays open before it admits a probe. */
  openMs: number;
  /** Called on each change of state. */
  onChange?: (state: 'open' | 'closed') => void;
}

/** Opens after `failureThreshold` consecutive failures; after `openMs` it admits one attempt as a probe. */
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

  /** Time until an attempt may be made, in ms; 0 if one may be made now. */
  get remainingOpenMs(): number {
    return this.isOpen ? Math.max(0, this.#openUntil - this.#options.clock.now()) : 0;
  }

  /** Returns `remainingOpenMs`; the attempt is admitted if that is 0. */
  admit(): number {
    const { remainingOpenMs } = this;
    // This caller is the probe; others are rejected until its outcome is known or another openMs has passed.
    if (remainingOpenMs === 0 && this.isOpen) this.#startOpenPeriod();
    return remainingOpenMs;
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
