/** Waiting for a row to change: told at once by this entry's own owners, and looked at now and then otherwise. */

/** Those who wait, by row key. */
export class RowWatch {
  readonly #waiting = new Map<string, Set<() => void>>();

  /** A row was changed by this entry. */
  changed(key: string): void {
    const waiting = this.#waiting.get(key);
    this.#waiting.delete(key);
    waiting?.forEach((wake) => wake());
  }

  /** Calls `wake` once after the next change; the answer ends the wait. */
  next(key: string, wake: () => void): () => void {
    const waiting = this.#waiting.get(key) ?? new Set();
    this.#waiting.set(key, waiting);
    waiting.add(wake);
    return () => {
      waiting.delete(wake);
      if (waiting.size === 0 && this.#waiting.get(key) === waiting) this.#waiting.delete(key);
    };
  }
}
