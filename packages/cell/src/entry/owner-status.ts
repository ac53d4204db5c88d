/** What the owner tells all that are linked to it, in its heartbeats: who is to look after the cell once it is lost. */
import * as z from 'zod';
import type { Link } from '@zincspan/link';
import { SUCCESSORS } from '../owner/ownership.js';
import { byFitness, type Carrier } from './neighbours.js';

const entryStatusSchema = z.object({ processorShare: z.number() });

/** Without any, as before the first entry has told of itself, it is as if nothing was said. */
const ownerStatusSchema = z.object({ successors: z.array(z.string()).min(1) });

/** The entries linked to the owner that would be the best owners, by what they tell of themselves. */
export function successorsAmong(links: readonly Link[]): string[] {
  return links
    .flatMap(({ process, status }) => {
      const parsed = entryStatusSchema.safeParse(status);
      return parsed.success ? [{ id: process.id, ...parsed.data }] : [];
    })
    .sort(byFitness)
    .slice(0, SUCCESSORS)
    .map(({ id }) => id);
}

/** Undefined if the peer isn't the owner, or hasn't said so yet. */
export function successorsTold(link: Link): string[] | undefined {
  return ownerStatusSchema.safeParse(link.status).data?.successors;
}

/** Without word of an owner: the best of those that have announced themselves. */
export function successorsAnnounced(self: Carrier, rows: readonly Carrier[]): string[] {
  const others = rows.filter(({ id }) => id !== self.id);
  return [...others, self]
    .sort(byFitness)
    .slice(0, SUCCESSORS)
    .map(({ id }) => id);
}
