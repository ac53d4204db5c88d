/** Workers that are kept free for large groups, so that small tasks don't fill them for ever. */
import { urgencyOf } from '../placing/job-urgency.js';
import type { CapacityLedger } from '../placing/capacity-ledger.js';
import { maxTasks, isEligible, type AvailableWorker } from '../placing/available-worker.js';
import type { Candidate } from './candidates.js';
import type { WantedGroup } from './wanted-groups.js';

/** Groups that found no room and for which room is kept: beyond these, keeping it would leave too much idle. */
const MOST_RESERVATIONS = 2;

/** Reservations of one pass. */
export class Reservations {
  readonly #rooms: readonly AvailableWorker[];

  readonly #ledger: CapacityLedger;

  #count = 0;

  constructor(rooms: readonly AvailableWorker[], ledger: CapacityLedger) {
    this.#rooms = rooms;
    this.#ledger = ledger;
  }

  /** Closes the workers that are nearest to having its room. */
  keepFor({ wanted, standing }: Candidate): void {
    if (!isLarge(wanted, this.#rooms) || urgencyOf(standing) <= 0) return;
    if (this.#count >= MOST_RESERVATIONS) return;
    const { group } = wanted;
    const hosts = this.#ledger.free
      .filter((room) => isEligible(group, room) && maxTasks(room.capacity, group.demand) > 0)
      .sort((a, b) => b.free.accelerators - a.free.accelerators);
    let missing = group.indexes.length;
    const kept = hosts.filter((room) => {
      if (missing <= 0) return false;
      missing -= maxTasks(room.capacity, group.demand);
      return true;
    });
    if (missing > 0) return;
    this.#count += 1;
    this.#ledger.excludeWorkers(kept.map(({ vm }) => vm));
  }
}

/** A gang, or tasks that need more than half of a worker: what small tasks could starve. */
function isLarge({ group }: WantedGroup, rooms: readonly AvailableWorker[]): boolean {
  if (group.gang && group.indexes.length > 1) return true;
  const largest = Math.max(0, ...rooms.map(({ capacity }) => capacity.accelerators));
  return group.demand.accelerators > largest / 2;
}
