/** Refused jobs of all entries as the owner knows them: backlog that is expected to return, and the place of each on its return. */
import { REFUSAL_MEMORY_MS, type RefusalReport } from './refusal-book.js';

/** Most refused ids that the owner keeps. */
const MAX_REGISTERED = 512;

/**
 * Time after which a job that hasn't returned when it was told to no longer counts as backlog, in ms: a whole second by which
 * `Retry-After` is rounded up, and one for the way.
 */
const RETURN_GRACE_MS = 2000;

/** Assumed time until the return of a job whose report doesn't tell, in ms. */
const DEFAULT_DUE_MS = 4000;

/** A refused job; times on the monotonic clock. */
export interface RegisteredRefusal {
  id: string;
  queue: string;
  firstRefusedAt: number;
  dueAt: number;
  /** In worker-ms; undefined if it wasn't reported. */
  work: number | undefined;
  /** Logarithm of its urgency at the first refusal, in thousandths; undefined if it wasn't reported. */
  urgency: number | undefined;
}

/** Refused jobs by id. */
export class RefusalRegister {
  readonly #refusals = new Map<string, RegisteredRefusal>();

  /** Adds the reports of an entry that were received at `receivedAt`. Returns the refusals that weren't known. */
  add(reports: readonly RefusalReport[], receivedAt: number): RegisteredRefusal[] {
    return reports.flatMap(({ id, queue, sinceMs, dueInMs = DEFAULT_DUE_MS, work, urgency }) => {
      const earlier = this.#refusals.get(id);
      if (earlier === undefined && this.#refusals.size >= MAX_REGISTERED) return [];
      const refusal = {
        id,
        queue,
        firstRefusedAt: Math.min(earlier?.firstRefusedAt ?? Infinity, receivedAt - sinceMs),
        dueAt: Math.max(earlier?.dueAt ?? -Infinity, receivedAt + dueInMs),
        work,
        urgency,
      };
      this.#refusals.set(id, refusal);
      return earlier === undefined ? refusal : [];
    });
  }

  /** Time since the first refusal of a job, in ms; 0 if it isn't known to have been refused. */
  sinceFirstRefusalMs(id: string, now: number): number {
    const refusal = this.#refusals.get(id);
    return refusal === undefined ? 0 : Math.max(0, now - refusal.firstRefusedAt);
  }

  /** Drops what is forgotten, and lists the jobs that are expected to return. */
  expected(now: number, isKnown: (id: string) => boolean): RegisteredRefusal[] {
    this.#refusals.forEach(({ id, firstRefusedAt, dueAt }) => {
      const isForgotten = now - Math.max(firstRefusedAt, dueAt) > REFUSAL_MEMORY_MS;
      if (isForgotten) this.#refusals.delete(id);
    });
    return [...this.#refusals.values()].filter(
      ({ id, dueAt }) => now <= dueAt + RETURN_GRACE_MS && !isKnown(id),
    );
  }
}
