/** Admission: could a gang of this shape ever be placed, were every worker empty? */
import type { Shape } from '../gang/shape.js';
import type { FitAnswer } from '../scheduler/scheduler.js';
import type { Worker } from '../upstream/upstream.js';

/** Tasks of this shape that one empty worker holds. */
export function tasksPerWorker(shape: Shape, worker: Worker): number {
  const ratio = (has: number, needs: number) =>
    needs === 0 ? Number.POSITIVE_INFINITY : Math.floor(has / needs);
  return Math.min(
    ratio(worker.accelerators, shape.acceleratorsPerTask),
    ratio(worker.cores, shape.coresPerTask),
    ratio(worker.memoryMb, shape.memoryMbPerTask),
    shape.tasks,
  );
}

/** Whether `shape` fits the empty workers of one failure domain; if not, why, with the numbers. */
export function canEverFit(shape: Shape, workers: Worker[]): FitAnswer {
  if (workers.length === 0) return { fits: false, reason: 'No worker is known.' };
  const most = Math.max(...groups(shape, workers).map((group) => capacity(shape, group)));
  if (most >= shape.tasks) return { fits: true };
  return { fits: false, reason: explain(shape, workers, most) };
}

function capacity(shape: Shape, workers: Worker[]): number {
  return workers.reduce((sum, worker) => sum + tasksPerWorker(shape, worker), 0);
}

/** The sets of workers within which the shape's adjacency wants the gang. */
function groups(shape: Shape, workers: Worker[]): Worker[][] {
  switch (shape.adjacency) {
    case 'worker':
      return workers.map((worker) => [worker]);
    case 'rack':
      return [...byRack(workers).values()];
    case 'neighbouring-racks':
      return neighbourRuns(workers);
    case 'failure-domain':
      return [workers];
    default:
      return shape.adjacency satisfies never;
  }
}

function byRack(workers: Worker[]): Map<string, Worker[]> {
  const racks = new Map<string, Worker[]>();
  workers.forEach((worker) => {
    racks.set(worker.rack, [...(racks.get(worker.rack) ?? []), worker]);
  });
  return racks;
}

/** Longest runs of racks whose positions follow each other: the widest reading, as a refusal is final. */
function neighbourRuns(workers: Worker[]): Worker[][] {
  const runs: Worker[][] = [];
  let last = Number.NEGATIVE_INFINITY;
  [...workers]
    .sort((a, b) => a.rackPosition - b.rackPosition)
    .forEach((worker) => {
      if (worker.rackPosition - last > 1) runs.push([]);
      runs[runs.length - 1]?.push(worker);
      last = worker.rackPosition;
    });
  return runs;
}

function explain(shape: Shape, workers: Worker[], most: number): string {
  const biggest = (pick: (worker: Worker) => number) => Math.max(...workers.map(pick));
  const task = `${shape.acceleratorsPerTask} accelerators, ${shape.coresPerTask} cores and ${shape.memoryMbPerTask} MB`;
  const worker =
    `${biggest(({ accelerators }) => accelerators)} accelerators, ` +
    `${biggest(({ cores }) => cores)} cores and ${biggest(({ memoryMb }) => memoryMb)} MB`;
  return (
    `The gang has ${shape.tasks} tasks of ${task} each; within one ${shape.adjacency} at most ` +
    `${most} such tasks fit, empty, and the biggest of ${workers.length} workers have ${worker}.`
  );
}
