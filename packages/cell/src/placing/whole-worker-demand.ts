/** Recent demand for whole workers, by service: how many workers are to be kept free of small tasks. */

/** Demand older than this no longer counts, in ms. */
export const DEMAND_WINDOW_MS = 20_000;

/** Lower bound of the time over which arrivals are averaged, in ms: a new owner has seen hardly any time yet. */
const MIN_AVERAGING_MS = 5000;

/** Bursts of a queue or of all bring at least twice their mean. */
const BURST_FACTOR = 2;

/**
 * At most this share of a service's workers is kept free. With a third, deferred jobs use up their slack and then take all of these
 * workers at once, and more of their work is discarded.
 */
const MAX_KEPT_SHARE = 1 / 5;

/** Tasks of one job that need a worker each. */
export interface WholeWorkerArrival {
  service: string;
  /** Of the job's queue; 0 is the most urgent. */
  priority: number;
  tasks: number;
  /** Expected duration of each, in ms. */
  taskMs: number;
  /** When the owner first saw them, on the monotonic clock. */
  at: number;
}

/** State of one ownership term; a successor starts from the jobs that wait then. */
export class WholeWorkerDemand {
  readonly #startedAt: number;

  #arrivals: WholeWorkerArrival[] = [];

  constructor(startedAt: number) {
    this.#startedAt = startedAt;
  }

  note(arrival: WholeWorkerArrival): void {
    this.#arrivals = this.#arrivals.filter(({ at }) => arrival.at - at < DEMAND_WINDOW_MS);
    this.#arrivals.push(arrival);
  }

  /**
   * Workers to keep free of small tasks: as many as a burst asks for within the time in which the tasks that need them give them
   * back. 0 without recent demand.
   */
  workersToKeep(service: string, serviceWorkers: number, now: number): number {
    const recent = this.#arrivals.filter(
      (arrival) => arrival.service === service && now - arrival.at < DEMAND_WINDOW_MS,
    );
    const averagingMs = Math.min(
      DEMAND_WINDOW_MS,
      Math.max(MIN_AVERAGING_MS, now - this.#startedAt),
    );
    const workerMs = recent.reduce((sum, { tasks, taskMs }) => sum + tasks * taskMs, 0);
    const wanted = Math.ceil((BURST_FACTOR * workerMs) / averagingMs);
    return Math.min(wanted, Math.floor(serviceWorkers * MAX_KEPT_SHARE));
  }
}
