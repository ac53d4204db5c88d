/** Bound on calls at once, with a bounded line of waiting ones. */

/** Why a call couldn't get its turn. */
export type LimitRefusal = 'full' | 'waited-too-long' | 'dismissed';

interface Waiting {
  /** Ends the wait: with a turn, or with a refusal. */
  end(refusal?: LimitRefusal): void;
  timer: NodeJS.Timeout;
}

/** First come, first served. */
export class CallLimit {
  readonly #concurrency: number;

  readonly #maxWaiting: number;

  readonly #waiting = new Set<Waiting>();

  #running = 0;

  constructor({ concurrency, waiting }: { concurrency: number; waiting: number }) {
    this.#concurrency = concurrency;
    this.#maxWaiting = waiting;
  }

  get running(): number {
    return this.#running;
  }

  get waiting(): number {
    return this.#waiting.size;
  }

  /** Waits for a turn, `limitMs` at most. Whoever got one gives it back by `release`. */
  async acquire(limitMs: number): Promise<LimitRefusal | undefined> {
    if (this.#running < this.#concurrency) {
      this.#running += 1;
      return undefined;
    }
    if (this.#waiting.size >= this.#maxWaiting) return 'full';
    return this.#wait(limitMs);
  }

  /** Gives a turn back, to the one that has waited longest. */
  release(): void {
    const [first] = this.#waiting;
    if (first === undefined) {
      this.#running -= 1;
      return;
    }
    this.#end(first);
  }

  /** Refuses every call that waits. */
  dismiss(): void {
    [...this.#waiting].forEach((waiting) => this.#end(waiting, 'dismissed'));
  }

  #end(waiting: Waiting, refusal?: LimitRefusal): void {
    this.#waiting.delete(waiting);
    clearTimeout(waiting.timer);
    waiting.end(refusal);
  }

  async #wait(limitMs: number): Promise<LimitRefusal | undefined> {
    return new Promise((resolve) => {
      const waiting: Waiting = {
        end: resolve,
        timer: setTimeout(() => this.#end(waiting, 'waited-too-long'), limitMs),
      };
      this.#waiting.add(waiting);
    });
  }
}
