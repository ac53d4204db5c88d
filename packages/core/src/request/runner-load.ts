/** Load of one runner as one entry sees it: its own requests, and what the guard last said of all others'. */
import type { RunnerLoad } from '../message/message.js';

/** What the guard says ages: after this long, in ms, it counts for little. */
const REPORT_LIFE_MS = 2000;

/** Requests on one runner. */
export class RunnerOccupancy {
  /** Sent by this entry and not yet ended. */
  inFlight = 0;

  #others = 0;

  #reportedAt = 0;

  /** Notes the load told with an answer, after that answer's own request has ended. */
  report({ inUse, queued }: RunnerLoad, now: number): void {
    this.#others = Math.max(0, inUse + queued - this.inFlight);
    this.#reportedAt = now;
  }

  /** Other entries' requests there, as far as known. */
  others(now: number): number {
    return this.#others * Math.exp(-Math.max(0, now - this.#reportedAt) / REPORT_LIFE_MS);
  }

  /** All requests there, as far as known. */
  total(now: number): number {
    return this.inFlight + this.others(now);
  }
}
