/** What the owner tells all that are linked to it, in its heartbeats: who is to look after the cell once it is lost. */
import * as z from 'zod';
import type { Clock } from '@zincspan/core';
import type { Link } from '@zincspan/link';
import { LINK_HEARTBEAT } from '../guard/owner-link.js';
import { SUCCESSOR_COUNT } from '../owner/owner-election.js';
import { fittestFirst, type Carrier } from './neighbours.js';

const entryStatusSchema = z.object({ processorShare: z.number() });

/** Without any, as before the first entry has told of itself, it is as if nothing was said. */
const ownerStatusSchema = z.object({ successors: z.array(z.string()).min(1) });

/** The entries linked to the owner that would be the best owners, by what they tell of themselves. */
export class SuccessorList {
  readonly #links: () => readonly Link[];

  readonly #clock: Clock;

  #known: string[] = [];

  #madeAt = -Infinity;

  constructor({ links, clock }: { links: () => readonly Link[]; clock: Clock }) {
    this.#links = links;
    this.#clock = clock;
  }

  /**
   * As they were within the last heartbeat. Each link asks as often as that, and making the list looks at all of them: with 194
   * links it was made 240 times a second.
   */
  current(): string[] {
    const now = this.#clock.now();
    if (this.#known.length > 0 && now - this.#madeAt < LINK_HEARTBEAT.everyMs) return this.#known;
    this.#madeAt = now;
    this.#known = bestOf(this.#links().flatMap((link) => carrierOf(link) ?? []));
    return this.#known;
  }
}

/** Undefined for a guard, which can't own the cell, and for an entry that hasn't told of itself yet. */
function carrierOf({ process, status }: Link): Carrier | undefined {
  const parsed = entryStatusSchema.safeParse(status);
  return parsed.success ? { id: process.id, ...parsed.data } : undefined;
}

function bestOf(carriers: readonly Carrier[]): string[] {
  return fittestFirst(carriers)
    .slice(0, SUCCESSOR_COUNT)
    .map(({ id }) => id);
}

/** Undefined if the peer isn't the owner, or hasn't said so yet. */
export function successorsTold(link: Link): string[] | undefined {
  return ownerStatusSchema.safeParse(link.status).data?.successors;
}

/** Without word of an owner: the best of those that have announced themselves. */
export function successorsAnnounced(self: Carrier, rows: readonly Carrier[]): string[] {
  const others = rows.filter(({ id }) => id !== self.id);
  return bestOf([...others, self]);
}
