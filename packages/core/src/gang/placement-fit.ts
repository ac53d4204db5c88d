/** Could a shape ever run on these workers, were they all empty? */
import type { FitAnswer } from '../scheduler/scheduler.js';
import type { Worker } from '../upstream/upstream.js';
import { findPlacement } from './placement.js';
import { Capacity } from './placement-capacity.js';
import type { Shape } from './shape.js';

/** An empty capacity of workers. */
export function emptyCapacity(workers: Iterable<Worker>): Capacity {
  const capacity = new Capacity();
  for (const worker of workers) capacity.add(worker);
  return capacity;
}

/** Whether a gang of this shape fits on `empty`, a capacity with nothing on it; else the reason. */
export function fitsEmpty(empty: Capacity, shape: Shape, spread = false): FitAnswer {
  if (findPlacement(empty, { shape, spread }) !== undefined) return { fits: true };
  const { tasks, acceleratorsPerTask, coresPerTask, memoryMbPerTask, adjacency } = shape;
  return {
    fits: false,
    reason:
      `${tasks} tasks of ${acceleratorsPerTask} accelerators, ${coresPerTask} cores and ` +
      `${memoryMbPerTask} MB each can't be placed within one ${adjacency}, ` +
      `even with all ${empty.workers.size} workers empty.`,
  };
}
