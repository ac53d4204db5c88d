/** How many jobs of an account wait, counted from the rows and kept for a few seconds. */
import { DrainRate, retryAfterMs, type Clock } from '@zincspan/core';
import type { JobStore } from './job-store.js';

/** A count is good for this long, in ms; submissions through this entry are added to it meanwhile. */
const KEEP_MS = 5000;

/** Bounds of the time to come back while no job of the account has been seen to leave the queue, in ms. */
const UNKNOWN_MS = { least: 5000, most: 3_600_000 };

/** An account at its quota: the jobs that waited at the last look, and how fast they have been leaving. */
interface Full {
  keys: Set<string>;
  since: number;
  rate: DrainRate;
}

/** Counts queued jobs per account over all failure domains. */
export class QueueCounts {
  readonly #store: JobStore;

  readonly #clock: Clock;

  readonly #failureDomains: string[];

  readonly #counts = new Map<string, { queued: number; at: number }>();

  /** Only accounts at their quota: their jobs are remembered by key. */
  readonly #full = new Map<string, Full>();

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
    const keys = lists
      .flat()
      .filter(({ state }) => state === 'queued')
      .map(({ key }) => key);
    this.#counts.set(account, { queued: keys.length, at: this.#clock.now() });
    this.#noteLeft(account, new Set(keys));
    return keys.length;
  }

  /** Jobs of an account that wait, if that is as many as may, and when one of them will have left. */
  async full(
    account: string,
    mayQueue: number,
  ): Promise<{ queued: number; retryAfterMs: number } | undefined> {
    const queued = await this.queued(account);
    const now = this.#clock.now();
    if (queued < mayQueue) {
      this.#full.delete(account);
      return undefined;
    }
    const full = this.#full.get(account) ?? { keys: new Set(), since: now, rate: new DrainRate() };
    this.#full.set(account, full);
    const drainPerMs = full.rate.perMs(now);
    // Where none has left for some time, the next isn't expected sooner than after as long again.
    const unknownMs = Math.min(UNKNOWN_MS.most, Math.max(UNKNOWN_MS.least, now - full.since));
    const knownMs = retryAfterMs({ queued, mayQueue, drainPerMs });
    return { queued, retryAfterMs: drainPerMs > 0 ? knownMs : unknownMs };
  }

  #noteLeft(account: string, keys: Set<string>): void {
    const full = this.#full.get(account);
    if (full === undefined) return;
    const left = [...full.keys].filter((key) => !keys.has(key)).length;
    full.rate.note(this.#clock.now(), left);
    full.keys = keys;
  }

  /** A job of the account was queued through this entry. */
  added(account: string): void {
    const kept = this.#counts.get(account);
    if (kept !== undefined) kept.queued += 1;
  }
}
