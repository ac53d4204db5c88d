/** Which entry should own a failure domain, by rendezvous hashing, so that ownership spreads without agreement. */
import { createHash } from 'node:crypto';

/** An entry that could own a failure domain. */
export interface Candidate {
  id: string;
  failureDomain: string;
}

/** Place of entry `self` among the candidates for a failure domain; 0 comes first. */
export function preferenceRank(
  self: string,
  failureDomain: string,
  candidates: Candidate[],
): number {
  const order = [...candidates].sort(
    (a, b) =>
      Number(b.failureDomain === failureDomain) - Number(a.failureDomain === failureDomain) ||
      compare(weight(b.id, failureDomain), weight(a.id, failureDomain)),
  );
  return Math.max(
    0,
    order.findIndex(({ id }) => id === self),
  );
}

/** Rendezvous weight of a node for a key; the highest wins. */
export function weight(node: string, key: string): string {
  return createHash('sha256').update(`${node}\0${key}`).digest('hex');
}

function compare(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
