/**
 * Whether the store can be used from here, as seen from the calls of one process. The load it answers: outages in which each
 * call fails at once. A submission that is tried then ends in a connection that breaks, nobody knows whether it was taken, and
 * its caller uses up a try each 0.1 s; one that isn't tried is refused truthfully, with when to come back.
 */
import type { Clock } from '@zincspan/core';
import type { FeedResult, ReadResult, RowStore, TransactResult, Transaction } from './row-store.js';

/** As many calls in a row have to fail: of a store that loses a third of its answers three in a row do one time in 27. */
const LEAST_FAILURES = 3;

/** And for this long, in ms: a single lost connection fails all calls that were on it at once. */
const LEAST_MS = 250;

/** A store whose reads take this long is slow for everybody, in ms: ten times what they usually take. */
const SLOW_READ_MS = 100;

/** A store that watches how its calls end. */
export class WatchedStore implements RowStore {
  readonly #store: RowStore;

  readonly #clock: Clock;

  #failures = 0;

  #failingSince = 0;

  #lastReadMs = 0;

  constructor({ store, clock }: { store: RowStore; clock: Clock }) {
    this.#store = store;
    this.#clock = clock;
  }

  /** True from the third failure in a row until a call is answered. */
  get isAway(): boolean {
    return this.#failures >= LEAST_FAILURES && this.#clock.now() - this.#failingSince >= LEAST_MS;
  }

  /** It answers, but late: what is asked again only waits behind what was asked before. */
  get isSlow(): boolean {
    return this.#lastReadMs >= SLOW_READ_MS;
  }

  async transact(tx: Transaction, options: { timeoutMs: number }): Promise<TransactResult> {
    const result = await this.#store.transact(tx, options);
    this.#note(result.outcome === 'done' || result.outcome === 'conflict');
    return result;
  }

  async read(
    range: Parameters<RowStore['read']>[0],
    options: { timeoutMs: number },
  ): Promise<ReadResult> {
    const sentAt = this.#clock.now();
    const result = await this.#store.read(range, options);
    if (result.outcome === 'read') this.#lastReadMs = this.#clock.now() - sentAt;
    this.#note(result.outcome === 'read');
    return result;
  }

  async feed(
    from: Parameters<RowStore['feed']>[0],
    options: { timeoutMs: number },
  ): Promise<FeedResult> {
    const result = await this.#store.feed(from, options);
    this.#note(result.outcome !== 'failed');
    return result;
  }

  #note(isAnswered: boolean): void {
    if (isAnswered) {
      this.#failures = 0;
      return;
    }
    if (this.#failures === 0) this.#failingSince = this.#clock.now();
    this.#failures += 1;
  }
}
