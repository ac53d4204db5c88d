/** Load of one runner as one entry sees it: its own requests, and what the guard last said of all others'. */
import type { RunnerLoad } from '../message/message.js';

/** Requests on one runner. Times in ms. */
export class RunnerOccupancy {
  readonly #lifeMs: number;

  /** Sent by this entry and not yet ended. */
  inFlight = 0;

  /** Of these, sent since the guard last told its load. */
  sentSince = 0;

  #others: number | undefined;

  #reportedAt = 0;

  /** `lifeMs`: a report that old counts for a third of a fresh one. */
  constructor({ lifeMs }: { lifeMs: number }) {
    this.#lifeMs = lifeMs;
  }

  /** Notes the load told with an answer, that answer's own request not counted; returns the others' part. */
  report({ inUse, queued }: RunnerLoad, now: number): number {
    this.#others = Math.max(0, inUse + queued - this.inFlight);
    this.#reportedAt = now;
    this.sentSince = 0;
    return this.#others;
  }

  /** Other entries' requests there: what was last told, fading to what is `usual`. */
  others(now: number, usual: number): number {
    if (this.#others === undefined) return usual;
    const fresh = Math.exp(-Math.max(0, now - this.#reportedAt) / this.#lifeMs);
    return usual + (this.#others - usual) * fresh;
  }
}
