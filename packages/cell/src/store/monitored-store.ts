/**
 * Tracks the health of the store from the results of this process's calls. It detects outages in which each call fails at once.
 * A submission attempted during one ends in a broken connection with an unknown outcome, and its caller spends a retry every 0.1 s.
 * A submission that isn't attempted can be refused for certain, with a time to retry after.
 */
import type { Clock } from '@zincspan/core';
import type { FeedResult, ReadResult, RowStore, TransactResult, Transaction } from './row-store.js';

/** Consecutive failures before the store counts as unavailable. If a third of all answers is lost, three calls in a row fail one time in 27. */
const MIN_FAILURES = 3;

/** Minimum duration of these failures, in ms, because one lost connection fails all of its calls at the same time. */
const MIN_FAILING_MS = 250;

/** Read time from which the store counts as slow, in ms: ten times the usual. It is then slow for all processes. */
const SLOW_READ_MS = 100;

/** The store may carry out a write whose answer was lost for this long, in ms: it does so seconds later, if its condition still holds. */
const LATE_WRITE_MS = 5000;

/** A row store that forwards each call and records its result. */
export class MonitoredStore implements RowStore {
  readonly #store: RowStore;

  readonly #clock: Clock;

  #consecutiveFailures = 0;

  #failingSince = 0;

  #lastReadMs = 0;

  #lastFailureAt = -Infinity;

  constructor({ store, clock }: { store: RowStore; clock: Clock }) {
    this.#store = store;
    this.#clock = clock;
  }

  /** True from the third consecutive failure, if failures have lasted long enough, until a call is answered. */
  get isUnavailable(): boolean {
    return (
      this.#consecutiveFailures >= MIN_FAILURES &&
      this.#clock.now() - this.#failingSince >= MIN_FAILING_MS
    );
  }

  /** True if the store answers, but slowly: a repeated request would only queue behind the first. */
  get isSlow(): boolean {
    return this.#lastReadMs >= SLOW_READ_MS;
  }

  /** True if writes without an answer, also those of other processes, may still be carried out: the store is slow, or a call failed lately. */
  get mayHaveLateWrites(): boolean {
    return this.isSlow || this.#clock.now() - this.#lastFailureAt < LATE_WRITE_MS;
  }

  async transact(tx: Transaction, options: { timeoutMs: number }): Promise<TransactResult> {
    const result = await this.#store.transact(tx, options);
    this.#recordCall(result.outcome === 'done' || result.outcome === 'conflict');
    return result;
  }

  async read(
    range: Parameters<RowStore['read']>[0],
    options: { timeoutMs: number },
  ): Promise<ReadResult> {
    const sentAt = this.#clock.now();
    const result = await this.#store.read(range, options);
    if (result.outcome === 'read') this.#lastReadMs = this.#clock.now() - sentAt;
    this.#recordCall(result.outcome === 'read');
    return result;
  }

  async feed(
    from: Parameters<RowStore['feed']>[0],
    options: { timeoutMs: number },
  ): Promise<FeedResult> {
    const result = await this.#store.feed(from, options);
    this.#recordCall(result.outcome !== 'failed');
    return result;
  }

  #recordCall(isAnswered: boolean): void {
    if (isAnswered) {
      this.#consecutiveFailures = 0;
      return;
    }
    this.#lastFailureAt = this.#clock.now();
    if (this.#consecutiveFailures === 0) this.#failingSince = this.#clock.now();
    this.#consecutiveFailures += 1;
  }
}
