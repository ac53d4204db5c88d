/** How well a task fits a worker, in all resource dimensions: what it leaves over there, and what it leaves unusable. */
import type { Demand } from '../job/submission.js';
import type { AvailableWorker } from './available-worker.js';

/** A lower value of each is better. */
export interface WorkerFit {
  /** Whether the worker is wholly free before: others may need it whole. */
  opens: boolean;
  /** Accelerators that the task strands there. */
  stranded: number;
  /** Free capacity left, as the sum of the shares of cores, memory and accelerators. */
  left: number;
}

/** Fit of one task. `lean`: the least that a task usually needs beside an accelerator. */
export function fitOf(worker: AvailableWorker, demand: Demand, lean: Demand): WorkerFit {
  const { free, capacity } = worker;
  const after = {
    milliCores: free.milliCores - demand.milliCores,
    memoryMb: free.memoryMb - demand.memoryMb,
    accelerators: free.accelerators - demand.accelerators,
  };
  return {
    opens: worker.isWhollyFree,
    stranded: strandedAccelerators(after, lean) - strandedAccelerators(free, lean),
    // A sum: the largest share alone would be that of a resource that hardly anything uses, the same on all workers.
    left:
      shareOf(after.milliCores, capacity.milliCores) +
      shareOf(after.memoryMb, capacity.memoryMb) +
      shareOf(after.accelerators, capacity.accelerators),
  };
}

/** Free accelerators for which the cores or the memory of a usual task are missing. */
export function strandedAccelerators(free: Demand, lean: Demand): number {
  const usable = Math.min(
    free.accelerators,
    tasksBy(free.milliCores, lean.milliCores),
    tasksBy(free.memoryMb, lean.memoryMb),
  );
  return Math.max(0, free.accelerators - Math.max(0, usable));
}

/** Cores and memory per accelerator of the tasks that need least of each; nothing if no task needs accelerators. */
export function leanDemand(demands: Iterable<Demand>): Demand {
  const perAccelerator = [...demands].filter(({ accelerators }) => accelerators > 0);
  if (perAccelerator.length === 0) return { milliCores: 0, memoryMb: 0, accelerators: 0 };
  return {
    milliCores: Math.min(...perAccelerator.map((each) => each.milliCores / each.accelerators)),
    memoryMb: Math.min(...perAccelerator.map((each) => each.memoryMb / each.accelerators)),
    accelerators: 1,
  };
}

function shareOf(amount: number, capacity: number): number {
  return capacity > 0 ? Math.max(0, amount) / capacity : 0;
}

function tasksBy(free: number, each: number): number {
  return each > 0 ? Math.floor(free / each) : Infinity;
}
