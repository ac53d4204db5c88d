/** Which failure domain keeps which copies of the guarantees that aren't pinned to one. */
import type { Guarantee } from './guarantee.js';
import { packGuarantees, type PlacedWorker } from './pack.js';

/** Copies of guarantees by name. */
export type CopyCounts = Record<string, number>;

/** Copies of every guarantee without a failure domain of its own, by failure domain. */
export type CopyAssignment = Map<string, CopyCounts>;

/**
 * Assigns copies by the packing of all guarantees on all workers: whoever knows the same workers assigns the same.
 * Copies without a place anywhere are the largest failure domain's, so that they are told of once.
 */
export function assignCopies(
  guarantees: Guarantee[],
  workers: (PlacedWorker & { failureDomain: string })[],
): CopyAssignment {
  const sorted = [...workers].sort(
    (a, b) => compare(a.failureDomain, b.failureDomain) || compare(a.id, b.id),
  );
  const domainOf = new Map(sorted.map(({ id, failureDomain }) => [id, failureDomain]));
  const { packed, left } = packGuarantees({ guarantees }, sorted);
  const assignment: CopyAssignment = new Map();
  const add = (guarantee: Guarantee, failureDomain: string | undefined): void => {
    if (guarantee.failureDomain !== undefined || failureDomain === undefined) return;
    const counts = assignment.get(failureDomain) ?? {};
    counts[guarantee.name] = (counts[guarantee.name] ?? 0) + 1;
    assignment.set(failureDomain, counts);
  };
  packed.forEach(({ guarantee, members }) =>
    add(guarantee, domainOf.get(members[0]?.worker ?? '')),
  );
  const largest = largestDomain(sorted);
  left.forEach(({ guarantee }) => add(guarantee, largest));
  return assignment;
}

function largestDomain(
  workers: { failureDomain: string; accelerators: number }[],
): string | undefined {
  const sizes = new Map<string, number>();
  workers.forEach(({ failureDomain, accelerators }) =>
    sizes.set(failureDomain, (sizes.get(failureDomain) ?? 0) + accelerators),
  );
  return [...sizes].sort(([a, x], [b, y]) => y - x || compare(a, b))[0]?.[0];
}

function compare(a: string, b: string): number {
  if (a === b) return 0;
  return a < b ? -1 : 1;
}
