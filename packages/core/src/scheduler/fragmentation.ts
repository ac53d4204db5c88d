/** Fragmentation of free accelerators, and the figures of a failure domain that follow from its capacity. */
import type { Bundle } from '../bundle/bundle.js';
import { freeSlots } from '../gang/placement.js';
import type { Capacity, RackCapacity, WorkerCapacity } from '../gang/placement-capacity.js';
import type { Shape } from '../gang/shape.js';
import type { SchedulerSummary } from './scheduler.js';
import { shapeKey } from './shape-key.js';

/** Largest gang that a shape may ask for. */
const MAX_TASKS = 128;

/** Allowance for sums of fractions of gangs. */
const EPSILON = 1e-9;

/** Queued gangs of one shape. */
export interface ShapeCount {
  shape: Shape;
  count: number;
}

/** A shape and how much it counts: accelerators asked for. */
interface Demand {
  shape: Shape;
  weight: number;
}

/** Tasks of a shape that one worker could take now, however many the gang has. */
function tasksOn(worker: WorkerCapacity, shape: Shape): number {
  return freeSlots(worker, { ...shape, tasks: MAX_TASKS });
}

/** Gangs of a shape that one rack could host by itself. */
function gangsOn(rack: RackCapacity, shape: Shape): number {
  const tasks = rack.workers.map((worker) => tasksOn(worker, shape));
  if (shape.adjacency === 'worker') {
    return tasks.reduce((sum, count) => sum + Math.floor(count / shape.tasks), 0);
  }
  return tasks.reduce((sum, count) => sum + count, 0) / shape.tasks;
}

/** Gangs of a shape that the free accelerators could host now, counted up to `limit`. */
export function countHostable(capacity: Capacity, shape: Shape, limit: number): number {
  const inRack = shape.adjacency === 'worker' || shape.adjacency === 'rack';
  let gangs = 0;
  for (const rack of capacity.racksByFree.descending(1)) {
    const more = gangsOn(rack, shape);
    gangs += inRack ? Math.floor(more) : more;
    if (gangs >= limit) return limit;
  }
  return Math.floor(gangs + EPSILON);
}

/**
 * 0 to 1: the share of free accelerators that a shape could use were they together, but can't as they lie,
 * averaged over the shapes by demand. A shape larger than all that is free doesn't count: that is lack of space.
 */
export function fragmentation(capacity: Capacity, demands: Demand[]): number {
  let lost = 0;
  let total = 0;
  demands.forEach(({ shape, weight }) => {
    const size = shape.tasks * shape.acceleratorsPerTask;
    const ideal = size === 0 ? 0 : Math.floor(capacity.free / size);
    if (ideal === 0) return;
    total += weight;
    lost += weight * (1 - countHostable(capacity, shape, ideal) / ideal);
  });
  return total === 0 ? 0 : lost / total;
}

/** Guaranteed and queued shapes, equal ones together. */
export function demandsOf(bundle: Bundle, queued: Iterable<ShapeCount>): Demand[] {
  const demands = new Map<string, Demand>();
  const add = (shape: Shape, count: number) => {
    const size = shape.tasks * shape.acceleratorsPerTask;
    if (size === 0) return;
    const key = shapeKey(shape);
    const demand = demands.get(key) ?? { shape, weight: 0 };
    demand.weight += size * count;
    demands.set(key, demand);
  };
  bundle.guarantees.forEach(({ shape, count }) => add(shape, count));
  for (const { shape, count } of queued) add(shape, count);
  return [...demands.values()];
}

/** Figures of a failure domain's capacity. */
export function summarize({
  capacity,
  bundle,
  queued,
}: {
  capacity: Capacity;
  bundle: Bundle;
  queued: Iterable<ShapeCount>;
}): Pick<SchedulerSummary, 'workers' | 'accelerators' | 'free' | 'fragmentation' | 'largestGang'> {
  const [roomiest] = capacity.racksByFree.descending(1);
  return {
    workers: capacity.workers.size,
    accelerators: capacity.accelerators,
    free: capacity.free,
    fragmentation: fragmentation(capacity, demandsOf(bundle, queued)),
    largestGang: roomiest?.free ?? 0,
  };
}
