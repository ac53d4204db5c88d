/** Bound on calls at once, with a bounded line of waiting ones. */

/** Why a call couldn't get its turn. */
export type LimiterRejection = 'full' | 'waited-too-long' | 'dismissed';

interface QueuedCall {
  /** Ends the wait: with a turn, or with a refusal. */
  settle(refusal?: LimiterRejection): void;
  timer: NodeJS.Timeout;
}

/** First come, first served. */
export class ConcurrencyLimiter {
  readonly #concurrency: number;

  readonly #maxQueued: number;

  readonly #queue = new Set<QueuedCall>();

  #running = 0;

  constructor({ concurrency, maxQueued }: { concurrency: number; maxQueued: number }) {
    this.#concurrency = concurrency;
    this.#maxQueued = maxQueued;
  }

  get running(): number {
    return this.#running;
  }

  get waiting(): number {
    return this.#queue.size;
  }

  /** Waits for a turn, `limitMs` at most. Whoever got one gives it back by `release`. */
  async acquire(maxWaitMs: number): Promise<LimiterRejection | undefined> {
    if (this.#running < this.#concurrency) {
      this.#running += 1;
      return undefined;
    }
    if (this.#queue.size >= this.#maxQueued) return 'full';
    return this.#enqueue(maxWaitMs);
  }

  /** Gives a turn back, to the one that has waited longest. */
  release(): void {
    const [first] = this.#queue;
    if (first === undefined) {
      this.#running -= 1;
      return;
    }
    this.#dequeue(first);
  }

  /** Refuses every call that waits. */
  cancelQueued(): void {
    [...this.#queue].forEach((queued) => this.#dequeue(queued, 'dismissed'));
  }

  #dequeue(waiting: QueuedCall, refusal?: LimiterRejection): void {
    this.#queue.delete(waiting);
    clearTimeout(waiting.timer);
    waiting.settle(refusal);
  }

  async #enqueue(limitMs: number): Promise<LimiterRejection | undefined> {
    return new Promise((resolve) => {
      const waiting: QueuedCall = {
        settle: resolve,
        timer: setTimeout(() => this.#dequeue(waiting, 'waited-too-long'), limitMs),
      };
      this.#queue.add(waiting);
    });
  }
}
