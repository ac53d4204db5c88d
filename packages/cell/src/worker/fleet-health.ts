/**
 * Tells faulty workers from faulty tasks. Jobs that fail wherever they run come many at a time, beside workers that fail every
 * task they start. Without this distinction such jobs would quarantine one worker after another until none is left.
 */
import type { WorkerHealth } from './worker-health.js';

/** If a larger share of all workers has faults, the tasks are to blame: gray failures of workers are rarer on the platform. */
const MAX_FAULTY_SHARE = 1 / 3;

/** The health of all workers of a cell. */
export class FleetHealth {
  readonly #workers: () => Iterable<WorkerHealth>;

  constructor(workers: () => Iterable<WorkerHealth>) {
    this.#workers = workers;
  }

  /** A task failed or stalled on a worker. True if the worker is quarantined for it. */
  noteFault(worker: WorkerHealth, task: string, now: number): boolean {
    worker.noteFault(task, now);
    if (this.#isWidespread(now)) return false;
    return worker.quarantineIfFaulty(now);
  }

  #isWidespread(now: number): boolean {
    const all = [...this.#workers()];
    const faulty = all.filter(
      (worker) => worker.isQuarantined(now) || worker.recentFaults(now) > 0,
    );
    return faulty.length > Math.max(1, MAX_FAULTY_SHARE * all.length);
  }
}
