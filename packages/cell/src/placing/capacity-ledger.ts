/** Free capacity of all workers during one placement pass: now, and once all runs that are being stopped have ended. */
import { placeGroup, type FitTerms } from './best-fit.js';
import type { TaskGroup, TaskPlacement, AvailableWorker } from './available-worker.js';
import type { Demand } from '../job/submission.js';

/** Capacity that a run holds on one worker. */
export interface HeldCapacity {
  vm: string;
  demand: Demand;
}

/** Capacity given to a group is taken from both views, so that no two groups count on the same. */
export class CapacityLedger {
  readonly #free: ReadonlyMap<string, AvailableWorker>;

  readonly #projected: ReadonlyMap<string, AvailableWorker>;

  readonly #termsOf: (group: TaskGroup) => FitTerms | undefined;

  /** `termsOf`: how to fit a group; by default as tightly as its accelerators allow. */
  constructor(
    workers: readonly AvailableWorker[],
    stopping: readonly HeldCapacity[],
    termsOf: (group: TaskGroup) => FitTerms | undefined = () => undefined,
  ) {
    this.#termsOf = termsOf;
    this.#free = new Map(workers.map((worker) => [worker.vm, worker.copy()]));
    this.#projected = new Map(workers.map((worker) => [worker.vm, worker.copy()]));
    this.addStopping(stopping);
  }

  /** Workers with the capacity that is free now, less what is reserved. */
  get free(): AvailableWorker[] {
    return [...this.#free.values()];
  }

  /** Copies of the workers with the capacity that will be free, less what is reserved. */
  get projected(): AvailableWorker[] {
    return [...this.#projected.values()].map((worker) => worker.copy());
  }

  /** Counts the capacity of runs that are being stopped as free in the projection. */
  addStopping(held: readonly HeldCapacity[]): void {
    held.forEach(({ vm, demand }) => this.#projected.get(vm)?.allocate(demand, -1));
  }

  /** Places as many tasks of the group as fit now, on at most `mayOpen` wholly free workers, and takes their capacity. */
  place(group: TaskGroup, mayOpen = Infinity): TaskPlacement[] {
    const terms = this.#termsOf(group);
    const placements = placeGroup(group, this.free, terms && { ...terms, mayOpen });
    placements.forEach(({ vm }) => this.#projected.get(vm)?.place(group, 1));
    return placements;
  }

  /** Reserves projected capacity for as many tasks as fit, a gang whole. No other group gets the part of it that is free now. */
  reserve(group: TaskGroup): TaskPlacement[] {
    const placements = placeGroup(group, [...this.#projected.values()], this.#termsOf(group));
    placements.forEach(({ vm }) => {
      const projected = this.#projected.get(vm);
      if (projected !== undefined) this.#free.get(vm)?.limitFree(projected.free);
    });
    return placements;
  }

  /** Keeps this capacity from all later groups, as far as it is free or becomes free. */
  withhold(held: readonly HeldCapacity[]): void {
    held.forEach(({ vm, demand }) => {
      const projected = this.#projected.get(vm);
      if (projected === undefined) return;
      const { milliCores, memoryMb, accelerators } = projected.free;
      projected.limitFree({
        milliCores: Math.max(0, milliCores - demand.milliCores),
        memoryMb: Math.max(0, memoryMb - demand.memoryMb),
        accelerators: Math.max(0, accelerators - demand.accelerators),
      });
      this.#free.get(vm)?.limitFree(projected.free);
    });
  }

  /** Keeps this pass from placing anything more on these workers. */
  excludeWorkers(vms: readonly string[]): void {
    vms.forEach((vm) => {
      this.#free.get(vm)?.clearFree();
      this.#projected.get(vm)?.clearFree();
    });
  }
}
