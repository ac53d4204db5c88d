/** Workers that can take tasks, their free capacity, and how many tasks fit into it. */
import type { Demand } from '../job/submission.js';

/** Properties of a worker that may be given tasks. */
export interface AvailableWorkerOptions {
  vm: string;
  /** Incarnation of its runner. */
  runner: string;
  rack: string;
  labels: readonly string[];
  service: string;
  free: Demand;
  capacity: Demand;
  /** Workers with a lower penalty are preferred; 0 for a healthy worker. */
  penalty?: number;
  /** Jobs with a run here that was started only just now. */
  startingJobs?: ReadonlySet<string>;
  /** Job whose run here may crash the runner: until that is known, no task of another job starts beside it. */
  suspectJob?: string | undefined;
  /** The runner has restarted recently. */
  isRecentlyRestarted?: boolean;
  /** Runs tasks slowly for now, as after a cold start. */
  isCold?: boolean;
  /** As learned from its tasks; 1 is usual. */
  speed?: number;
  /** Its runner has restarted twice in quick succession. */
  isRestarting?: boolean;
}

/** A worker during one placement pass, with the capacity that the pass has left free. */
export class AvailableWorker {
  readonly vm: string;

  readonly runner: string;

  readonly rack: string;

  readonly labels: readonly string[];

  readonly service: string;

  readonly capacity: Demand;

  readonly penalty: number;

  readonly isRecentlyRestarted: boolean;

  readonly isCold: boolean;

  readonly speed: number;

  readonly isRestarting: boolean;

  #free: Demand;

  #startingJobs: ReadonlySet<string>;

  #suspectJob: string | undefined;

  constructor({
    vm,
    runner,
    rack,
    labels,
    service,
    free,
    capacity,
    penalty = 0,
    startingJobs = new Set(),
    suspectJob,
    isRecentlyRestarted = false,
    isCold = false,
    speed = 1,
    isRestarting = false,
  }: AvailableWorkerOptions) {
    this.vm = vm;
    this.runner = runner;
    this.rack = rack;
    this.labels = labels;
    this.service = service;
    this.capacity = capacity;
    this.penalty = penalty;
    this.isRecentlyRestarted = isRecentlyRestarted;
    this.isCold = isCold;
    this.speed = speed;
    this.isRestarting = isRestarting;
    this.#free = free;
    this.#startingJobs = startingJobs;
    this.#suspectJob = suspectJob;
  }

  get free(): Readonly<Demand> {
    return this.#free;
  }

  /** Nothing holds or has reserved any of its capacity. */
  get isWhollyFree(): boolean {
    const { accelerators, milliCores, memoryMb } = this.#free;
    return (
      accelerators >= this.capacity.accelerators &&
      milliCores >= this.capacity.milliCores &&
      memoryMb >= this.capacity.memoryMb
    );
  }

  get startingJobs(): ReadonlySet<string> {
    return this.#startingJobs;
  }

  get suspectJob(): string | undefined {
    return this.#suspectJob;
  }

