/** Removes the rows of jobs that ended long ago: without it the table, and the owner's view of it, would grow without bound. */
import type { ProcessContext } from '@zincspan/core';
import { jobRowKey, type JobRowKind } from '../job/job-rows.js';
import type { JobView, JobSnapshot } from '../job/job-view.js';
import type { RowStore } from '../store/row-store.js';
import { OWNER_ROW_KEY } from './owner-row.js';

/** Interval between sweeps, in ms. */
const SWEEP_INTERVAL_MS = 5000;

/** Maximum number of jobs removed in a sweep: three rows each, and a transaction takes 100 entries. */
const JOBS_PER_SWEEP = 20;

const WRITE_TIMEOUT_MS = 1500;

const ROW_KINDS: JobRowKind[] = ['submission', 'progress', 'cancellation'];

/** Dependencies and settings of the sweeper. */
export interface EndedJobSweeperOptions {
  ctx: ProcessContext;
  store: RowStore;
  view: JobView;
  /** Version of the owner row: only the owner removes jobs. */
  ownerVersion: number;
  /** Jobs are kept for this long after this owner first saw their end, in ms. */
  keepEndedMs: number;
  /** The rows of this job were removed. */
  onRemoved: (jobId: string) => void;
}

/** Sweeps the jobs table during one term. */
export class EndedJobSweeper {
  readonly #options: EndedJobSweeperOptions;

  /** When the end of each job was first seen, on the monotonic clock. */
  readonly #endSeenAt = new Map<string, number>();

  #timer: NodeJS.Timeout | undefined;

  #stopped = false;

  constructor(options: EndedJobSweeperOptions) {
    this.#options = options;
  }

  start(): void {
    this.#timer = setTimeout(
      () => {
        void this.#sweep();
      },
      Math.min(SWEEP_INTERVAL_MS, this.#options.keepEndedMs),
    );
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  async #sweep(): Promise<void> {
    try {
      const due = this.#dueJobs();
      if (due.length > 0) await this.#remove(due);
    } catch (err) {
      this.#options.ctx.metrics.count('sweep.failed');
      this.#options.ctx.log.error({ err }, 'could not remove ended jobs');
    }
    if (!this.#stopped) this.start();
  }

  #dueJobs(): JobSnapshot[] {
    const { view, ctx, keepEndedMs } = this.#options;
    const now = ctx.clock.now();
    return [...view.all()]
      .filter(({ progress }) => hasFullyEnded(progress))
      .filter(({ id }) => {
        const seenAt = this.#endSeenAt.get(id) ?? now;
        this.#endSeenAt.set(id, seenAt);
        return now - seenAt >= keepEndedMs;
      })
      .slice(0, JOBS_PER_SWEEP);
  }

  async #remove(jobs: readonly JobSnapshot[]): Promise<void> {
    const { store, ctx, ownerVersion } = this.#options;
    const result = await store.transact(
      {
        expected: [{ ...OWNER_ROW_KEY, version: ownerVersion }],
        set: [],
        remove: jobs.flatMap(({ id }) => ROW_KINDS.map((kind) => jobRowKey(id, kind))),
      },
      { timeoutMs: WRITE_TIMEOUT_MS },
    );
    ctx.metrics.count(`sweep.${result.outcome}`, jobs.length);
    if (result.outcome !== 'done') return;
    jobs.forEach(({ id }) => {
      this.#endSeenAt.delete(id);
      this.#options.onRemoved(id);
    });
  }
}

/** True if the job has ended and no run of it may be active any more. */
function hasFullyEnded(progress: JobSnapshot['progress']): boolean {
  if (progress === undefined || progress.outcome === 'open') return false;
  return progress.activeRuns().length === 0;
}
