/** Rate at which a queue empties, as a decayed mean over time. */

/** Events per ms, averaged over about `windowMs`. Until that has passed once, over the time since the start. */
export class DrainRate {
  readonly #windowMs: number;

  #events = 0;

  #startedAt: number | undefined;

  #at = 0;

  constructor({ windowMs = 600_000 }: { windowMs?: number } = {}) {
    this.#windowMs = windowMs;
  }

  /** `count` jobs left the queue. */
  note(now: number, count = 1): void {
    this.#settle(now);
    this.#events += count;
  }

  /** Events per ms at `now`. */
  perMs(now: number): number {
    if (this.#startedAt === undefined) return 0;
    this.#settle(now);
    // Weight of the time seen so far under the same decay as the events.
    const seenMs = this.#windowMs * (1 - Math.exp(-(now - this.#startedAt) / this.#windowMs));
    return this.#events / Math.max(1, seenMs);
  }

  #settle(now: number): void {
    if (this.#startedAt === undefined) {
      this.#startedAt = now;
      this.#at = now;
    }
    const elapsedMs = Math.max(0, now - this.#at);
    this.#events *= Math.exp(-elapsedMs / this.#windowMs);
    this.#at += elapsedMs;
  }
}
