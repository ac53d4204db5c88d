/** Jobs that an entry refused because of the load, so that they keep their place when they return. */
import { LRUCache } from 'lru-cache';
import * as z from 'zod';
import { logUrgency } from './urgency-rungs.js';

/** Time for which a refused id is remembered, in ms. */
export const REFUSAL_MEMORY_MS = 30_000;

/** Most refused ids that an entry remembers. */
const MAX_REFUSALS = 1024;

/** Number of newest refusals that an entry reports to the owner in each heartbeat. */
export const REPORTED_REFUSALS = 16;

/** A refused job: times on the monotonic clock, in ms. */
export interface Refusal {
  id: string;
  queue: string;
  priority: number;
  service: string;
  /** Worker-ms. */
  work: number;
  /** At the first refusal. */
  urgency: number;
  firstRefusedAt: number;
  lastRefusedAt: number;
  /** When its caller was told to return. */
  dueAt: number;
}

/** A refusal in an entry's heartbeat status: id, queue, and ms since the first refusal. A later field must be optional. */
export const refusalReportSchema = z.object({
  id: z.string().max(64),
  queue: z.string(),
  sinceMs: z.number().min(0),
  /** Time until its caller was told to return, in ms; negative if it is past. */
  dueInMs: z.optional(z.number()),
  /** In worker-ms. */
  work: z.optional(z.number().min(0)),
  /** Logarithm of its urgency at the first refusal, in thousandths. */
  urgency: z.optional(z.number()),
});
export type RefusalReport = z.infer<typeof refusalReportSchema>;

/** The reports in an entry's status. */
export const refusalStatusSchema = z.object({
  refusals: z.array(refusalReportSchema).max(REPORTED_REFUSALS),
});

/** Refused jobs of one entry by id. */
export class RefusalBook {
  readonly #refusals: LRUCache<string, Refusal>;

  readonly #now: () => number;

  constructor(now: () => number) {
    this.#now = now;
    this.#refusals = new LRUCache({
      max: MAX_REFUSALS,
      ttl: REFUSAL_MEMORY_MS,
      perf: { now },
      ttlResolution: 0,
    });
  }

  get(id: string): Refusal | undefined {
    return this.#refusals.peek(id);
  }

  /** Records a refusal; the first one of an id keeps its time. */
  record(refusal: Omit<Refusal, 'firstRefusedAt' | 'lastRefusedAt'> & { sinceMs: number }): void {
    const { sinceMs, ...rest } = refusal;
    const now = this.#now();
    const earlier = this.#refusals.peek(rest.id);
    this.#refusals.delete(rest.id);
    this.#refusals.set(rest.id, {
      ...rest,
      urgency: earlier?.urgency ?? rest.urgency,
      firstRefusedAt: Math.min(earlier?.firstRefusedAt ?? now, now - sinceMs),
      lastRefusedAt: now,
    });
  }

  /** Forgets a job that was accepted. */
  forget(id: string): void {
    this.#refusals.delete(id);
  }

  /** Jobs refused since `at` that return before one of this priority and first refusal. */
  aheadSince(
    at: number,
    { service, priority, firstRefusedAt }: Pick<Refusal, 'service' | 'priority' | 'firstRefusedAt'>,
  ): Refusal[] {
    return [...this.#refusals.values()].filter((each) => {
      if (each.lastRefusedAt < at || each.service !== service) return false;
      if (each.priority !== priority) return each.priority < priority;
      return each.firstRefusedAt < firstRefusedAt;
    });
  }

  /** The newest refusals, for the owner. */
  reports(): RefusalReport[] {
    const now = this.#now();
    this.#refusals.purgeStale();
    // The cache lists the most recently recorded first.
    return [...this.#refusals.values()]
      .slice(0, REPORTED_REFUSALS)
      .map(({ id, queue, firstRefusedAt, dueAt, work, urgency }) => ({
        id,
        queue,
        sinceMs: Math.round(now - firstRefusedAt),
        dueInMs: Math.round(dueAt - now),
        work: Math.round(work),
        urgency: logUrgency(urgency),
      }));
  }
}
