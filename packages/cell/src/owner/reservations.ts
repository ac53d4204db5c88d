/** Reserves workers for large groups, so that small tasks don't starve them. */
import { urgencyOf } from '../placing/job-urgency.js';
import { dominantShare } from '../placing/fleet-profile.js';
import type { CapacityLedger } from '../placing/capacity-ledger.js';
import { maxTasks, isEligible, type AvailableWorker } from '../placing/available-worker.js';
import type { RankedGroup } from './ranked-groups.js';
import type { PendingGroup } from './pending-groups.js';

/** Groups per pass for which capacity is reserved: more reservations would leave too much idle. */
const MAX_RESERVATIONS = 2;

/** Reservations of one pass. */
export class Reservations {
  readonly #workers: readonly AvailableWorker[];

  readonly #ledger: CapacityLedger;

  /** Whether free capacity counts in all dimensions, not by accelerators alone. */
  readonly #inAllDimensions: boolean;

  #count = 0;

  constructor(
    workers: readonly AvailableWorker[],
    ledger: CapacityLedger,
    inAllDimensions = false,
  ) {
    this.#workers = workers;
    this.#ledger = ledger;
    this.#inAllDimensions = inAllDimensions;
  }

  /** Closes the workers with most free capacity to others in this pass, as many as the group needs. */
  reserveFor({ pending, factors }: RankedGroup): void {
    if (!isLarge(pending, this.#workers) || urgencyOf(factors) <= 0) return;
    if (this.#count >= MAX_RESERVATIONS) return;
    const { group } = pending;
    const candidates = this.#ledger.free
      .filter((worker) => isEligible(group, worker) && maxTasks(worker.capacity, group.demand) > 0)
      .map((worker) => ({ worker, used: this.#usedOf(worker) }))
      .sort((a, b) => a.used - b.used)
      .map(({ worker }) => worker);
    let missing = group.indexes.length;
    const reserved = candidates.filter((worker) => {
      if (missing <= 0) return false;
      missing -= maxTasks(worker.capacity, group.demand);
      return true;
    });
    if (missing > 0) return;
    this.#count += 1;
    this.#ledger.excludeWorkers(reserved.map(({ vm }) => vm));
  }

  #usedOf({ free, capacity }: AvailableWorker): number {
    if (!this.#inAllDimensions) return -free.accelerators;
    const used = {
      milliCores: capacity.milliCores - free.milliCores,
      memoryMb: capacity.memoryMb - free.memoryMb,
      accelerators: capacity.accelerators - free.accelerators,
    };
    return dominantShare(used, capacity);
  }
}

/** True for a gang, or for tasks that need more than half of a worker: small tasks could starve these. */
function isLarge({ group }: PendingGroup, workers: readonly AvailableWorker[]): boolean {
  if (group.gang && group.indexes.length > 1) return true;
  const largest = Math.max(0, ...workers.map(({ capacity }) => capacity.accelerators));
  return group.demand.accelerators > largest / 2;
}
