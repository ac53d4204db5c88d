import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { sleep } from '../clock/sleep.js';
import { eventually } from '../testing/cell-world.support.js';
import { sendHeartbeat } from '../testing/worker-vm.support.js';
import { testStep } from '../testing/test-jobs.support.js';
import { cellOf, handIn, jobOf, type CellSteps } from './cell-steps.support.js';

/** A contact later the owner knows what a heartbeat said, in ms. */
const KNOWN_AFTER_MS = 1200;

/** Looks this often at what runs, in ms. */
const LOOK_EVERY_MS = 20;

function runningNow(world: CellSteps): number {
  const [worker] = cellOf(world).workers;
  return worker?.runner.life?.running().length ?? 0;
}

When(
  'its runner says that it has room for {int} accelerators',
  async function (this: CellSteps, accelerators: number) {
    const [worker] = cellOf(this).workers;
    assert.ok(worker);
    const grows = accelerators > worker.accelerators;
    worker.accelerators = accelerators;
    sendHeartbeat(worker);
    if (!grows) await sleep(KNOWN_AFTER_MS);
  },
);

When(
  /^a job of (\d+) tasks? that takes? (\d) s is handed in( and all have begun)?$/,
  async function (this: CellSteps, tasks: string, seconds: string, begun: string | null) {
    const steps = [testStep({ tasks: Number(tasks) })];
    await handIn(this, { steps, spec: { workMs: Number(seconds) * 1000 } });
    if (begun === null) return;
    assert.ok(await eventually(() => runningNow(this) === Number(tasks)));
  },
);

Then(
  'no more than {int} of its tasks ever run at once',
  { timeout: 15_000 },
  async function (this: CellSteps, most: number) {
    let seen = 0;
    while ((await cellOf(this).state(jobOf(this))) !== 'completed') {
      seen = Math.max(seen, runningNow(this));
      await sleep(LOOK_EVERY_MS);
    }
    assert.ok(seen <= most, `${seen} ran at once`);
  },
);

Then(
  'the second job begins only after the first has ended',
  { timeout: 15_000 },
  async function (this: CellSteps) {
    const cell = cellOf(this);
    const [first, second] = this.jobs;
    assert.ok(first !== undefined && second !== undefined);
    assert.ok(await eventually(() => cell.starts(second).length > 0));
    assert.equal(await cell.state(first), 'completed');
  },
);

Then('its tasks ran once each', function (this: CellSteps) {
  const runs = cellOf(this)
    .starts(jobOf(this))
    .map(({ run }) => run);
  assert.deepEqual(
    runs,
    runs.map(() => 1),
  );
});

Then(/^its first run has begun within 0.8 s$/, async function (this: CellSteps) {
  const hasBegun = (): boolean => cellOf(this).starts(jobOf(this)).length > 0;
  assert.ok(await eventually(hasBegun, 800));
});
