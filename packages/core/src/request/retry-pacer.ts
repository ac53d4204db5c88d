/** Spreads the times at which refused callers are asked to come back, at the rate at which there is room. */

const SHORTEST_MS = 20;
const LONGEST_MS = 30_000;

/** Gives each refused caller a time of its own, so that they don't all return at once. */
export class RetryPacer {
  #nextAt = 0;

  /** How long this caller should wait, in ms; `perMs` is the rate at which requests end. */
  next(now: number, perMs: number): number {
    const gapMs = perMs > 0 ? 1 / perMs : LONGEST_MS;
    const at = Math.max(now + SHORTEST_MS, this.#nextAt + gapMs);
    this.#nextAt = Math.min(at, now + LONGEST_MS);
    return Math.ceil(this.#nextAt - now);
  }
}
