/** Running totals of what waits, so that estimates and warnings need no scan of the queue. */
import type { QueuedJob } from './scheduler.js';
import { shapeKey } from './shape-key.js';
import { sizeOf } from './placer.js';

/** Sums over queued jobs. */
export class QueuedWork {
  urgentJobs = 0;

  urgentAccelerators = 0;

  accelerators = 0;

  /** Jobs that need no accelerator. */
  withoutAccelerators = 0;

  /** Queued jobs of each shape, for fragmentation. */
  readonly shapes = new Map<string, { shape: QueuedJob['spec']['shape']; count: number }>();

  readonly #byAccount = new Map<string, number>();

  /** Queued jobs of each account by their size in accelerators. */
  readonly #sizes = new Map<string, Map<number, number>>();

  /** Jobs of an account that wait. */
  count(account: string): number {
    return this.#byAccount.get(account) ?? 0;
  }

  /** Accelerators that an account's waiting jobs ask for, and those of its smallest one. */
  demand(account: string): { queued: number; smallest: number } {
    const sizes = [...(this.#sizes.get(account) ?? [])];
    const queued = sizes.reduce((sum, [size, count]) => sum + size * count, 0);
    return { queued, smallest: Math.min(...sizes.map(([size]) => size)) };
  }

  change({ account, spec: { shape } }: QueuedJob, urgent: boolean, sign: 1 | -1): void {
    const size = sizeOf(shape);
    this.#byAccount.set(account, this.count(account) + sign);
    this.accelerators += sign * size;
    if (size === 0) this.withoutAccelerators += sign;
    this.#countSize(account, size, sign);
    if (urgent) {
      this.urgentJobs += sign;
      this.urgentAccelerators += sign * size;
    }
    const key = shapeKey(shape);
    const entry = this.shapes.get(key) ?? { shape, count: 0 };
    entry.count += sign;
    if (entry.count > 0) this.shapes.set(key, entry);
    else this.shapes.delete(key);
  }

  #countSize(account: string, size: number, sign: 1 | -1): void {
    const sizes = this.#sizes.get(account) ?? new Map<number, number>();
    this.#sizes.set(account, sizes);
    const count = (sizes.get(size) ?? 0) + sign;
    if (count > 0) sizes.set(size, count);
    else sizes.delete(size);
  }
}
