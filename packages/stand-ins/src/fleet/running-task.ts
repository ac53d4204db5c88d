/** A run on an emulated runner, and what follows from its script: how far it is, what it saves, whom it belongs to. */
import type { TaskScript } from './task-script.js';

/** All of its work, and the share at which a run works in full, in percent. */
export const FULL = 100;

/** One run. Times are on the host's monotonic clock, in ms. */
export interface Running {
  task: string;
  run: number;
  spec: string;
  checkpoint: string;
  script: TaskScript;
  startedAt: number;
  /** When it began to work; undefined while a gang waits. */
  workingAt: number | undefined;
  /** Share at which it works, in percent. */
  pace: number;
  /** Work that was saved before this run, in ms. */
  resumedMs: number;
  timer: NodeJS.Timeout | undefined;
}

/** True if this run crashes its runner. */
export function crashes({ task, run, script: { crashRuns, crashTasks } }: Running): boolean {
  return run <= crashRuns && (crashTasks?.includes(Number(indexOf(task))) ?? true);
}

/** Its whole work, in ms. */
export function workMsOf({ task, script: { workMs, workMsOf: own } }: Running): number {
  return own[indexOf(task)] ?? workMs;
}

/** True of a member of a gang. */
export function isOfGang({ task, script }: Running): boolean {
  return script.gangs[stepOf(task)] !== undefined;
}

/** Work that is done, in ms, with what was saved before. */
function workedMs({ workingAt, resumedMs }: Running): number {
  return resumedMs + (workingAt === undefined ? 0 : performance.now() - workingAt);
}

/** Share of its work that is done; of a task that lasts, whether it works. */
export function percentOf(running: Running): number {
  const { script, workingAt } = running;
  if (script.servesMs !== undefined) return workingAt === undefined ? 0 : FULL;
  return Math.min(FULL, Math.floor((FULL * workedMs(running)) / Math.max(1, workMsOf(running))));
}

/** The work that was saved, in ms, as a text; empty if none was. */
export function checkpointOf(running: Running): string {
  const { checkpointMs } = running.script;
  if (checkpointMs === 0) return '';
  const saved = Math.floor(workedMs(running) / checkpointMs) * checkpointMs;
  return saved > 0 ? `${saved}` : '';
}

/** Its place in its step. */
function indexOf(task: string): string {
  return task.slice(task.lastIndexOf('.') + 1);
}

/** The number of its step. */
export function stepOf(task: string): string {
  return task.split('.')[2] ?? '';
}

/** Job, occurrence, step and run. */
export function gangOf({ task, run }: Running): string {
  return `${task.split('.').slice(0, 3).join('.')}#${run}`;
}
