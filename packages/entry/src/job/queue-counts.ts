/** How many jobs of an account wait, counted from the rows and kept for a few seconds. */
import type { Clock } from '@zincspan/core';
import type { JobStore } from './job-store.js';

/** A count is good for this long, in ms; submissions through this entry are added to it meanwhile. */
const KEEP_MS = 5000;

/** Counts queued jobs per account over all failure domains. */
export class QueueCounts {
  readonly #store: JobStore;

  readonly #clock: Clock;

  readonly #failureDomains: string[];

  readonly #counts = new Map<string, { queued: number; at: number }>();

  constructor({
    store,
    clock,
    failureDomains,
  }: {
    store: JobStore;
    clock: Clock;
    failureDomains: string[];
  }) {
    this.#store = store;
    this.#clock = clock;
    this.#failureDomains = failureDomains;
  }

  /** Jobs of an account that wait. Rejects as the table does. */
  async queued(account: string): Promise<number> {
    const kept = this.#counts.get(account);
    if (kept !== undefined && this.#clock.now() - kept.at < KEEP_MS) return kept.queued;
    const lists = await Promise.all(
      this.#failureDomains.map((each) => this.#store.listActive(each, account)),
    );
    const queued = lists.flat().filter(({ state }) => state === 'queued').length;
    this.#counts.set(account, { queued, at: this.#clock.now() });
    return queued;
  }

  /** A job of the account was queued through this entry. */
  added(account: string): void {
    const kept = this.#counts.get(account);
    if (kept !== undefined) kept.queued += 1;
  }
}
