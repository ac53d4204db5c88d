/** Prefers workers by their learned speeds, without ever keeping a group from starting. */
import { SLOW_SPEED } from '../worker/worker-speed.js';
import {
  groupByRack,
  totalTasksFitting,
  type AvailableWorker,
  type TaskGroup,
} from './available-worker.js';

/** Workers from this speed on count as fast: between the two common speeds of a fleet, 1 and 0.77. */
const FAST_SPEED = 0.88;

/** True for a worker that makes an urgent task late. */
export function isSlow({ speed }: AvailableWorker): boolean {
  return speed < SLOW_SPEED;
}

/**
 * Workers for a gang, of those that fit: the slowest member sets its end, and one runner that restarts ends it. The first of
 * these sets that can take the whole gang: fast workers, those that aren't slow, those that don't restart again and again, all.
 */
export function suitableForGang(
  group: TaskGroup,
  workers: readonly AvailableWorker[],
): readonly AvailableWorker[] {
  const isUsual = workers.every((worker) => worker.speed >= FAST_SPEED && !worker.isRestarting);
  if (!group.gang || isUsual) return workers;
  const steady = workers.filter(({ isRestarting }) => !isRestarting);
  const choices = [
    steady.filter(({ speed }) => speed >= FAST_SPEED),
    steady.filter((worker) => !isSlow(worker)),
    steady,
  ];
  return choices.find((choice) => fits(group, choice)) ?? workers;
}

function fits(group: TaskGroup, workers: readonly AvailableWorker[]): boolean {
  const sets = group.oneRack ? groupByRack(workers) : [workers];
  return sets.some((set) => totalTasksFitting(group, set) >= group.indexes.length);
}
