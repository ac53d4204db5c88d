/** What must hold of the workers' ledgers in every scenario, whatever failed. */
import assert from 'node:assert/strict';
import type { LedgerTask } from './worker-ledgers.support.js';

/** A job as its caller was told that it ended. */
export interface JobEnd {
  name: string;
  /** Account and id. */
  job: string;
  state: string;
  ran: string;
  endedAt: number;
}

/** Wall-clock times of two processes on one host, in whole ms. */
const ROUNDING_MS = 2;

/** No task starts twice, no accelerator has two tasks at once, and no attempt overlaps the one before it. */
export function checkTasks(tasks: LedgerTask[]): void {
  const started = tasks.filter(({ starts }) => starts > 0);
  started.forEach((task) => assert.equal(task.starts, 1, show([task])));
  groupBy(started, ({ worker }) => worker).forEach(checkAccelerators);
  groupBy(started, ({ job }) => job).forEach(checkAttempts);
  groupBy(tasks, ({ job, attempt }) => `${job} ${attempt}`).forEach(checkGang);
}

/** Every answer is what the ledgers say. */
export function checkEnd(end: JobEnd, tasks: LedgerTask[]): void {
  const started = tasks.filter(({ starts }) => starts > 0);
  const why = `${JSON.stringify(end)}\n${show(tasks)}`;
  if (end.ran === 'not-run') assert.equal(started.length, 0, why);
  if (end.ran === 'ran') assert.notEqual(started.length, 0, why);
  started.forEach(({ endedAt = Infinity }) => assert.ok(endedAt <= end.endedAt + ROUNDING_MS, why));
  const last = started.filter(({ attempt }) => attempt === started.at(-1)?.attempt);
  const isDone =
    last.length > 0 &&
    last.every(({ state, tasks: whole }) => state === 'succeeded' && last.length === whole);
  assert.equal(end.state === 'succeeded', isDone, why);
}

function checkAccelerators(tasks: LedgerTask[]): void {
  tasks.forEach((task, i) => {
    tasks.slice(i + 1).forEach((later) => {
      const shared = later.accelerators.some((each) => task.accelerators.includes(each));
      assert.ok(!shared || isBefore(task, later), show([task, later]));
    });
  });
}

/** A new attempt starts only once every task of the one before has ended. */
function checkAttempts(tasks: LedgerTask[]): void {
  tasks.forEach((task) => {
    const later = tasks.filter(({ attempt }) => attempt > task.attempt);
    later.forEach((each) => assert.ok(isBefore(task, each), show([task, each])));
  });
}

/** A gang of which a member never starts has none that is done. */
function checkGang(tasks: LedgerTask[]): void {
  const started = tasks.filter(({ starts }) => starts > 0);
  const isWhole = started.length === tasks[0]?.tasks;
  const done = started.filter(({ state }) => state === 'succeeded');
  assert.ok(isWhole || done.length === 0, show(tasks));
}

function isBefore({ endedAt = Infinity }: LedgerTask, { startedAt = 0 }: LedgerTask): boolean {
  return endedAt <= startedAt + ROUNDING_MS;
}

function groupBy<T>(items: T[], keyOf: (item: T) => string): Map<string, T[]> {
  const groups = new Map<string, T[]>();
  items.forEach((item) => groups.set(keyOf(item), [...(groups.get(keyOf(item)) ?? []), item]));
  return groups;
}

function show(tasks: LedgerTask[]): string {
  return tasks.map((task) => JSON.stringify(task)).join('\n');
}
