/** Forecast of one pass: when a group will fit if nothing is stopped for it. */
import { placeGroup } from './best-fit.js';
import {
  isEligible,
  tasksFitting,
  type AvailableWorker,
  type TaskGroup,
} from './available-worker.js';
import type { HeldCapacity } from './capacity-ledger.js';
import type { Demand } from '../job/submission.js';

/** Capacity that is expected to become free, in ms from now. */
export interface ExpectedRelease {
  inMs: number;
  members: readonly HeldCapacity[];
}

/** When a group is expected to fit, and where. */
export interface ExpectedRoom {
  /** From now, in ms; Infinity: never. */
  waitMs: number;
  members: readonly HeldCapacity[];
}

/** Groups are asked about in placement order: what one waits for, the next doesn't count on. */
export class CapacityForecast {
  #releases: ExpectedRelease[];

  /** Capacity that earlier groups wait for, by VM. */
  readonly #awaited = new Map<string, Demand>();

  constructor(releases: readonly ExpectedRelease[]) {
    this.#releases = releases
      .filter(({ inMs }) => Number.isFinite(inMs))
      .sort((a, b) => a.inMs - b.inMs);
  }

  /** Time by which this share of the expected releases has happened, in ms; 0 without any. */
  quantile(share: number): number {
    return this.#releases[Math.floor(this.#releases.length * share)]?.inMs ?? 0;
  }

  /** When the whole group first fits into these workers, which are changed. It then takes its capacity for `durationMs`. */
  roomFor(group: TaskGroup, workers: readonly AvailableWorker[], durationMs: number): ExpectedRoom {
    const byVm = new Map(
      workers.filter((worker) => isEligible(group, worker)).map((worker) => [worker.vm, worker]),
    );
    this.#awaited.forEach((demand, vm) => byVm.get(vm)?.allocate(demand, 1));
    const room = new Map<string, number>();
    byVm.forEach((worker) => addTo(room, setOf(group, worker), tasksFitting(group, worker)));
    const wanted = group.indexes.length;
    for (const { inMs, members } of this.#releases) {
      for (const { vm, demand } of members) {
        const worker = byVm.get(vm);
        if (worker !== undefined) {
          const before = tasksFitting(group, worker);
          worker.allocate(demand, -1);
          addTo(room, setOf(group, worker), tasksFitting(group, worker) - before);
        }
      }
      if (members.some(({ vm }) => isEnough(room, byVm.get(vm), group, wanted))) {
        const held = placeGroup(group, [...byVm.values()]).map(({ vm }) => ({
          vm,
          demand: group.demand,
        }));
        this.#await(held, inMs + durationMs);
        return { waitMs: inMs, members: held };
      }
    }
    return { waitMs: Infinity, members: [] };
  }

  #await(members: readonly HeldCapacity[], untilMs: number): void {
    members.forEach(({ vm, demand }) => {
      const earlier = this.#awaited.get(vm);
      this.#awaited.set(vm, earlier === undefined ? demand : addDemands(earlier, demand));
    });
    const later = this.#releases.findIndex(({ inMs }) => inMs > untilMs);
    const at = later < 0 ? this.#releases.length : later;
    this.#releases.splice(at, 0, { inMs: untilMs, members });
  }
}

function isEnough(
  room: ReadonlyMap<string, number>,
  worker: AvailableWorker | undefined,
  group: TaskGroup,
  wanted: number,
): boolean {
  return worker !== undefined && (room.get(setOf(group, worker)) ?? 0) >= wanted;
}

/** Workers that the group must share: those of one rack, or all. */
function setOf(group: TaskGroup, { rack }: AvailableWorker): string {
  return group.gang && group.oneRack ? rack : '';
}

function addTo(sums: Map<string, number>, key: string, amount: number): void {
  sums.set(key, (sums.get(key) ?? 0) + amount);
}

function addDemands(a: Demand, b: Demand): Demand {
  return {
    milliCores: a.milliCores + b.milliCores,
    memoryMb: a.memoryMb + b.memoryMb,
    accelerators: a.accelerators + b.accelerators,
  };
}
