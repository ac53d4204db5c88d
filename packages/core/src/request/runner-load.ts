/** Load of one runner as one entry sees it: its own requests, and what the guard last said of all others'. */
import type { RunnerLoad } from '../message/message.js';

/** What a view is read against. `usualPerSlot`: other entries' requests per slot of late, over all runners. */
export interface LoadContext {
  now: number;
  entries: number;
  usualPerSlot: number;
}

/** Requests on one runner. Times in ms. */
export class RunnerOccupancy {
  readonly #lifeMs: number;

  /** Sent by this entry and not yet ended. */
  inFlight = 0;

  /** Of these, sent since the guard last told its load. */
  #sentSince = 0;

  #others: number | undefined;

  #reportedAt = 0;

  /** `lifeMs`: a report that old counts for a third of a fresh one. */
  constructor({ lifeMs }: { lifeMs: number }) {
    this.#lifeMs = lifeMs;
  }

  started(): void {
    this.inFlight += 1;
    this.#sentSince += 1;
  }

  ended(): void {
    this.inFlight = Math.max(0, this.inFlight - 1);
  }

  /** Notes the load told with an answer, that answer's own request not counted; returns the others' part. */
  report({ inUse, queued }: RunnerLoad, now: number): number {
    this.#others = Math.max(0, inUse + queued - this.inFlight);
    this.#reportedAt = now;
    this.#sentSince = 0;
    return this.#others;
  }

  /** Other entries' requests there: what was last told, fading to what is usual. */
  others(slots: number, { now, usualPerSlot }: LoadContext): number {
    const usual = usualPerSlot * slots;
    if (this.#others === undefined) return usual;
    const fresh = Math.exp(-Math.max(0, now - this.#reportedAt) / this.#lifeMs);
    return usual + (this.#others - usual) * fresh;
  }

  /** All requests there, as far as known. */
  total(slots: number, context: LoadContext): number {
    // Entries see the same reports: what this one has sent since, the others have likely sent as well.
    const likely = this.#sentSince * Math.max(0, context.entries - 1);
    return this.inFlight + this.others(slots, context) + likely;
  }

  /** Requests that this entry may have there: its part of the slots, or what others leave, and of the queue. */
  bound(slots: number, queuePerSlot: number, context: LoadContext): number {
    const entries = Math.max(1, context.entries);
    const part = Math.ceil(slots / entries);
    const left = Math.floor(slots - this.others(slots, context));
    return Math.max(part, left) + Math.ceil((slots * queuePerSlot) / entries);
  }
}
