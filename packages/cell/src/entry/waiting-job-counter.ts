/** Counts the waiting jobs of a queue: asks the owner, or reads the table of jobs if the owner doesn't answer. */
import type { ProcessContext } from '@zincspan/core';
import type { Link } from '@zincspan/link';
import { JOB_TABLE } from '../job/job-rows.js';
import { JobView } from '../job/job-view.js';
import type { RowStore } from '../store/row-store.js';
import { readTable } from '../store/table-follower.js';

/** Timeout of the call to the owner, in ms. It leaves time to read the few pages of the table. */
const OWNER_TIMEOUT_MS = 600;

/** Time for which a read of the table is reused, in ms. A count may be up to 2 s old. */
const TABLE_CACHE_MS = 1000;

export interface WaitingJobCounterOptions {
  ctx: ProcessContext;
  store: RowStore;
  /** The count from this entry's owner; undefined if it doesn't own the cell or hasn't loaded the jobs yet. */
  localCount: (queue: string) => number | undefined;
  ownerLink: () => Link | undefined;
}

/** Counts waiting jobs for callers. */
export class WaitingJobCounter {
  readonly #options: WaitingJobCounterOptions;

  #cachedTable: { view: Promise<JobView | undefined>; readAt: number } | undefined;

  constructor(options: WaitingJobCounterOptions) {
    this.#options = options;
  }

  /** Undefined if neither the owner nor the store answered in time. */
  async countJobs(
    queue: string,
    { timeoutMs }: { timeoutMs: number },
  ): Promise<number | undefined> {
    return (
      this.#options.localCount(queue) ??
      (await this.#askOwner(queue)) ??
      (await this.#readTable(timeoutMs - OWNER_TIMEOUT_MS))?.countWaiting(queue)
    );
  }

  async #askOwner(queue: string): Promise<number | undefined> {
    const link = this.#options.ownerLink();
    if (link === undefined) return undefined;
    try {
      const { count } = await link.call('cell.waiting', { queue }, { timeoutMs: OWNER_TIMEOUT_MS });
      return count;
    } catch (err) {
      const { ctx } = this.#options;
      ctx.metrics.count('waiting.ask-failed');
      ctx.log.info(
        { queue, err: String(err) },
        'asking the owner for the number of waiting jobs failed',
      );
      return undefined;
    }
  }

  #readTable(timeoutMs: number): Promise<JobView | undefined> {
    const { ctx, store } = this.#options;
    const now = ctx.clock.now();
    if (this.#cachedTable !== undefined && now - this.#cachedTable.readAt < TABLE_CACHE_MS) {
      return this.#cachedTable.view;
    }
    const view = readTable(store, JOB_TABLE, { timeoutMs }).then((read) => {
      if (read === undefined) return undefined;
      const jobs = new JobView({ ctx });
      read.rows.forEach((row) => jobs.apply(row));
      return jobs;
    });
    this.#cachedTable = { view, readAt: now };
    return view;
  }
}
