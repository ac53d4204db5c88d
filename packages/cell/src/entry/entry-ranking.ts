/**
 * Ranks entries: as neighbours, to which an entry keeps links besides the owner, and as candidates for the next owner. Entries
 * link to a few others only, because with a full mesh the links, heartbeats and timers grow with the square of the number of
 * entries (1,190 links at 35 entries).
 */
import { createHash } from 'node:crypto';
import type { EntryRow } from './entry-row.js';

/** Orders the other entries by rendezvous hashing. The order differs between entries and changes little as entries join or leave. */
export function rankNeighbours(self: EntryRow, rows: readonly EntryRow[]): EntryRow[] {
  return (
    rows
      .filter(({ id }) => id !== self.id)
      .map((row) => ({
        row,
        isSameDomain: row.failureDomain === self.failureDomain,
        score: rendezvousScore(self.id, row.id),
      }))
      // Entries in other failure domains come first, as they survive the loss of this entry's domain.
      .sort(
        (a, b) => Number(a.isSameDomain) - Number(b.isSameDomain) || (a.score < b.score ? -1 : 1),
      )
      .map(({ row }) => row)
  );
}

/** An entry as a candidate for the next owner. */
export interface OwnerCandidate {
  id: string;
  /** CPU cores that it may use. */
  processorShare: number;
}

/** Orders candidates by CPU cores, most first. The order of equals is the same at every entry. */
export function rankOwnerCandidates(candidates: readonly OwnerCandidate[]): OwnerCandidate[] {
  return candidates
    .map((candidate) => ({ candidate, score: rendezvousScore('owner', candidate.id) }))
    .sort(
      (a, b) =>
        b.candidate.processorShare - a.candidate.processorShare || (a.score < b.score ? -1 : 1),
    )
    .map(({ candidate }) => candidate);
}

function rendezvousScore(from: string, to: string): string {
  return createHash('sha1').update(`${from}>${to}`).digest('hex');
}
