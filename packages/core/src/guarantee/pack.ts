/** Packing of guaranteed shapes on empty workers, so that all of them could be claimed at once. */
import type { Bundle } from '../bundle/bundle.js';
import { findPlacement, type Slots } from '../gang/placement.js';
import { Capacity } from '../gang/placement-capacity.js';
import type { Member } from '../gang/shape.js';
import type { Worker } from '../upstream/upstream.js';
import type { Guarantee } from './guarantee.js';

/** A worker and where it is; without a failure domain it may serve any guarantee. */
export type PlacedWorker = Worker & { failureDomain?: string };

/** One copy of a guarantee and the place set apart for it. */
export interface PackedGuarantee {
  guarantee: Guarantee;
  /** 0 to count - 1. */
  copy: number;
  members: Member[];
}

/** Result of a packing: the places, and the copies that found none. */
export interface Packing {
  packed: PackedGuarantee[];
  left: { guarantee: Guarantee; copy: number }[];
}

/** Answer to "do these guarantees fit on these workers?", with the numbers behind a refusal. */
export type GuaranteeCheck =
  { fits: true } | { fits: false; reason: string; numbers: Record<string, string | number> };

type Copy = Packing['left'][number];

function size({ shape }: Guarantee): number {
  return shape.tasks * shape.acceleratorsPerTask;
}

/** Orders to try: large ones first, then those with the largest tasks, then the closest. */
const ORDERS: ((a: Copy, b: Copy) => number)[] = [
  (a, b) => size(b.guarantee) - size(a.guarantee),
  (a, b) =>
    b.guarantee.shape.acceleratorsPerTask - a.guarantee.shape.acceleratorsPerTask ||
    size(b.guarantee) - size(a.guarantee),
  (a, b) =>
    a.guarantee.shape.adjacency.length - b.guarantee.shape.adjacency.length ||
    size(b.guarantee) - size(a.guarantee),
];

/** All copies of the bundle's guarantees. */
export function copiesOf(guarantees: Guarantee[]): Copy[] {
  return guarantees.flatMap((guarantee) =>
    Array.from({ length: guarantee.count }, (_, copy) => ({ guarantee, copy })),
  );
}

/** Packs copies into what a capacity has free, taking it; `slots` may hold back more. */
export function packInto(capacities: Capacity[], copies: Copy[], slots?: Slots): Packing {
  const packing: Packing = { packed: [], left: [] };
  copies.forEach(({ guarantee, copy }) => {
    for (const capacity of capacities) {
      const members = findPlacement(capacity, {
        shape: guarantee.shape,
        ...(slots === undefined ? {} : { slots }),
      });
      if (members === undefined) continue;
      capacity.take(members);
      packing.packed.push({ guarantee, copy, members });
      return;
    }
    packing.left.push({ guarantee, copy });
  });
  return packing;
}

/** Empty capacities by failure domain. */
function domainsOf(workers: PlacedWorker[], without?: string): Map<string, Capacity> {
  const domains = new Map<string, Capacity>();
  workers.forEach((worker) => {
    if (worker.id === without) return;
    const name = worker.failureDomain ?? '';
    const capacity = domains.get(name) ?? new Capacity();
    capacity.add(worker);
    domains.set(name, capacity);
  });
  return domains;
}

/** Packs in one order: pinned guarantees first, then the others wherever they fit. */
function packOrdered(domains: Map<string, Capacity>, copies: Copy[]): Packing {
  const pinned = copies.filter(({ guarantee }) => guarantee.failureDomain !== undefined);
  const free = copies.filter(({ guarantee }) => guarantee.failureDomain === undefined);
  const parts = pinned.map((copy) => {
    const capacity = domains.get(copy.guarantee.failureDomain!) ?? domains.get('');
    return packInto(capacity === undefined ? [] : [capacity], [copy]);
  });
  const all = [...parts, packInto([...domains.values()], free)];
  return {
    packed: all.flatMap(({ packed }) => packed),
    left: all.flatMap(({ left }) => left),
  };
}

/** Packs copies on empty workers, in the first order in which all fit, else as many as the best did. */
function packEmpty(workers: PlacedWorker[], copies: Copy[], without?: string): Packing {
  let best: Packing | undefined;
  for (const order of ORDERS) {
    const packing = packOrdered(domainsOf(workers, without), [...copies].sort(order));
    if (packing.left.length === 0) return packing;
    if (best === undefined || packing.left.length < best.left.length) best = packing;
  }
  return best!;
}

/** Workers whose loss leaves some guarantee without a place, with what is then left over. */
function findFatalLoss(
  workers: PlacedWorker[],
  copies: Copy[],
  packing: Packing,
): { worker: string; packing: Packing } | undefined {
  const hosts = new Set(packing.packed.flatMap(({ members }) => members.map((m) => m.worker)));
  for (const worker of hosts) {
    const affected = packing.packed.filter(({ members }) =>
      members.some((member) => member.worker === worker),
    );
    if (repackAround(workers, packing, affected, worker)) continue;
    const again = packEmpty(workers, copies, worker);
    if (again.left.length > 0) return { worker, packing: again };
  }
  return undefined;
}

/** True if the affected copies find other places while the rest stay where they are. */
function repackAround(
  workers: PlacedWorker[],
  packing: Packing,
  affected: PackedGuarantee[],
  lost: string,
): boolean {
  const domains = domainsOf(workers, lost);
  const rest = packing.packed.filter((copy) => !affected.includes(copy));
  domains.forEach((capacity) => rest.forEach(({ members }) => capacity.take(members)));
  return packOrdered(domains, affected).left.length === 0;
}

/**
 * Packs all guarantees on empty workers. With `lost: 1` also tries each worker's loss and answers with the
 * packing of the first loss after which some copy has no place.
 */
export function packGuarantees(
  bundle: Pick<Bundle, 'guarantees'>,
  workers: PlacedWorker[],
  { lost = 0 }: { lost?: 0 | 1 } = {},
): Packing & { lostWorker?: string } {
  const copies = copiesOf(bundle.guarantees);
  const packing = packEmpty(workers, copies);
  if (packing.left.length > 0 || lost === 0) return packing;
  const fatal = findFatalLoss(workers, copies, packing);
  return fatal === undefined ? packing : { ...fatal.packing, lostWorker: fatal.worker };
}

/** Whether all guarantees can be held at once, even with any one worker lost. */
export function checkGuarantees(
  bundle: Pick<Bundle, 'guarantees'>,
  workers: PlacedWorker[],
): GuaranteeCheck {
  const { left, lostWorker } = packGuarantees(bundle, workers, { lost: 1 });
  const first = left[0];
  if (first === undefined) return { fits: true };
  const { guarantee } = first;
  const copiesLeft = left.filter((copy) => copy.guarantee === guarantee).length;
  return {
    fits: false,
    reason:
      `Guarantee ${guarantee.name} of ${guarantee.account}: ${guarantee.count - copiesLeft} of ` +
      `${guarantee.count} copies fit${lostWorker === undefined ? '' : ` with worker ${lostWorker} lost`}.`,
    numbers: {
      guarantee: guarantee.name,
      account: guarantee.account,
      copies: guarantee.count,
      copiesLeft,
      guaranteesLeft: left.length,
      acceleratorsAsked: bundle.guarantees.reduce((sum, g) => sum + size(g) * g.count, 0),
      accelerators: workers.reduce((sum, worker) => sum + worker.accelerators, 0),
      workers: workers.length,
      ...(lostWorker === undefined ? {} : { lostWorker }),
    },
  };
}
