/**
 * Best-fit placement of task groups. Jobs mix tasks of one accelerator with tasks that need a whole worker: each task goes to
 * the worker with the least free capacity that can take it, so that empty workers stay empty for those that need them.
 */
import type { Demand } from '../job/submission.js';
import {
  groupByRack,
  tasksFitting,
  totalTasksFitting,
  type TaskGroup,
  type TaskPlacement,
  type AvailableWorker,
} from './available-worker.js';
import { isSlow, suitableForGang } from './speed-preference.js';
import { fitOf } from './worker-fit.js';

/** How to fit in all resource dimensions. */
export interface FitTerms {
  /** The least that tasks of the service need beside an accelerator. */
  lean: Demand;
  /** Wholly free workers that the group may take. */
  mayOpen: number;
}

/** Places as many tasks of the group as fit and takes their capacity. A gang is placed whole or not at all. */
export function placeGroup(
  group: TaskGroup,
  workers: readonly AvailableWorker[],
  fit?: FitTerms,
): TaskPlacement[] {
  const fitting = suitableForGang(
    group,
    workers.filter((worker) => tasksFitting(group, worker) > 0),
  );
  if (group.gang && group.oneRack) return placeOnOneRack(group, fitting, fit);
  return placeOnWorkers(group, fitting, fit);
}

function placeOnOneRack(
  group: TaskGroup,
  workers: readonly AvailableWorker[],
  fit: FitTerms | undefined,
): TaskPlacement[] {
  const candidates = groupByRack(workers)
    .map((members) => ({ members, fitting: totalTasksFitting(group, members) }))
    .filter(({ fitting }) => fitting >= group.indexes.length)
    .map((rack) => ({ ...rack, opened: fit ? workersOpened(group, rack.members, fit) : 0 }))
    // The rack where the fewest wholly free workers are taken; among these best fit: the one with the fewest tasks left to fit.
    .sort((a, b) => a.opened - b.opened || a.fitting - b.fitting);
  return placeOnWorkers(group, candidates[0]?.members ?? [], fit);
}

/** Wholly free workers that the group takes if it is placed on these. */
function workersOpened(
  group: TaskGroup,
  workers: readonly AvailableWorker[],
  fit: FitTerms,
): number {
  let missing = group.indexes.length;
  return orderOf(group, workers, fit).filter((worker) => {
    if (missing <= 0) return false;
    missing -= tasksFitting(group, worker);
    return worker.isWhollyFree;
  }).length;
}

function placeOnWorkers(
  group: TaskGroup,
  workers: readonly AvailableWorker[],
  fit: FitTerms | undefined,
): TaskPlacement[] {
  const allowed = withinLimit(orderOf(group, workers, fit), fit);
  if (group.gang && totalTasksFitting(group, allowed) < group.indexes.length) return [];
  const unplaced = [...group.indexes];
  const placements: TaskPlacement[] = [];
  allowed.forEach((worker) => {
    const count = Math.min(tasksFitting(group, worker), unplaced.length);
    worker.place(group, count);
    unplaced.splice(0, count).forEach((index) => placements.push({ index, vm: worker.vm }));
  });
  return placements;
}

/** Without the wholly free workers beyond those that may be taken. */
function withinLimit(
  workers: AvailableWorker[],
  fit: FitTerms | undefined,
): readonly AvailableWorker[] {
  if (fit === undefined || fit.mayOpen === Infinity) return workers;
  let opened = 0;
  return workers.filter((worker) => {
    if (!worker.isWhollyFree) return true;
    opened += 1;
    return opened <= fit.mayOpen;
  });
}

function orderOf(
  group: TaskGroup,
  workers: readonly AvailableWorker[],
  fit: FitTerms | undefined,
): AvailableWorker[] {
  if (group.isSuspect) return emptiestFirst(workers);
  return fit === undefined
    ? tightestFirst(workers, group.isUrgent)
    : bestFitFirst(group, workers, fit);
}

/** Healthy workers first, for urgent groups also warm before cold ones; among these, those with the least free capacity. */
function tightestFirst(workers: readonly AvailableWorker[], isUrgent: boolean): AvailableWorker[] {
  return [...workers].sort(
    (a, b) =>
      a.penalty - b.penalty ||
      (isUrgent ? Number(a.isCold) - Number(b.isCold) : 0) ||
      (isUrgent ? Number(isSlow(a)) - Number(isSlow(b)) : 0) ||
      a.free.accelerators - b.free.accelerators ||
      a.free.milliCores - b.free.milliCores ||
      (isUrgent ? b.speed - a.speed : 0),
  );
}

/** As `tightestFirst`, in all dimensions: workers in use first, then those where least is stranded, then least left over. */
function bestFitFirst(
  { isUrgent, demand }: TaskGroup,
  workers: readonly AvailableWorker[],
  { lean }: FitTerms,
): AvailableWorker[] {
  return workers
    .map((worker) => ({ worker, fit: fitOf(worker, demand, lean) }))
    .sort(
      (a, b) =>
        a.worker.penalty - b.worker.penalty ||
        (isUrgent ? Number(a.worker.isCold) - Number(b.worker.isCold) : 0) ||
        (isUrgent ? Number(isSlow(a.worker)) - Number(isSlow(b.worker)) : 0) ||
        Number(a.fit.opens) - Number(b.fit.opens) ||
        a.fit.stranded - b.fit.stranded ||
        a.fit.left - b.fit.left ||
        (isUrgent ? b.worker.speed - a.worker.speed : 0),
    )
    .map(({ worker }) => worker);
}

/**
 * Order for tasks that may crash their runner: workers where the fewest other runs are lost with it first, and recently
 * restarted runners last, as a crash there may be the runner's own fault.
 */
function emptiestFirst(workers: readonly AvailableWorker[]): AvailableWorker[] {
  return [...workers].sort(
    (a, b) =>
      a.penalty - b.penalty ||
      Number(a.isRecentlyRestarted) - Number(b.isRecentlyRestarted) ||
      b.free.accelerators - a.free.accelerators ||
      b.free.milliCores - a.free.milliCores,
  );
}
