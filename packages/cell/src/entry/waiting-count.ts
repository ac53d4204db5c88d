/** How many jobs of a queue wait: the owner knows, and without it the table of jobs tells. */
import type { ProcessContext } from '@zincspan/core';
import type { Link } from '@zincspan/link';
import { JOB_TABLE } from '../job/job-rows.js';
import { JobView } from '../job/job-view.js';
import type { RowStore } from '../store/row-store.js';
import { readTable } from '../store/table-follower.js';

/** The owner is asked for this long, in ms; a table takes a few pages. */
const ASK_TIMEOUT_MS = 600;

/** A table that was read serves all that ask within this time, in ms: a count may be 2 s old. */
const TABLE_FOR_MS = 1000;

/** What counts are taken from. */
export interface WaitingCountOptions {
  ctx: ProcessContext;
  store: RowStore;
  /** As this entry knows as owner; undefined if it isn't, or hasn't read its books. */
  ownCount: (queue: string) => number | undefined;
  ownerLink: () => Link | undefined;
}

/** Counts for callers. */
export class WaitingCount {
  readonly #options: WaitingCountOptions;

  #table: { view: Promise<JobView | undefined>; readAt: number } | undefined;

  constructor(options: WaitingCountOptions) {
    this.#options = options;
  }

  /** Undefined if nobody could tell in time. */
  async of(queue: string, { timeoutMs }: { timeoutMs: number }): Promise<number | undefined> {
    return (
      this.#options.ownCount(queue) ??
      (await this.#ask(queue)) ??
      (await this.#readTable(timeoutMs - ASK_TIMEOUT_MS))?.countWaiting(queue)
    );
  }

  async #ask(queue: string): Promise<number | undefined> {
    const link = this.#options.ownerLink();
    if (link === undefined) return undefined;
    try {
      const { count } = await link.call('cell.waiting', { queue }, { timeoutMs: ASK_TIMEOUT_MS });
      return count;
    } catch (err) {
      const { ctx } = this.#options;
      ctx.metrics.count('waiting.ask-failed');
      ctx.log.info({ queue, err: String(err) }, 'asking the owner for a count failed');
      return undefined;
    }
  }

  #readTable(timeoutMs: number): Promise<JobView | undefined> {
    const { ctx, store } = this.#options;
    const now = ctx.clock.now();
    if (this.#table !== undefined && now - this.#table.readAt < TABLE_FOR_MS) {
      return this.#table.view;
    }
    const view = readTable(store, JOB_TABLE, { timeoutMs }).then((read) => {
      if (read === undefined) return undefined;
      const fresh = new JobView({ ctx });
      read.rows.forEach((row) => fresh.apply(row));
      return fresh;
    });
    this.#table = { view, readAt: now };
    return view;
  }
}
