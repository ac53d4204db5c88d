/** A bounded ring of events, stamped by the process's hybrid clock. */
import { compareStamps, type HybridClock, type HybridStamp } from '../clock/hybrid-clock.js';
import type { TimelineEvent } from './event.js';

/** What to read from a ring. */
export interface TimelineQuery {
  since?: HybridStamp | undefined;
  job?: string | undefined;
  limit?: number;
}

/** One process's events, oldest dropped first. */
export class Timeline {
  readonly #process: string;

  readonly #hybrid: HybridClock;

  readonly #size: number;

  #events: TimelineEvent[] = [];

  /** Events dropped so far because the ring was full. */
  dropped = 0;

  constructor({
    process,
    hybrid,
    size = 5000,
  }: {
    process: string;
    hybrid: HybridClock;
    size?: number;
  }) {
    this.#process = process;
    this.#hybrid = hybrid;
    this.#size = size;
  }

  /** Notes an event. `job` is the job, request or claim it belongs to, if any. */
  record(
    type: string,
    subject: string,
    { job, ...detail }: Record<string, string | number | boolean> & { job?: string } = {},
  ): void {
    const event = {
      at: this.#hybrid.tick(),
      process: this.#process,
      type,
      subject,
      ...(job === undefined ? {} : { job }),
      detail,
    };
    this.#events.push(event);
    // Dropping in blocks keeps the cost of a full ring constant per event.
    if (this.#events.length < this.#size * 1.25) return;
    const surplus = this.#events.length - this.#size;
    this.#events = this.#events.slice(surplus);
    this.dropped += surplus;
  }

  /** Events in order, the latest `limit` of those that match. */
  read({ since, job, limit = 2000 }: TimelineQuery = {}): TimelineEvent[] {
    return this.#events
      .filter((event) => since === undefined || compareStamps(event.at, since) > 0)
      .filter((event) => job === undefined || isAbout(event, job))
      .slice(-limit);
  }
}

/** Jobs and claims are known to callers by id, and to events by the key of their row, which ends with it. */
function isAbout({ job, subject }: TimelineEvent, wanted: string): boolean {
  return [job, subject].some((name) => name === wanted || name?.endsWith(`/${wanted}`) === true);
}

/** Merges the rings of several processes into one causal order. */
export function mergeTimelines(rings: TimelineEvent[][]): TimelineEvent[] {
  return rings
    .flat()
    .sort((a, b) => compareStamps(a.at, b.at) || a.process.localeCompare(b.process));
}
