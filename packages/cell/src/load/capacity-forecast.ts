/** Forecast of a service's capacity: when so much of it is free, and when it has done a given amount of work. */
import { FreedCapacity, LONGEST_WAIT_MS } from '@zincspan/core';
import { FORECAST_TIMES_MS, type ServiceLoad } from './load-summary.js';

/** Hundredths of a worker, as widths are in the summary. */
export const WIDTH_UNIT = 100;

/** Error of the rate at which work arrives, as a share: the mean is over some tens of jobs of very different sizes. */
const ARRIVAL_ERROR = 0.2;

/** Least share of a service that is assumed to be left for a job behind what arrives, unless that exceeds the service for certain. */
const MIN_SPARE_SHARE = 0.4;

/** Capacity of one service by its load summary. Times from now in ms, widths in workers, work in worker-ms. */
export class CapacityForecast {
  readonly freeNow: number;

  readonly #wholeFreeNow: number;

  readonly #free: FreedCapacity;

  readonly #wholeFree: FreedCapacity;

  readonly #drained: FreedCapacity;

  readonly #workers: number;

  /** For a job of priority 0 what it may stop counts as free: whether that is worth its loss is the owner's decision. */
  constructor(load: ServiceLoad, isUrgent: boolean) {
    const count = load.workers;
    const free = isUrgent ? load.urgentFree : load.free;
    const wholeFree = isUrgent ? load.urgentWholeFree : load.wholeFree;
    this.#workers = count;
    const workers = free.map((each) => each / WIDTH_UNIT);
    this.freeNow = workers[0] ?? 0;
    this.#wholeFreeNow = wholeFree[0] ?? 0;
    this.#free = cumulative(workers);
    this.#wholeFree = cumulative(wholeFree);
    let done = 0;
    const drained = FORECAST_TIMES_MS.map((at, index) => {
      const before = FORECAST_TIMES_MS[index - 1] ?? 0;
      const mean = ((workers[index - 1] ?? 0) + (workers[index] ?? 0)) / 2;
      done += mean * (at - before);
      return done;
    });
    this.#drained = cumulative(drained);
  }

  /** True if so much is free now. */
  hasFree({ width, wholeWorkers }: { width: number; wholeWorkers: number }): boolean {
    return width <= this.freeNow && wholeWorkers <= this.#wholeFreeNow;
  }

  untilFree(width: number): number {
    return this.#free.untilGrown(width, 0);
  }

  untilWholeFree(workers: number): number {
    return workers <= 0 ? 0 : this.#wholeFree.untilGrown(workers, 0);
  }

  /** Time until so much work is done while newly submitted work, which keeps `arriving` workers busy, goes first. */
  untilDrained(work: number, arriving = 0): number {
    if (work <= 0) return 0;
    const spare = 1 - arriving / Math.max(1, this.#workers);
    if (spare < -ARRIVAL_ERROR) return LONGEST_WAIT_MS;
    return this.#drained.untilGrown(work / Math.max(MIN_SPARE_SHARE, spare), 0);
  }
}

function cumulative(amounts: readonly number[]): FreedCapacity {
  return FreedCapacity.fromCumulative(
    FORECAST_TIMES_MS.map((at, index) => ({ at, freed: amounts[index] ?? 0 })),
  );
}
