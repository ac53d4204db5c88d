import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { sleep } from '../clock/sleep.js';
import { eventually } from '../testing/cell-world.support.js';
import { testStep } from '../testing/test-jobs.support.js';
import { cellOf, handIn, jobOf, type CellSteps } from './cell-steps.support.js';

const ACCELERATORS = 8;

/** How long the time of day is off, in ms. */
const OFF_MS = 1500;

Given(
  'the connections of the next {int} starts on each worker are reset, each second after the start',
  function (this: CellSteps, count: number) {
    cellOf(this).workers.forEach(({ runner }) => Object.assign(runner, { resetStarts: count }));
  },
);

When(
  'a job of {int} tasks that take 3 s is handed in and all that fit have begun',
  async function (this: CellSteps, tasks: number) {
    await handIn(this, { steps: [testStep({ tasks })], spec: { workMs: 3000 } });
    const [worker] = cellOf(this).workers;
    assert.ok(await eventually(() => worker?.runner.life?.running().length === ACCELERATORS));
  },
);

When('an empty worker joins', function (this: CellSteps) {
  cellOf(this).addWorker();
});

When(
  'a job of {int} occurrences, one each {int} ms, is handed in',
  async function (this: CellSteps, count: number, everyMs: number) {
    const schedule = { count, everyMs, firstAtMs: Date.now() + everyMs };
    await handIn(this, { schedule, spec: { workMs: 100 } });
  },
);

When(
  'the time of day jumps by {int} ms after the second and back again',
  { timeout: 10_000 },
  async function (this: CellSteps, aheadMs: number) {
    const cell = cellOf(this);
    assert.ok(await eventually(() => cell.starts(jobOf(this)).length >= 2));
    cell.clock.aheadMs = aheadMs;
    await sleep(OFF_MS);
    cell.clock.aheadMs = 0;
  },
);

Then('tasks of the job run there within 1 s', async function (this: CellSteps) {
  const joined = cellOf(this).workers.at(-1);
  assert.ok(joined);
  assert.ok(await eventually(() => (joined.runner.life?.running().length ?? 0) > 0, 1000));
});

Then('no task of it ran on two workers, or twice at a time', function (this: CellSteps) {
  const starts = cellOf(this).starts(jobOf(this));
  const tasks = starts.map(({ task }) => task);
  assert.deepEqual([...new Set(tasks)], tasks);
});

Then('each of its occurrences ran once', function (this: CellSteps) {
  const occurrences = cellOf(this)
    .starts(jobOf(this))
    .map(({ task }) => Number(task.split('.')[1]));
  // Two that are due at once may begin in any order.
  assert.deepEqual(occurrences.sort(), [0, 1, 2, 3]);
});
