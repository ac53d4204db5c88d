/** List of successors, the entries that take over the cell if the owner is lost. The owner sends it with its heartbeats. */
import * as z from 'zod';
import type { Clock } from '@zincspan/core';
import type { Link } from '@zincspan/link';
import { LINK_HEARTBEAT } from '../guard/owner-link.js';
import { SUCCESSOR_COUNT } from '../owner/owner-election.js';
import { rankOwnerCandidates, type OwnerCandidate } from './entry-ranking.js';

const entryStatusSchema = z.object({ processorShare: z.number() });

/** An empty list, as before the first entry has sent its status, counts as none. */
const ownerStatusSchema = z.object({ successors: z.array(z.string()).min(1) });

/** The owner's list of successors: the best candidates among the entries linked to it, according to their status. */
export class SuccessorList {
  readonly #links: () => readonly Link[];

  readonly #clock: Clock;

  #list: string[] = [];

  #listedAt = -Infinity;

  constructor({ links, clock }: { links: () => readonly Link[]; clock: Clock }) {
    this.#links = links;
    this.#clock = clock;
  }

  /**
   * The successors, at most one heartbeat interval old. Each link asks once per heartbeat, and computing the list scans all links:
   * without the cache it was computed 240 times a second with 194 links.
   */
  current(): string[] {
    const now = this.#clock.now();
    if (this.#list.length > 0 && now - this.#listedAt < LINK_HEARTBEAT.everyMs) return this.#list;
    this.#listedAt = now;
    this.#list = topSuccessors(this.#links().flatMap((link) => candidateOf(link) ?? []));
    return this.#list;
  }
}

/** Undefined for a guard, which can't own the cell, and for an entry that hasn't sent its status yet. */
function candidateOf({ process, status }: Link): OwnerCandidate | undefined {
  const parsed = entryStatusSchema.safeParse(status);
  return parsed.success ? { id: process.id, ...parsed.data } : undefined;
}

function topSuccessors(candidates: readonly OwnerCandidate[]): string[] {
  return rankOwnerCandidates(candidates)
    .slice(0, SUCCESSOR_COUNT)
    .map(({ id }) => id);
}

/** The list received over a link; undefined if the peer isn't the owner or hasn't sent one yet. */
export function successorsFromOwner(link: Link): string[] | undefined {
  return ownerStatusSchema.safeParse(link.status).data?.successors;
}

/** Successors while no owner has sent a list: the best candidates among the registered entries. */
export function successorsFromRows(
  self: OwnerCandidate,
  rows: readonly OwnerCandidate[],
): string[] {
  const others = rows.filter(({ id }) => id !== self.id);
  return topSuccessors([...others, self]);
}
