/** An entry's view of the owner's load summary: which one may be used, and how old it is. */
import type { ProcessContext } from '@zincspan/core';
import { loadStatusSchema, type LoadSummary } from './load-summary.js';

/** Age from which a summary isn't used, in ms: three heartbeats of a link. */
export const MAX_SUMMARY_AGE_MS = 2400;

/** A heartbeat status of the owner's link and when it was received, on the monotonic clock. */
export interface ReceivedStatus {
  status: Record<string, unknown>;
  receivedAt: number;
}

/** A summary that may be used. `computedAt`, `receivedAt`: on this process's monotonic clock. */
export interface UsableSummary {
  summary: LoadSummary;
  computedAt: number;
  receivedAt: number;
}

/** Reads summaries of one owner after the other; a summary of an earlier term than the newest seen is never used. */
export class LoadReader {
  readonly #ctx: ProcessContext;

  #newestTerm = -1;

  #newestSequence = -1;

  #lastStatus: unknown;

  #latest: UsableSummary | undefined;

  #isLoggedUnreadable = false;

  constructor(ctx: ProcessContext) {
    this.#ctx = ctx;
  }

  /** The usable summary; `received` is undefined while there is no link to an owner. */
  current(received: ReceivedStatus | undefined): UsableSummary | undefined {
    if (received === undefined) return undefined;
    const { status, receivedAt } = received;
    if (status !== this.#lastStatus) {
      this.#lastStatus = status;
      this.#latest = this.#read(status.load, receivedAt);
    }
    return this.#usable();
  }

  /** The usable summary of the owner in this process. */
  ofLocalOwner(summary: LoadSummary | undefined, computedAt: number): UsableSummary | undefined {
    if (summary === undefined) return undefined;
    this.#lastStatus = undefined;
    this.#latest = this.#accept(summary, computedAt, computedAt);
    return this.#usable();
  }

  #usable(): UsableSummary | undefined {
    if (this.#latest === undefined) return undefined;
    const ageMs = this.#ctx.clock.now() - this.#latest.computedAt;
    return ageMs <= MAX_SUMMARY_AGE_MS ? this.#latest : undefined;
  }

  /** Undefined, counted and logged once in a row, if it can't be decoded. */
  #read(load: unknown, receivedAt: number): UsableSummary | undefined {
    if (load === undefined) return undefined;
    const parsed = loadStatusSchema.safeParse(load);
    if (parsed.success) {
      this.#isLoggedUnreadable = false;
      const { summary, ageMs } = parsed.data;
      return this.#accept(summary, receivedAt - ageMs, receivedAt);
    }
    this.#ctx.metrics.count('load.unreadable');
    if (!this.#isLoggedUnreadable) {
      this.#ctx.log.warn(
        { err: parsed.error.message },
        'load summary cannot be decoded; ignoring it',
      );
    }
    this.#isLoggedUnreadable = true;
    return undefined;
  }

  #accept(summary: LoadSummary, computedAt: number, receivedAt: number): UsableSummary | undefined {
    const { term, sequence } = summary;
    const isOutdated =
      term < this.#newestTerm || (term === this.#newestTerm && sequence < this.#newestSequence);
    if (isOutdated) {
      this.#ctx.metrics.count('load.outdated');
      return undefined;
    }
    this.#newestTerm = term;
    this.#newestSequence = sequence;
    return { summary, computedAt, receivedAt };
  }
}
