/** What the workers and racks of one failure domain have free, kept up to date with each change. */
import type { Worker } from '../upstream/upstream.js';
import type { Member } from './shape.js';

/** One worker. An accelerator is free if nothing uses it; a claim may be promised one that is still in use. */
export interface WorkerCapacity {
  readonly id: string;
  readonly spec: Worker;
  readonly rack: RackCapacity;
  /** How many members use each accelerator. */
  readonly uses: Uint8Array;
  free: number;
  freeCores: number;
  freeMemoryMb: number;
  /** False while draining or quarantined: nothing new is placed. */
  open: boolean;
}

/** One rack and its workers. */
export interface RackCapacity {
  readonly id: string;
  position: number;
  readonly workers: WorkerCapacity[];
  /** Free accelerators of its open workers. */
  free: number;
}

/** Sets of items by a small number, so that best fit needs no scan of all of them. */
export class CountIndex<T> {
  readonly #sets: (Set<T> | undefined)[] = [];

  add(count: number, item: T): void {
    const set = this.#sets[count];
    if (set === undefined) this.#sets[count] = new Set([item]);
    else set.add(item);
  }

  remove(count: number, item: T): void {
    this.#sets[count]?.delete(item);
  }

  /** Items with at least `count`, fewest first. */
  *ascending(count: number): Generator<T> {
    for (let i = count; i < this.#sets.length; i += 1) yield* this.#sets[i] ?? [];
  }

  /** Items with at least `count`, most first. */
  *descending(count: number): Generator<T> {
    for (let i = this.#sets.length - 1; i >= count; i -= 1) yield* this.#sets[i] ?? [];
  }
}

/** Free cores for the index; promised room can make them negative. */
function wholeCores({ freeCores }: WorkerCapacity): number {
  return Math.max(0, Math.floor(freeCores));
}

/** Capacity of one failure domain. */
export class Capacity {
  readonly workers = new Map<string, WorkerCapacity>();

  readonly racks = new Map<string, RackCapacity>();

  /** Racks by their place in the row. */
  readonly positions = new Map<number, Set<RackCapacity>>();

  /** Open workers and racks by free accelerators. */
  readonly byFree = new CountIndex<WorkerCapacity>();

  /** Open workers by free cores, for shapes without accelerators. */
  readonly byCores = new CountIndex<WorkerCapacity>();

  readonly racksByFree = new CountIndex<RackCapacity>();

  accelerators = 0;

  free = 0;

  /** Most accelerators that one worker has had. */
  largestWorker = 1;

  /** Grows whenever something becomes free: a shape that didn't fit need not be tried before. */
  releases = 0;

  /** Adds a worker, empty; a known one keeps what runs on it and opens again. */
  add(spec: Worker): WorkerCapacity {
    const known = this.workers.get(spec.id);
    if (known !== undefined) {
      this.setOpen(spec.id, true);
      return known;
    }
    const rack = this.#rack(spec);
    const worker = {
      id: spec.id,
      spec,
      rack,
      uses: new Uint8Array(spec.accelerators),
      free: spec.accelerators,
      freeCores: spec.cores,
      freeMemoryMb: spec.memoryMb,
      open: false,
    };
    this.workers.set(spec.id, worker);
    rack.workers.push(worker);
    this.accelerators += spec.accelerators;
    this.largestWorker = Math.max(this.largestWorker, spec.accelerators);
    this.setOpen(spec.id, true);
    return worker;
  }

  /** Forgets a worker and whatever ran on it. */
  remove(id: string): void {
    const worker = this.workers.get(id);
    if (worker === undefined) return;
    this.setOpen(id, false);
    this.workers.delete(id);
    this.accelerators -= worker.spec.accelerators;
    const { rack } = worker;
    rack.workers.splice(rack.workers.indexOf(worker), 1);
    if (rack.workers.length > 0) return;
    this.racks.delete(rack.id);
    this.racksByFree.remove(rack.free, rack);
    this.positions.get(rack.position)?.delete(rack);
  }

  /** Opens a worker for placement or closes it. */
  setOpen(id: string, open: boolean): void {
    const worker = this.workers.get(id);
    if (worker === undefined || worker.open === open) return;
    worker.open = open;
    if (open) {
      this.byFree.add(worker.free, worker);
      this.byCores.add(wholeCores(worker), worker);
    } else {
      this.byFree.remove(worker.free, worker);
      this.byCores.remove(wholeCores(worker), worker);
    }
    this.#countFree(worker, open ? worker.free : -worker.free);
    if (open) this.releases += 1;
  }

  /** Counts members as using their accelerators, cores and memory. Unknown workers are left out. */
  take(members: Member[]): void {
    members.forEach((member) => this.#change(member, 1));
  }

  /** Gives back what `take` took. */
  release(members: Member[]): void {
    members.forEach((member) => this.#change(member, -1));
    this.releases += 1;
  }

  #change(member: Member, sign: 1 | -1): void {
    const worker = this.workers.get(member.worker);
    if (worker === undefined) return;
    const before = worker.free;
    member.accelerators.forEach((number) => {
      if (number >= worker.uses.length) return;
      if (sign === 1 && worker.uses[number] === 0) worker.free -= 1;
      worker.uses[number]! += sign;
      if (sign === -1 && worker.uses[number] === 0) worker.free += 1;
    });
    if (worker.open) this.byCores.remove(wholeCores(worker), worker);
    worker.freeCores -= sign * member.cores;
    if (worker.open) this.byCores.add(wholeCores(worker), worker);
    worker.freeMemoryMb -= sign * member.memoryMb;
    if (!worker.open || worker.free === before) return;
    this.byFree.remove(before, worker);
    this.byFree.add(worker.free, worker);
    this.#countFree(worker, worker.free - before);
  }

  #countFree({ rack: changed }: WorkerCapacity, change: number): void {
    const rack = changed;
    this.racksByFree.remove(rack.free, rack);
    rack.free += change;
    this.racksByFree.add(rack.free, rack);
    this.free += change;
  }

  #rack({ rack: id, rackPosition: position }: Worker): RackCapacity {
    const known = this.racks.get(id);
    if (known !== undefined) return known;
    const rack = { id, position, workers: [], free: 0 };
    this.racks.set(id, rack);
    this.racksByFree.add(0, rack);
    const row = this.positions.get(position) ?? new Set();
    this.positions.set(position, row.add(rack));
    return rack;
  }
}
