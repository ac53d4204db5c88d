/** Gives queued jobs that their failure domain can't start to another one. */
import { toProblem, type JobRow, type Shape } from '@zincspan/core';
import type { JobEntry } from './job-entry.js';
import type { JobKeeper } from './job-keeper.js';
import type { Ownership } from './ownership.js';

/** Time between two passes over the queued jobs, in ms. */
const PASS_MS = 2000;

/** Time that a job must have been stuck for, in ms: links come back and owners change within it. */
const STUCK_MS = 10_000;

/** A wait that is longer than elsewhere by less than this isn't worth a move, in ms. */
const LONGER_MS = 60_000;

/** Jobs moved in one pass at most. */
const MOST_MOVES = 32;

/** What is known of all failure domains. */
export interface Elsewhere {
  /** Whether a shape fits the live workers of a failure domain; undefined while too little is known. */
  isHosted(failureDomain: string, shape: Shape): boolean | undefined;
  /** The best other failure domain whose owner is heard of and whose live workers could take the job. */
  best(row: JobRow): { failureDomain: string; waitMs: number } | undefined;
  /** Tells the new owner of a job that was moved. */
  moved(row: JobRow, version: number): void;
}

/** What a job mover is made from. */
export interface JobMoverOptions {
  own: Ownership;
  jobs: JobKeeper;
  elsewhere: Elsewhere;
  /** Expected wait of a queued job here, in ms. */
  waitMs: (row: JobRow) => number;
  isStoreDown: () => boolean;
}

/** Looks through the queued jobs of one owned failure domain. */
export class JobMover {
  readonly #options: JobMoverOptions;

  /** Since when jobs have been stuck, on the monotonic clock. */
  #stuckSince = new Map<string, number>();

  #cancelTimer: (() => void) | undefined;

  constructor(options: JobMoverOptions) {
    this.#options = options;
  }

  start(): void {
    const { own } = this.#options;
    this.#cancelTimer = own.timers.after(PASS_MS, () => {
      own.background('moving', this.#pass());
    });
  }

  stop(): void {
    this.#cancelTimer?.();
  }

  async #pass(): Promise<void> {
    const { own, isStoreDown } = this.#options;
    try {
      if (!isStoreDown()) await this.#moveStuck();
    } catch (err) {
      const { kind } = toProblem(err);
      if (kind !== 'store-unavailable') throw err;
      own.ctx.metrics.count('job.move-failed');
    } finally {
      if (!own.signal.aborted) this.start();
    }
  }

  async #moveStuck(): Promise<void> {
    const { own, jobs } = this.#options;
    const now = own.ctx.clock.now();
    const isStuck = this.#stuckByShape();
    const stuck = jobs.idle().filter(({ record: { row } }) => isMovable(row) && isStuck(row));
    const before = this.#stuckSince;
    this.#stuckSince = new Map(stuck.map(({ key }) => [key, before.get(key) ?? now]));
    const due = stuck.filter(({ key }) => now - (this.#stuckSince.get(key) ?? now) >= STUCK_MS);
    for (const entry of due.slice(0, MOST_MOVES)) await this.#move(entry);
  }

  /** Jobs of one account, kind and shape are asked about once in a pass. */
  #stuckByShape(): (row: JobRow) => boolean {
    const known = new Map<string, boolean>();
    return (row) => {
      const { account, spec } = row;
      const like = JSON.stringify([account, spec.kind, spec.shape]);
      const isStuck = known.get(like) ?? this.#isStuck(row);
      known.set(like, isStuck);
      return isStuck;
    };
  }

  #isStuck(row: JobRow): boolean {
    const { own, elsewhere } = this.#options;
    const hosted = elsewhere.isHosted(own.failureDomain, row.spec.shape);
    if (hosted === undefined) return false;
    return !hosted || this.#options.waitMs(row) >= LONGER_MS;
  }

  /** Asked anew for each job, as those moved before it count. */
  async #move(entry: JobEntry): Promise<void> {
    const { own, jobs, elsewhere, waitMs } = this.#options;
    const { row } = entry.record;
    const to = elsewhere.best(row);
    if (to === undefined || own.signal.aborted) return;
    const hosted = elsewhere.isHosted(own.failureDomain, row.spec.shape) === true;
    if (hosted && waitMs(row) - to.waitMs < LONGER_MS) return;
    const record = await jobs.move(entry, to.failureDomain);
    if (record !== undefined) elsewhere.moved(record.row, record.version);
  }
}

/** A claim binds its jobs to its failure domain; a cancellation is settled where the job is. */
function isMovable({ spec, cancelRequested }: JobRow): boolean {
  return spec.claim === undefined && !cancelRequested;
}
