/** Work that is submitted per time, accepted or refused, by its urgency as a new job: it goes ahead of less urgent work that waits. */
import type { Rung } from './urgency-rungs.js';

/**
 * Time in which what arrived loses half of its weight, in ms. Bursts last 3 to 7 s; with this, one of 2.5 times a load of 0.7 of the
 * capacity just reaches the capacity.
 */
const HALF_LIFE_MS = 10_000;

/** Older arrivals, which have an eighth of their weight, don't count, in ms. */
const MAX_AGE_MS = 3 * HALF_LIFE_MS;

/** Most arrivals that are kept. */
const MAX_ARRIVALS = 2048;

interface Arrival extends Rung {
  service: string;
  at: number;
}

export class ArrivalRate {
  #arrivals: Arrival[] = [];

  /** Adds a job. `work`: worker-ms. */
  add(arrival: Arrival): void {
    this.#arrivals.push(arrival);
    if (this.#arrivals.length > MAX_ARRIVALS) this.#arrivals.shift();
  }

  /** Workers that the work submitted to a service would keep busy, by urgency; the sum is the mean rate over the last seconds. */
  of(service: string, now: number): Rung[] {
    this.#arrivals = this.#arrivals.filter(({ at }) => now - at <= MAX_AGE_MS);
    return this.#arrivals
      .filter((each) => each.service === service)
      .map(({ urgency, work, at }) => ({
        urgency,
        work: (work * Math.LN2 * 2 ** (-(now - at) / HALF_LIFE_MS)) / HALF_LIFE_MS,
      }));
  }
}
