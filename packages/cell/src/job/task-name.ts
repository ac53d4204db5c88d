/** Names of tasks as used with runners and on the links between processes. */
import type { RunName } from '@zincspan/core';
import type { TaskRef } from './progress.js';

/** `<job>.<occurrence>.<step>`: the common prefix of the names of a step's tasks. */
export function stepName({
  jobId,
  occurrence,
  step,
}: {
  jobId: string;
  occurrence: number;
  step: number;
}): string {
  return `${jobId}.${occurrence}.${step}`;
}

/** `<job>.<occurrence>.<step>.<index>`. */
export function taskName(jobId: string, { index, ...step }: TaskRef): string {
  return `${stepName({ jobId, ...step })}.${index}`;
}

/** Parses a task's name; undefined if it isn't one. */
export function parseTaskName(name: string): { jobId: string; ref: TaskRef } | undefined {
  const parts = name.split('.');
  if (parts.length !== 4) return undefined;
  const [jobId = '', ...rest] = parts;
  const [occurrence, step, index] = rest.map(Number);
  if (occurrence === undefined || step === undefined || index === undefined) return undefined;
  if (![occurrence, step, index].every((part) => Number.isInteger(part) && part >= 0)) {
    return undefined;
  }
  return { jobId, ref: { occurrence, step, index } };
}

/** Key of a run in maps. */
export function runKey({ task, run }: RunName): string {
  return `${task}#${run}`;
}
