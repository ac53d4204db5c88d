import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { eventually, crashEntry } from '../testing/test-cell.support.js';
import { testStep } from '../testing/test-jobs.support.js';
import {
  cellOf,
  submitJob,
  firstJob,
  ownerEntry,
  runningWorker,
  type CellTestContext,
} from './cell-test-context.support.js';

/** Every run of the task crashes its runner. */
const CRASH_EVERY_RUN = 99;

/** Time for several crashes, each with the restart of the runner, in ms. */
const GIVE_UP_TIMEOUT_MS = 15_000;

/** States of a job that hasn't ended. */
const OPEN_STATES = ['queued', 'running'];

function maxStartsPerTask(world: CellTestContext, job: string): number {
  const counts = new Map<string, number>();
  cellOf(world)
    .starts(job)
    .forEach(({ task }) => counts.set(task, (counts.get(task) ?? 0) + 1));
  return Math.max(0, ...counts.values());
}

Given('a guard restarts whenever its runner crashes', function (this: CellTestContext) {
  cellOf(this).crashesRestartGuards = true;
});

When(
  'a job whose runs all crash their runners is submitted',
  async function (this: CellTestContext) {
    await submitJob(this, { spec: { crashRuns: CRASH_EVERY_RUN } });
  },
);

When(
  'a job whose first run crashes its runner is submitted',
  async function (this: CellTestContext) {
    await submitJob(this, { spec: { crashRuns: 1, workMs: 300 } });
  },
);

When(
  'a gang of {int} tasks, one of which crashes its runners, is submitted',
  async function (this: CellTestContext, tasks: number) {
    const demand = { milliCores: 1000, memoryMb: 100, accelerators: 8 };
    const steps = [testStep({ tasks, gang: true, demand })];
    const spec = { crashRuns: CRASH_EVERY_RUN, crashTasks: [1], gangs: { 0: tasks }, workMs: 300 };
    await submitJob(this, { steps, spec });
  },
);

When(
  '{int} jobs that take 2 s are submitted',
  async function (this: CellTestContext, count: number) {
    for (let each = 0; each < count; each++) await submitJob(this, { spec: { workMs: 2000 } });
    const running = () =>
      cellOf(this).workers.flatMap(({ runner }) => runner.life?.running() ?? []);
    assert.ok(await eventually(() => running().length === count));
  },
);

When('after its second start nothing happens', async function (this: CellTestContext) {
  assert.ok(await eventually(() => maxStartsPerTask(this, firstJob(this)) >= 2));
});

When(
  'after its second start the loss of the owner happens',
  async function (this: CellTestContext) {
    assert.ok(await eventually(() => maxStartsPerTask(this, firstJob(this)) >= 2));
    crashEntry(ownerEntry(this));
  },
);

Then(
  /^(?:it|the last of them) is given up$/,
  { timeout: 20_000 },
  async function (this: CellTestContext) {
    const job = this.jobs.at(-1);
    assert.ok(job !== undefined);
    const isFailed = async (): Promise<boolean> => (await cellOf(this).jobState(job)) === 'failed';
    assert.ok(await eventually(isFailed, GIVE_UP_TIMEOUT_MS));
  },
);

Then('none of its tasks was started more than 5 times', function (this: CellTestContext) {
  assert.ok(maxStartsPerTask(this, firstJob(this)) <= 5);
});

When(
  /^a busy runner crashes and is gone for (\d\.\d) s$/,
  function (this: CellTestContext, seconds: string) {
    const worker = runningWorker(this);
    assert.ok((worker.runner.life?.running().length ?? 0) > 1);
    cellOf(this).crashRunner(worker, Number(seconds) * 1000);
  },
);

Then(
  /^(the others complete|each of them completes)$/,
  { timeout: 20_000 },
  async function (this: CellTestContext, which: string) {
    const jobs = which.startsWith('each') ? this.jobs : this.jobs.slice(0, -1);
    const states = (): Promise<string[]> =>
      Promise.all(jobs.map((id) => cellOf(this).jobState(id)));
    const haveEnded = async (): Promise<boolean> =>
      (await states()).every((state) => !OPEN_STATES.includes(state));
    assert.ok(await eventually(haveEnded, GIVE_UP_TIMEOUT_MS));
    assert.deepEqual(
      await states(),
      jobs.map(() => 'completed'),
    );
  },
);

Then('no worker was quarantined', function (this: CellTestContext) {
  const closed = cellOf(this).entries.map(({ metrics }) => metrics.counters.get('worker.closed'));
  assert.deepEqual(
    closed,
    closed.map(() => undefined),
  );
});
