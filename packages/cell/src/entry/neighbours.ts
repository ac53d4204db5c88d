/**
 * Which entries an entry keeps links to beside the owner's, and which of them take the cell first. The load it answers is a
 * cell of dozens of entries: if each links to all, links, heartbeats and their timers grow with the square of their number
 * (1,190 links at 35 entries).
 */
import { createHash } from 'node:crypto';
import type { EntryRow } from './entry-row.js';

/** Order of preference by rendezvous hashing: it differs from entry to entry, and changes little as others come and go. */
export function neighboursOf(self: EntryRow, rows: readonly EntryRow[]): EntryRow[] {
  return (
    rows
      .filter(({ id }) => id !== self.id)
      .map((row) => ({
        row,
        isNear: row.failureDomain === self.failureDomain,
        score: scoreOf(self.id, row.id),
      }))
      // One that is elsewhere outlives the failure domain of this one.
      .sort((a, b) => Number(a.isNear) - Number(b.isNear) || (a.score < b.score ? -1 : 1))
      .map(({ row }) => row)
  );
}

/** What an entry can carry as owner. */
export interface Carrier {
  id: string;
  /** Cores that it may use. */
  processorShare: number;
}

/** The best owners first: those with the larger share of a processor, and among equals an order that is the same everywhere. */
export function fittestFirst(carriers: readonly Carrier[]): Carrier[] {
  return carriers
    .map((carrier) => ({ carrier, score: scoreOf('owner', carrier.id) }))
    .sort(
      (a, b) => b.carrier.processorShare - a.carrier.processorShare || (a.score < b.score ? -1 : 1),
    )
    .map(({ carrier }) => carrier);
}

function scoreOf(from: string, to: string): string {
  return createHash('sha1').update(`${from}>${to}`).digest('hex');
}
