import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { sleep } from '../clock/sleep.js';
import { eventually } from '../testing/test-cell.support.js';
import { sendHeartbeat } from '../testing/test-worker.support.js';
import { testStep } from '../testing/test-jobs.support.js';
import { cellOf, submitJob, firstJob, type CellTestContext } from './cell-test-context.support.js';

/** The owner learns of a heartbeat with the next contact, within this time. */
const HEARTBEAT_KNOWN_AFTER_MS = 1200;

const POLL_INTERVAL_MS = 20;

function runningTasks(world: CellTestContext): number {
  const [worker] = cellOf(world).workers;
  return worker?.runner.life?.running().length ?? 0;
}

When(
  'its runner reports a capacity of {int} accelerators',
  async function (this: CellTestContext, accelerators: number) {
    const [worker] = cellOf(this).workers;
    assert.ok(worker);
    const grows = accelerators > worker.accelerators;
    worker.accelerators = accelerators;
    sendHeartbeat(worker);
    if (!grows) await sleep(HEARTBEAT_KNOWN_AFTER_MS);
  },
);

When(
  /^a job of (\d+) tasks? that takes? (\d) s is submitted( and all have started)?$/,
  async function (
    this: CellTestContext,
    tasks: string,
    seconds: string,
    allStarted: string | null,
  ) {
    const steps = [testStep({ tasks: Number(tasks) })];
    await submitJob(this, { steps, spec: { workMs: Number(seconds) * 1000 } });
    if (allStarted === null) return;
    assert.ok(await eventually(() => runningTasks(this) === Number(tasks)));
  },
);

Then(
  'at most {int} of its tasks run at the same time',
  { timeout: 15_000 },
  async function (this: CellTestContext, max: number) {
    let maxSeen = 0;
    while ((await cellOf(this).jobState(firstJob(this))) !== 'completed') {
      maxSeen = Math.max(maxSeen, runningTasks(this));
      await sleep(POLL_INTERVAL_MS);
    }
    assert.ok(maxSeen <= max, `${maxSeen} tasks ran at the same time`);
  },
);

Then(
  'the second job starts only after the first has ended',
  { timeout: 15_000 },
  async function (this: CellTestContext) {
    const cell = cellOf(this);
    const [first, second] = this.jobs;
    assert.ok(first !== undefined && second !== undefined);
    assert.ok(await eventually(() => cell.starts(second).length > 0));
    assert.equal(await cell.jobState(first), 'completed');
  },
);

Then('its tasks ran once each', function (this: CellTestContext) {
  const runs = cellOf(this)
    .starts(firstJob(this))
    .map(({ run }) => run);
  assert.deepEqual(
    runs,
    runs.map(() => 1),
  );
});

Then(/^its first run has started within 0.8 s$/, async function (this: CellTestContext) {
  const hasStarted = (): boolean => cellOf(this).starts(firstJob(this)).length > 0;
  assert.ok(await eventually(hasStarted, 800));
});
