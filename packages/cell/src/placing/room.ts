/** Room on workers and how many tasks fit into it. */
import type { Demand } from '../job/submission.js';

/** What a worker that may be given something is. */
export interface RoomOptions {
  vm: string;
  /** The life of its runner. */
  runner: string;
  rack: string;
  labels: readonly string[];
  service: string;
  free: Demand;
  capacity: Demand;
  /** Lower is better: how much a worker is to be avoided, 0 if it is sound. */
  suspicion?: number;
  /** Jobs with runs here that have only just been started. */
  youngJobs?: ReadonlySet<string>;
  /** The job whose run here may crash the runner: nothing of others starts beside it until that is seen. */
  trialOf?: string | undefined;
  /** The runner has only just come back. */
  isFresh?: boolean;
  /** It works slowly for now. */
  isCold?: boolean;
}

/** Room on one worker, as a pass uses it up. */
export class Room {
  readonly vm: string;

  readonly runner: string;

  readonly rack: string;

  readonly labels: readonly string[];

  readonly service: string;

  readonly capacity: Demand;

  readonly suspicion: number;

  readonly isFresh: boolean;

  readonly isCold: boolean;

  #free: Demand;

  #youngJobs: ReadonlySet<string>;

  #trialOf: string | undefined;

  constructor({
    vm,
    runner,
    rack,
    labels,
    service,
    free,
    capacity,
    suspicion = 0,
    youngJobs = new Set(),
    trialOf,
    isFresh = false,
    isCold = false,
  }: RoomOptions) {
    this.vm = vm;
    this.runner = runner;
    this.rack = rack;
    this.labels = labels;
    this.service = service;
    this.capacity = capacity;
    this.suspicion = suspicion;
    this.isFresh = isFresh;
    this.isCold = isCold;
    this.#free = free;
    this.#youngJobs = youngJobs;
    this.#trialOf = trialOf;
  }

  get free(): Readonly<Demand> {
    return this.#free;
  }

  get youngJobs(): ReadonlySet<string> {
    return this.#youngJobs;
  }

  get trialOf(): string | undefined {
    return this.#trialOf;
  }

  /** Takes the room of `count` tasks; a negative count gives it back. */
  take(demand: Demand, count: number): void {
    this.#free = {
      milliCores: this.#free.milliCores - demand.milliCores * count,
      memoryMb: this.#free.memoryMb - demand.memoryMb * count,
      accelerators: this.#free.accelerators - demand.accelerators * count,
    };
  }

  /** So many tasks of this group start here. */
  place({ jobId, isSuspect, demand }: Group, count: number): void {
    if (count === 0) return;
    this.take(demand, count);
    this.#youngJobs = new Set([...this.#youngJobs, jobId]);
    if (isSuspect) this.#trialOf = jobId;
  }

  /** No more than this is free. */
  limit(bound: Demand): void {
    this.#free = {
      milliCores: Math.min(this.#free.milliCores, bound.milliCores),
      memoryMb: Math.min(this.#free.memoryMb, bound.memoryMb),
      accelerators: Math.min(this.#free.accelerators, bound.accelerators),
    };
  }

  /** Nothing more goes here. */
  exhaust(): void {
    this.#free = { milliCores: 0, memoryMb: 0, accelerators: 0 };
  }

  copy(): Room {
    const { youngJobs, trialOf } = this;
    return new Room({ ...this, free: this.#free, youngJobs, trialOf });
  }
}

/** Tasks to be placed: all of them if they are a gang, as many as fit otherwise. */
export interface Group {
  jobId: string;
  occurrence: number;
  step: number;
  /** Places in the step of the tasks that wait. */
  indexes: readonly number[];
  service: string;
  demand: Demand;
  gang: boolean;
  /** Must be on one rack for now. */
  oneRack: boolean;
  /** Must be on this rack for now. */
  rack: string | undefined;
  label: string | undefined;
  /** At most this many on one worker, and how many tasks of the step are there already. */
  maxPerWorker: number | undefined;
  present: ReadonlyMap<string, number>;
  /** It has no time to lose on a worker that is slow for now. */
  isUrgent: boolean;
  /** Workers where the step's runs went wrong lately. */
  avoided: ReadonlySet<string>;
  /** A runner crashed right after it had started one of the tasks. */
  isSuspect: boolean;
  /** For now it starts only where nothing else is as young: should the runner crash again, it is known who did it. */
  startsAlone: boolean;
}

/** A task of a group and its worker. */
export interface Placed {
  index: number;
  vm: string;
}

/** How many tasks of this demand fit. */
export function fits(free: Demand, demand: Demand): number {
  const least = Math.min(
    countOf(free.milliCores, demand.milliCores),
    countOf(free.memoryMb, demand.memoryMb),
    countOf(free.accelerators, demand.accelerators),
  );
  return Math.max(0, least);
}

function countOf(free: number, demand: number): number {
  return demand > 0 ? Math.floor(free / demand) : Number.MAX_SAFE_INTEGER;
}

/** How many tasks of the group this worker could take now. */
export function tasksThatFit(group: Group, room: Room): number {
  if (!isEligible(group, room)) return 0;
  const bound =
    group.maxPerWorker === undefined
      ? Infinity
      : group.maxPerWorker - (group.present.get(room.vm) ?? 0);
  return Math.max(0, Math.min(fits(room.free, group.demand), bound));
}

/** How many tasks of the group fit on these workers together. */
export function totalThatFit(group: Group, rooms: Iterable<Room>): number {
  return [...rooms].reduce((sum, room) => sum + tasksThatFit(group, room), 0);
}

/** Right service, label and rack, and no run on trial beside another that could be to blame as well. */
export function isEligible(group: Group, room: Room): boolean {
  if (room.trialOf !== undefined && room.trialOf !== group.jobId) return false;
  if (group.startsAlone && [...room.youngJobs].some((id) => id !== group.jobId)) return false;
  if (room.service !== group.service || group.avoided.has(room.vm)) return false;
  if (group.label !== undefined && !room.labels.includes(group.label)) return false;
  return group.rack === undefined || room.rack === group.rack;
}

/** Rooms by rack. */
export function byRack(rooms: readonly Room[]): Room[][] {
  const racks = [...new Set(rooms.map(({ rack }) => rack))];
  return racks.map((rack) => rooms.filter((room) => room.rack === rack));
}
