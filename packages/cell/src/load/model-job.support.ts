/** Jobs of the queue model, and what they take of a worker. */
import type { Queue } from '../config/cell-config.js';
import type { Demand, Step } from '../job/submission.js';
import { testStep } from '../testing/test-jobs.support.js';

export interface ModelJob {
  id: string;
  account: string;
  queue: Queue;
  step: Step;
  /** Actual duration of each task, in ms. */
  taskMs: number;
  firstAttemptAt: number;
  attempts: number;
  refusals: { at: number; retryAfterMs: number }[];
  acceptedAt: number | undefined;
  refusedForMs: number;
  predictedMs: number | undefined;
  started: number;
  done: number;
  startedAt: number | undefined;
  completedAt: number | undefined;
}

/** Time from the first attempt within which the job should be complete, in ms. */
export function objectiveMs({ queue, step }: ModelJob): number {
  return queue.stretch * step.estimateMs + queue.targetLatencyMs;
}

/** Tasks that need a whole worker each. */
export function gangStep(tasks: number, estimateMs: number): Step {
  const demand = { milliCores: 100_000, memoryMb: 400_000, accelerators: 8 };
  return testStep({ tasks, demand, estimateMs, gang: true });
}

/** Tasks of one accelerator each. */
export function smallStep(tasks: number, estimateMs: number): Step {
  const demand = { milliCores: 11_000, memoryMb: 59_000, accelerators: 1 };
  return testStep({ tasks, demand, estimateMs });
}

/** Tasks that fit into the free capacity. */
export function tasksFitting(free: Demand, demand: Demand): number {
  return Math.floor(
    Math.min(
      free.milliCores / demand.milliCores,
      free.memoryMb / demand.memoryMb,
      free.accelerators / demand.accelerators,
    ),
  );
}

/** Returns the capacity of a task, or takes it. */
export function changeFree(free: Demand, demand: Demand, sign: 1 | -1): void {
  Object.assign(free, {
    milliCores: free.milliCores + sign * demand.milliCores,
    memoryMb: free.memoryMb + sign * demand.memoryMb,
    accelerators: free.accelerators + sign * demand.accelerators,
  });
}