  /** Takes the capacity of `count` tasks from what is free; a negative count returns it. */
  allocate(demand: Demand, count: number): void {
    this.#free = {
      milliCores: this.#free.milliCores - demand.milliCores * count,
      memoryMb: this.#free.memoryMb - demand.memoryMb * count,
      accelerators: this.#free.accelerators - demand.accelerators * count,
    };
  }

  /** Places `count` tasks of the group here. */
  place({ jobId, isSuspect, demand }: TaskGroup, count: number): void {
    if (count === 0) return;
    this.allocate(demand, count);
    this.#startingJobs = new Set([...this.#startingJobs, jobId]);
    if (isSuspect) this.#suspectJob = jobId;
  }

  /** Lowers the free capacity to at most `bound`. */
  limitFree(bound: Demand): void {
    this.#free = {
      milliCores: Math.min(this.#free.milliCores, bound.milliCores),
      memoryMb: Math.min(this.#free.memoryMb, bound.memoryMb),
      accelerators: Math.min(this.#free.accelerators, bound.accelerators),
    };
  }

  /** Leaves no free capacity, so that nothing more is placed here. */
  clearFree(): void {
    this.#free = { milliCores: 0, memoryMb: 0, accelerators: 0 };
  }

  copy(): AvailableWorker {
    const { startingJobs, suspectJob } = this;
    return new AvailableWorker({ ...this, free: this.#free, startingJobs, suspectJob });
  }
}

/** Tasks of one step to be placed: all of them if they are a gang, otherwise as many as fit. */
export interface TaskGroup {
  jobId: string;
  occurrence: number;
  step: number;
  /** Indexes within the step of the tasks that wait. */
  indexes: readonly number[];
  service: string;
  demand: Demand;
  gang: boolean;
  /** All tasks must currently go to the same rack. */
  oneRack: boolean;
  /** The tasks must currently go to this rack. */
  rack: string | undefined;
  label: string | undefined;
  /** Maximum number of tasks of the step on one worker; `present` counts those already there, by VM. */
  maxPerWorker: number | undefined;
  present: ReadonlyMap<string, number>;
  /** Has no time to lose on a cold worker. */
  isUrgent: boolean;
  /** VMs where runs of the step failed recently. */
  avoided: ReadonlySet<string>;
  /** A runner crashed right after starting one of the tasks. */
  isSuspect: boolean;
  /** For now starts only where no other job has just started a run, so that another crash can be attributed to it. */
  startsAlone: boolean;
}

/** Assignment of a task of a group to a worker. */
export interface TaskPlacement {
  index: number;
  vm: string;
}

/** How many tasks with this demand fit into the free capacity. */
export function maxTasks(free: Demand, demand: Demand): number {
  const lowest = Math.min(
    maxTasksByResource(free.milliCores, demand.milliCores),
    maxTasksByResource(free.memoryMb, demand.memoryMb),
    maxTasksByResource(free.accelerators, demand.accelerators),
  );
  return Math.max(0, lowest);
}

function maxTasksByResource(free: number, demand: number): number {
  return demand > 0 ? Math.floor(free / demand) : Number.MAX_SAFE_INTEGER;
}

/** How many tasks of the group the worker can take now. */
export function tasksFitting(group: TaskGroup, worker: AvailableWorker): number {
  if (!isEligible(group, worker)) return 0;
  const limit =
    group.maxPerWorker === undefined
      ? Infinity
      : group.maxPerWorker - (group.present.get(worker.vm) ?? 0);
  return Math.max(0, Math.min(maxTasks(worker.free, group.demand), limit));
}

/** How many tasks of the group the workers can take together. */
export function totalTasksFitting(group: TaskGroup, workers: Iterable<AvailableWorker>): number {
  return [...workers].reduce((sum, worker) => sum + tasksFitting(group, worker), 0);
}

/** True if service, label and rack match and no suspect run would be next to another that might cause the same crash. */
export function isEligible(group: TaskGroup, worker: AvailableWorker): boolean {
  if (worker.suspectJob !== undefined && worker.suspectJob !== group.jobId) return false;
  if (group.startsAlone && [...worker.startingJobs].some((id) => id !== group.jobId)) return false;
  if (worker.service !== group.service || group.avoided.has(worker.vm)) return false;
  if (group.label !== undefined && !worker.labels.includes(group.label)) return false;
  return group.rack === undefined || worker.rack === group.rack;
}

export function groupByRack(workers: readonly AvailableWorker[]): AvailableWorker[][] {
  const racks = [...new Set(workers.map(({ rack }) => rack))];
  return racks.map((rack) => workers.filter((worker) => worker.rack === rack));
}

/** At least half of the service's accelerators are in use. */
export function isServiceBusy(service: string, workers: readonly AvailableWorker[]): boolean {
  const ofService = workers.filter((worker) => worker.service === service);
  const free = ofService.reduce((sum, worker) => sum + worker.free.accelerators, 0);
  const capacity = ofService.reduce((sum, worker) => sum + worker.capacity.accelerators, 0);
  return free * 2 <= capacity;
}
