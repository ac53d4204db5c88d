/** What tasks usually take, for comparison: by a step's own tasks on other workers, before that by the queue's. */
import { median } from './weighted-median.js';

/** Workers whose tasks of a step tell what the step's tasks usually take. */
const MIN_WORKERS = 3;

/** The median of a step's tasks is computed at most this often, in ms. */
const REFRESH_MS = 400;

/** Runs of a queue that tell how far its expected durations are off, and the most that are kept. */
const MIN_QUEUE_RUNS = 12;
const MAX_QUEUE_RUNS = 31;

/** Durations of the tasks of one step, also those that the paces of running ones imply. */
export class StepDurations {
  readonly #byVm = new Map<string, Map<string, number>>();

  #usualMs: number | undefined;

  #computedAt = -Infinity;

  note(vm: string, run: string, durationMs: number): void {
    const runs = this.#byVm.get(vm) ?? new Map<string, number>();
    this.#byVm.set(vm, runs);
    runs.set(run, durationMs);
  }

  /**
   * The median over workers of their medians: workers with many of the tasks count no more than others. Undefined while too few
   * workers have run any.
   */
  usualMs(now: number): number | undefined {
    if (this.#byVm.size < MIN_WORKERS) return undefined;
    if (now - this.#computedAt >= REFRESH_MS) {
      this.#computedAt = now;
      const byWorker = [...this.#byVm.values()].flatMap((runs) => median([...runs.values()]) ?? []);
      this.#usualMs = median(byWorker);
    }
    return this.#usualMs;
  }
}

/** How far the expected durations of one queue are off: the median of actual over expected of its last runs. */
export class QueueDeviation {
  #ratios: number[] = [];

  note(ratio: number): void {
    this.#ratios = [...this.#ratios.slice(1 - MAX_QUEUE_RUNS), ratio];
  }

  /** Undefined while it isn't known. */
  get ratio(): number | undefined {
    return this.#ratios.length < MIN_QUEUE_RUNS ? undefined : median(this.#ratios);
  }
}
