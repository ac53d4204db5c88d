/** Ends of tasks, from what the worker says of them. */
import type { TaskEnd, WorkerTaskState, WorkerTaskStatus } from '@zincspan/core';

/** An end without the names that the reservation book adds. */
export type PlainEnd = Omit<TaskEnd, 'ref' | 'incarnation'>;

const OUTCOMES: Partial<Record<WorkerTaskState, TaskEnd['outcome']>> = {
  succeeded: 'succeeded',
  failed: 'failed',
  stopped: 'stopped',
  lapsed: 'lease-lapsed',
};

const DETAIL_LIMIT = 1000;

/** True once the task surely doesn't run any more. */
export function isEnded({ state }: WorkerTaskStatus): boolean {
  return OUTCOMES[state] !== undefined;
}

/** The end that a status tells; undefined while the task may run. */
export function toEnd({ state, detail, ranMs, result }: WorkerTaskStatus): PlainEnd | undefined {
  const outcome = OUTCOMES[state];
  if (!outcome) return undefined;
  return {
    outcome,
    detail: detail.slice(0, DETAIL_LIMIT),
    ranMs,
    ...(result === undefined ? {} : { result }),
  };
}

/** Stopped for want of an owner: neither the task's failure nor anybody's wish. */
export function asFenced(end: PlainEnd): PlainEnd {
  if (end.outcome !== 'stopped') return end;
  return { ...end, outcome: 'lease-lapsed', detail: 'Stopped without contact with its owner.' };
}
