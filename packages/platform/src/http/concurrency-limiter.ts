/** Limits concurrent calls; further calls wait in a bounded queue. */

/** Why a call got no slot. `full`: the queue was full. */
export type LimiterRejection = 'full' | 'wait-timeout' | 'cancelled';

interface QueuedCall {
  /** Ends the wait: with a slot, or with the reason why there is none. */
  settle(rejection?: LimiterRejection): void;
  timer: NodeJS.Timeout;
}

/** Grants slots in order of arrival. */
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

  get queued(): number {
    return this.#queue.size;
  }

  /** Waits for a slot, at most `maxWaitMs`. A caller that got one must call `release`. */
  async acquire(maxWaitMs: number): Promise<LimiterRejection | undefined> {
    if (this.#running < this.#concurrency) {
      this.#running += 1;
      return undefined;
    }
    if (this.#queue.size >= this.#maxQueued) return 'full';
    return this.#enqueue(maxWaitMs);
  }

  /** Frees a slot, or hands it to the call that has waited longest. */
  release(): void {
    const [first] = this.#queue;
    if (first === undefined) {
      this.#running -= 1;
      return;
    }
    this.#dequeue(first);
  }

  /** Rejects every queued call. */
  cancelQueued(): void {
    [...this.#queue].forEach((queued) => this.#dequeue(queued, 'cancelled'));
  }

  #dequeue(queued: QueuedCall, rejection?: LimiterRejection): void {
    this.#queue.delete(queued);
    clearTimeout(queued.timer);
    queued.settle(rejection);
  }

  async #enqueue(maxWaitMs: number): Promise<LimiterRejection | undefined> {
    return new Promise((resolve) => {
      const queued: QueuedCall = {
        settle: resolve,
        timer: setTimeout(() => this.#dequeue(queued, 'wait-timeout'), maxWaitMs),
      };
      this.#queue.add(queued);
    });
  }
}
