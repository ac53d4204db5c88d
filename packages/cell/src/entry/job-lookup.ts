/**
 * Jobs as callers ask for them: each question reads the job's rows, and nothing is read that nobody asks about. Among 35
 * entries that followed the whole table, the feed made up about two thirds of 1,650 store calls a second; a question costs
 * one call, and its answer is as new as the store.
 */
import { LRUCache } from 'lru-cache';
import type { ProcessContext } from '@zincspan/core';
import { jobRowKey } from '../job/job-rows.js';
import { JobView, type JobSnapshot } from '../job/job-view.js';
import type { Row, RowStore } from '../store/row-store.js';

/** Jobs kept, so that only what changes is read again: a caller asks about its job until that has ended. */
const MOST_KEPT = 500;

/** A job that nobody asked about for this long is read whole again, in ms: shorter than ended jobs are kept. */
const KEPT_MS = 60_000;

/** A look-up that the store didn't answer in time is `unknown`. */
export type FindResult = JobSnapshot | 'absent' | 'unknown';

/** Reads jobs one by one. */
export class JobLookup {
  readonly #store: RowStore;

  readonly #view: JobView;

  readonly #kept: LRUCache<string, true>;

  constructor({ ctx, store }: { ctx: ProcessContext; store: RowStore }) {
    this.#store = store;
    this.#view = new JobView({ ctx });
    this.#kept = new LRUCache({
      max: MOST_KEPT,
      ttl: KEPT_MS,
      updateAgeOnGet: true,
      perf: { now: () => ctx.clock.now() },
      dispose: (_, id, reason) => {
        if (reason !== 'set') this.#view.remove(id);
      },
    });
  }

  /** As it was when it was last read or written here; undefined if it wasn't lately. */
  known(id: string): JobSnapshot | undefined {
    return this.#kept.get(id) === undefined ? undefined : this.#view.get(id);
  }

  /** As its rows say now. */
  async find(id: string, { timeoutMs }: { timeoutMs: number }): Promise<FindResult> {
    const known = this.known(id);
    // An end never changes any more.
    if (known?.progress !== undefined && known.progress.outcome !== 'open') return known;
    const result = await this.#store.read(rangeOf(id, known), { timeoutMs });
    if (result.outcome === 'failed') return 'unknown';
    if (known !== undefined && known.progressVersion > 0 && result.rows.length === 0) {
      this.#kept.delete(id);
      return 'absent';
    }
    result.rows.forEach((row) => this.noteRow(row));
    return this.#view.get(id) ?? 'absent';
  }

  /** A row of a job that was read, or written here. */
  noteRow(row: Row): void {
    const id = this.#view.apply({ ...row, deleted: false });
    if (id !== undefined) this.#kept.set(id, true);
  }
}

/** The submission never changes: it is read once. */
function rangeOf(id: string, known: JobSnapshot | undefined): Parameters<RowStore['read']>[0] {
  const { table, part, key: from } = jobRowKey(id, 'cancellation');
  if (known === undefined) return { table, part, from: `${id}/`, to: `${id}0` };
  return { table, part, from, to: `${jobRowKey(id, 'progress').key}\u0000` };
}
