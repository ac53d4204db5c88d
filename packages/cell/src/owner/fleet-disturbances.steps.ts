import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { sleep } from '../clock/sleep.js';
import { eventually } from '../testing/test-cell.support.js';
import { testStep } from '../testing/test-jobs.support.js';
import { cellOf, submitJob, firstJob, type CellTestContext } from './cell-test-context.support.js';

const ACCELERATORS = 8;

/** How long the wall clock is off. */
const CLOCK_OFF_MS = 1500;

Given(
  'the connections of the next {int} starts on each worker are reset, every second one after its start',
  function (this: CellTestContext, count: number) {
    cellOf(this).workers.forEach(({ runner }) => Object.assign(runner, { resetStarts: count }));
  },
);

When(
  'a job of {int} tasks that take 3 s is submitted and all that fit have started',
  async function (this: CellTestContext, tasks: number) {
    await submitJob(this, { steps: [testStep({ tasks })], spec: { workMs: 3000 } });
    const [worker] = cellOf(this).workers;
    assert.ok(await eventually(() => worker?.runner.life?.running().length === ACCELERATORS));
  },
);

When('an empty worker joins', function (this: CellTestContext) {
  cellOf(this).addWorker();
});

When(
  'a job of {int} occurrences, one every {int} ms, is submitted',
  async function (this: CellTestContext, count: number, everyMs: number) {
    const schedule = { count, everyMs, firstAtMs: Date.now() + everyMs };
    await submitJob(this, { schedule, spec: { workMs: 100 } });
  },
);

When(
  'the wall clock jumps by {int} ms after the second start, and later back',
  { timeout: 10_000 },
  async function (this: CellTestContext, aheadMs: number) {
    const cell = cellOf(this);
    assert.ok(await eventually(() => cell.starts(firstJob(this)).length >= 2));
    cell.clock.wallOffsetMs = aheadMs;
    await sleep(CLOCK_OFF_MS);
    cell.clock.wallOffsetMs = 0;
  },
);

Then('tasks of the job run there within 1 s', async function (this: CellTestContext) {
  const joined = cellOf(this).workers.at(-1);
  assert.ok(joined);
  assert.ok(await eventually(() => (joined.runner.life?.running().length ?? 0) > 0, 1000));
});

Then('none of its tasks ran more than once', function (this: CellTestContext) {
  const starts = cellOf(this).starts(firstJob(this));
  const tasks = starts.map(({ task }) => task);
  assert.deepEqual([...new Set(tasks)], tasks);
});

Then('each of its occurrences ran once', function (this: CellTestContext) {
  const occurrences = cellOf(this)
    .starts(firstJob(this))
    .map(({ task }) => Number(task.split('.')[1]));
  // Occurrences that are due at the same time may start in any order.
  assert.deepEqual(occurrences.sort(), [0, 1, 2, 3]);
});
