/** Placement of whole gangs, as close together as they ask for, so that the free space stays useful. */
import { chooseAccelerators } from './placement-accelerators.js';
import type { Capacity, RackCapacity, WorkerCapacity } from './placement-capacity.js';
import type { Adjacency, Member, Shape } from './shape.js';

/** How many tasks of the shape a worker may take. */
export type Slots = (worker: WorkerCapacity, shape: Shape) => number;

/** What to place, and the rules. */
export interface PlacementRequest {
  shape: Shape;
  /** One task a worker as far as there are workers, rather than packed. */
  spread?: boolean;
  /** Tightest fit first, whichever comes first, or the emptiest first, full ones included. */
  strategy?: 'best-fit' | 'first-fit' | 'most-free';
  slots?: Slots;
}

/** Tasks put on one worker. */
interface Portion {
  worker: WorkerCapacity;
  tasks: number;
}

/** Candidates of equal free space that are compared in full before the search settles. */
const MAX_COMPARED = 24;

const LEVELS: Adjacency[] = ['worker', 'rack', 'neighbouring-racks', 'failure-domain'];

/** Tasks that fit next to each other in what a worker has free. */
export function freeSlots(worker: WorkerCapacity, shape: Shape): number {
  if (!worker.open) return 0;
  return slotsIn({
    shape,
    accelerators: worker.free,
    cores: worker.freeCores,
    memoryMb: worker.freeMemoryMb,
  });
}

/** Tasks of a shape that fit in an amount of accelerators, cores and memory. */
export function slotsIn({
  shape,
  accelerators,
  cores,
  memoryMb,
}: {
  shape: Shape;
  accelerators: number;
  cores: number;
  memoryMb: number;
}): number {
  let slots = shape.tasks;
  if (shape.acceleratorsPerTask > 0) {
    slots = Math.min(slots, Math.floor(accelerators / shape.acceleratorsPerTask));
  }
  if (shape.coresPerTask > 0) slots = Math.min(slots, Math.floor(cores / shape.coresPerTask));
  if (shape.memoryMbPerTask > 0) {
    slots = Math.min(slots, Math.floor(memoryMb / shape.memoryMbPerTask));
  }
  return Math.max(0, slots);
}

/** One search over a capacity. */
class Search {
  readonly #capacity: Capacity;

  readonly #shape: Shape;

  readonly #spread: boolean;

  readonly #bestFit: boolean;

  readonly #mostFree: boolean;

  readonly #slots: (worker: WorkerCapacity) => number;

  constructor(
    capacity: Capacity,
    { shape, spread = false, strategy = 'best-fit', slots = freeSlots }: PlacementRequest,
  ) {
    this.#capacity = capacity;
    this.#shape = shape;
    this.#spread = spread;
    this.#bestFit = strategy === 'best-fit';
    this.#mostFree = strategy === 'most-free';
    this.#slots = (worker) => slots(worker, shape);
  }

  at(level: Adjacency): Portion[] | undefined {
    if (level === 'worker') return this.#oneWorker();
    if (level === 'rack') return this.#oneRack();
    if (level === 'neighbouring-racks') return this.#twoRacks();
    return this.#anyRacks();
  }

