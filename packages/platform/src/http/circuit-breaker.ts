/** Circuit breaker: while the store fails, calls are refused at once instead of piling up on it. */
import type { Clock } from '@zincspan/core';

/** How a breaker is set up. Times in ms. */
export interface CircuitBreakerOptions {
  clock: Clock;
  /** Failures in a row that open it. */
  failuresToOpen: number;
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

  get open(): boolean {
    return this.#failures >= this.#options.failuresToOpen;
  }

  /** How long to stay away, in ms; 0 if an attempt may be made now. */
  get waitMs(): number {
    return this.open ? Math.max(0, this.#openUntil - this.#options.clock.now()) : 0;
  }

  /** Takes leave for an attempt; answers as `waitMs`. */
  enter(): number {
    const { waitMs } = this;
    // This caller probes; others stay away until its outcome is known or another openMs has passed.
    if (waitMs === 0 && this.open) this.#stayOpen();
    return waitMs;
  }

  succeeded(): void {
    const wasOpen = this.open;
    this.#failures = 0;
    if (wasOpen) this.#options.onChange?.('closed');
  }

  failed(): void {
    const wasOpen = this.open;
    this.#failures += 1;
    if (!this.open) return;
    this.#stayOpen();
    if (!wasOpen) this.#options.onChange?.('open');
  }

  #stayOpen(): void {
    this.#openUntil = this.#options.clock.now() + this.#options.openMs;
  }
}
