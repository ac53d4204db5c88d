/** Removes the rows of jobs that ended long ago: without it the table, and the owner's view of it, would only grow. */
import type { ProcessContext } from '@zincspan/core';
import { jobRowKey, type JobRowKind } from '../job/job-rows.js';
import type { JobView, JobSnapshot } from '../job/job-view.js';
import type { RowStore } from '../store/row-store.js';
import { OWNER_KEY } from './owner-row.js';

/** Pause between looks, in ms. */
const SWEEP_EVERY_MS = 5000;

/** Jobs removed at a look: three rows each, and a transaction takes 100 entries. */
const JOBS_PER_SWEEP = 20;

const WRITE_TIMEOUT_MS = 1500;

const ROW_KINDS: JobRowKind[] = ['submission', 'progress', 'cancellation'];

/** What the sweeper works on. */
export interface EndedSweeperOptions {
  ctx: ProcessContext;
  store: RowStore;
  view: JobView;
  /** Version of the owner's row: only the owner removes. */
  ownerVersion: number;
  /** Jobs are kept for this long after their end was first seen here, in ms. */
  keepEndedMs: number;
  /** The rows of this job are gone. */
  onRemoved: (jobId: string) => void;
}

/** One term's sweeper. */
export class EndedSweeper {
  readonly #options: EndedSweeperOptions;

  /** When each ended job was first seen so, on the monotonic clock. */
  readonly #seenAt = new Map<string, number>();

  #timer: NodeJS.Timeout | undefined;

  #stopped = false;

  constructor(options: EndedSweeperOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setTimeout(
      () => {
        void this.#sweep();
      },
      Math.min(SWEEP_EVERY_MS, this.#options.keepEndedMs),
    );
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  async #sweep(): Promise<void> {
    try {
      const due = this.#due();
      if (due.length > 0) await this.#remove(due);
    } catch (err) {
      this.#options.ctx.metrics.count('sweep.failed');
      this.#options.ctx.log.error({ err }, 'removing ended jobs failed');
    }
    if (!this.#stopped) this.start();
  }

  #due(): JobSnapshot[] {
    const { view, ctx, keepEndedMs } = this.#options;
    const now = ctx.clock.now();
    return [...view.all()]
      .filter(({ progress }) => isOver(progress))
      .filter(({ id }) => {
        const seenAt = this.#seenAt.get(id) ?? now;
        this.#seenAt.set(id, seenAt);
        return now - seenAt >= keepEndedMs;
      })
      .slice(0, JOBS_PER_SWEEP);
  }

  async #remove(jobs: readonly JobSnapshot[]): Promise<void> {
    const { store, ctx, ownerVersion } = this.#options;
    const result = await store.transact(
      {
        expected: [{ ...OWNER_KEY, version: ownerVersion }],
        set: [],
        remove: jobs.flatMap(({ id }) => ROW_KINDS.map((kind) => jobRowKey(id, kind))),
      },
      { timeoutMs: WRITE_TIMEOUT_MS },
    );
    ctx.metrics.count(`sweep.${result.outcome}`, jobs.length);
    if (result.outcome !== 'done') return;
    jobs.forEach(({ id }) => {
      this.#seenAt.delete(id);
      this.#options.onRemoved(id);
    });
  }
}

/** Ended, and nothing of it can run any more. */
function isOver(progress: JobSnapshot['progress']): boolean {
  if (progress === undefined || progress.outcome === 'open') return false;
  return progress.activeRuns().length === 0;
}