  #oneWorker(): Portion[] | undefined {
    const { tasks, acceleratorsPerTask } = this.#shape;
    const workers = this.#workers(tasks * acceleratorsPerTask);
    let best: WorkerCapacity | undefined;
    let compared = 0;
    for (const worker of workers) {
      if (best !== undefined && (!this.#bestFit || worker.free > best.free)) break;
      if (this.#slots(worker) < tasks) continue;
      if (best === undefined || worker.rack.free < best.rack.free) best = worker;
      compared += 1;
      if (compared >= MAX_COMPARED) break;
    }
    return best && [{ worker: best, tasks }];
  }

  #workers(need: number): Iterable<WorkerCapacity> {
    const { byFree, byCores, workers } = this.#capacity;
    const { tasks, coresPerTask } = this.#shape;
    if (this.#bestFit && need === 0) return byCores.ascending(tasks * coresPerTask);
    if (this.#bestFit) return byFree.ascending(need);
    return this.#mostFree ? byFree.descending(0) : workers.values();
  }

  #racks(need: number): Iterable<RackCapacity> {
    const { racksByFree, racks } = this.#capacity;
    if (this.#bestFit) return racksByFree.ascending(need);
    return this.#mostFree ? racksByFree.descending(0) : racks.values();
  }

  #oneRack(): Portion[] | undefined {
    const { tasks, acceleratorsPerTask } = this.#shape;
    for (const rack of this.#racks(tasks * acceleratorsPerTask)) {
      const portions = this.#fill([rack]);
      if (portions !== undefined) return portions;
    }
    return undefined;
  }

  #twoRacks(): Portion[] | undefined {
    const need = this.#shape.tasks * this.#shape.acceleratorsPerTask;
    let best: Portion[] | undefined;
    let bestFree = Infinity;
    for (const rack of this.#capacity.racks.values()) {
      for (const next of this.#capacity.positions.get(rack.position + 1) ?? []) {
        const free = rack.free + next.free;
        if (this.#bestFit && (free < need || free >= bestFree)) continue;
        const portions = this.#fill([rack, next]);
        if (portions === undefined) continue;
        if (!this.#bestFit) return portions;
        best = portions;
        bestFree = free;
      }
    }
    return best;
  }

  #anyRacks(): Portion[] | undefined {
    const racks = this.#bestFit
      ? this.#capacity.racksByFree.descending(0)
      : this.#capacity.racks.values();
    return this.#fill(racks);
  }

  /** Fills racks in the order given; within one, the workers with the most room first. */
  #fill(racks: Iterable<RackCapacity>): Portion[] | undefined {
    const portions: Portion[] = [];
    let left = this.#shape.tasks;
    for (const rack of racks) {
      const rooms = rack.workers
        .map((worker) => ({ worker, tasks: this.#slots(worker) }))
        .filter(({ tasks }) => tasks > 0);
      if (this.#bestFit) rooms.sort((a, b) => b.tasks - a.tasks || a.worker.free - b.worker.free);
      for (const { worker, tasks } of rooms) {
        portions.push({ worker, tasks: this.#spread ? tasks : Math.min(tasks, left) });
        left -= this.#spread ? 1 : Math.min(tasks, left);
        if (left <= 0) return this.#spread ? spreadOut(portions, this.#shape.tasks) : portions;
      }
    }
    return this.#spread ? spreadOut(portions, this.#shape.tasks) : undefined;
  }
}

/** Places a gang, all or nothing: its members, or undefined. Nothing is taken yet. */
export function findPlacement(capacity: Capacity, req: PlacementRequest): Member[] | undefined {
  const search = new Search(capacity, req);
  const widest = LEVELS.indexOf(req.shape.adjacency);
  const narrowest = req.spread && req.shape.tasks > 1 ? Math.min(1, widest) : 0;
  for (let level = narrowest; level <= widest; level += 1) {
    const portions = search.at(LEVELS[level]!);
    if (portions !== undefined) return toMembers(portions, req.shape);
  }
  return undefined;
}

/** Shares tasks out one by one over workers with the room given; undefined if it isn't enough. */
function spreadOut(rooms: Portion[], tasks: number): Portion[] | undefined {
  const counts = rooms.map(() => 0);
  let left = tasks;
  for (let round = 1; left > 0; round += 1) {
    const before = left;
    for (let i = 0; i < rooms.length && left > 0; i += 1) {
      if (rooms[i]!.tasks < round) continue;
      counts[i] = round;
      left -= 1;
    }
    if (left === before) return undefined;
  }
  return rooms
    .map(({ worker }, i) => ({ worker, tasks: counts[i]! }))
    .filter((portion) => portion.tasks > 0);
}

/** Members with accelerator numbers. */
function toMembers(portions: Portion[], shape: Shape): Member[] {
  const members: Member[] = [];
  portions.forEach(({ worker, tasks }) => {
    const uses = worker.uses.slice();
    for (let i = 0; i < tasks; i += 1) {
      const accelerators = chooseAccelerators(uses, shape.acceleratorsPerTask);
      // Room that must be cleared first has no numbers yet; only their count matters until it is.
      while (accelerators.length < shape.acceleratorsPerTask) {
        accelerators.push(accelerators.length);
      }
      accelerators.forEach((number) => {
        uses[number] = 1;
      });
      members.push({
        member: members.length,
        worker: worker.id,
        accelerators,
        cores: shape.coresPerTask,
        memoryMb: shape.memoryMbPerTask,
      });
    }
  });
  return members;
}
