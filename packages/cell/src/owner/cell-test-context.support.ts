/** State and helpers of the steps about a cell. */
import assert from 'node:assert/strict';
import type { JobRequest, Step } from '../job/submission.js';
import { TestCell, eventually, submitToEntry } from '../testing/test-cell.support.js';

/** State that the steps of a scenario share. */
export interface CellTestContext {
  cell?: TestCell;
  jobs: string[];
  /** Outcome of a submission. */
  outcome?: string;
  /** Owner row before a fault. */
  ownerRow?: Buffer | undefined;
}

/** An entry of the cell. */
export type Entry = TestCell['entries'][number];
/** A worker of the cell, with its guard and runner. */
export type Worker = TestCell['workers'][number];

/** The cell of this scenario. */
export function cellOf({ cell }: CellTestContext): TestCell {
  assert.ok(cell);
  return cell;
}

/** The first job that was submitted. */
export function firstJob({ jobs }: CellTestContext): string {
  const [id] = jobs;
  assert.ok(id !== undefined);
  return id;
}

/** The entry that owns the cell. */
export function ownerEntry(world: CellTestContext): Entry {
  const owner = cellOf(world).owner();
  assert.ok(owner);
  return owner;
}

/** An entry that doesn't own the cell. */
export function nonOwnerEntry(world: CellTestContext): Entry {
  const owner = ownerEntry(world);
  const other = cellOf(world).entries.find((entry) => entry !== owner);
  assert.ok(other);
  return other;
}

/** A worker with a running task. */
export function runningWorker(world: CellTestContext): Worker {
  const worker = cellOf(world).workers.find(({ runner }) => runner.life?.running().length);
  assert.ok(worker);
  return worker;
}

/** Submits a job, by default to an entry that doesn't own the cell. */
export async function submitJob(
  world: CellTestContext,
  options: { steps?: Step[]; spec?: object; schedule?: JobRequest['schedule']; entry?: Entry },
): Promise<void> {
  const cell = cellOf(world);
  const id = cell.newJobId();
  world.jobs.push(id);
  const { entry = nonOwnerEntry(world), ...job } = options;
  assert.equal(await submitToEntry(entry, id, job), 'accepted');
}

/** Waits until a task is running. */
export async function waitUntilRunning(world: CellTestContext): Promise<void> {
  const running = () => cellOf(world).workers.some(({ runner }) => runner.life?.running().length);
  assert.ok(await eventually(() => running() ?? false));
}
