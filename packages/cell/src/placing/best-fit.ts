/**
 * Best-fit placement of task groups. Jobs mix tasks of one accelerator with tasks that need a whole worker: each task goes to
 * the worker with the least free capacity that can take it, so that empty workers stay empty for those that need them.
 */
import {
  groupByRack,
  tasksFitting,
  totalTasksFitting,
  type TaskGroup,
  type TaskPlacement,
  type AvailableWorker,
} from './available-worker.js';
import { isSlow, suitableForGang } from './speed-preference.js';

/** Places as many tasks of the group as fit and takes their capacity. A gang is placed whole or not at all. */
export function placeGroup(group: TaskGroup, workers: readonly AvailableWorker[]): TaskPlacement[] {
  const fitting = suitableForGang(
    group,
    workers.filter((worker) => tasksFitting(group, worker) > 0),
  );
  if (group.gang && group.oneRack) return placeOnOneRack(group, fitting);
  return placeOnWorkers(group, fitting);
}

function placeOnOneRack(group: TaskGroup, workers: readonly AvailableWorker[]): TaskPlacement[] {
  const candidates = groupByRack(workers)
    .map((members) => ({ members, fitting: totalTasksFitting(group, members) }))
    .filter(({ fitting }) => fitting >= group.indexes.length)
    // Best fit among racks: the one with the fewest tasks left to fit.
    .sort((a, b) => a.fitting - b.fitting);
  return placeOnWorkers(group, candidates[0]?.members ?? []);
}

function placeOnWorkers(group: TaskGroup, workers: readonly AvailableWorker[]): TaskPlacement[] {
  if (group.gang && totalTasksFitting(group, workers) < group.indexes.length) return [];
  const unplaced = [...group.indexes];
  const placements: TaskPlacement[] = [];
  const ordered = group.isSuspect ? emptiestFirst(workers) : tightestFirst(workers, group.isUrgent);
  ordered.forEach((worker) => {
    const count = Math.min(tasksFitting(group, worker), unplaced.length);
    worker.place(group, count);
    unplaced.splice(0, count).forEach((index) => placements.push({ index, vm: worker.vm }));
  });
  return placements;
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
