import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { sleep } from '../clock/sleep.js';
import { crashEntry, eventually } from '../testing/test-cell.support.js';
import { testStep } from '../testing/test-jobs.support.js';
import { restartGuard } from '../testing/test-worker.support.js';
import {
  cellOf,
  firstJob,
  ownerEntry,
  runningWorker,
  submitJob,
  type CellTestContext,
  type Worker,
} from './cell-test-context.support.js';
import { LEASE_MAX_UNCONFIRMED_MS } from './cell-owner.js';

interface LostRunnerContext extends CellTestContext {
  /** The worker whose runner is lost. */
  lost?: Worker;
}

const WHOLE_WORKER = { milliCores: 1000, memoryMb: 100, accelerators: 8 };

/** The runner crashes and doesn't come back, and its guard starts again without any knowledge of it. */
function loseRunner(worker: Worker): void {
  worker.runner.life?.crash();
  Object.assign(worker.runner, { life: undefined });
  restartGuard(worker);
}

async function waitUntilLogged(world: CellTestContext, { id }: Worker, msg: string): Promise<void> {
  const isLogged = (): boolean =>
    cellOf(world)
      .logged(msg)
      .some(({ vm }) => vm === id);
  assert.ok(await eventually(isLogged));
}

When(
  'the runner that runs it is lost for good while its guard restarts',
  function (this: LostRunnerContext) {
    loseRunner(runningWorker(this));
  },
);

When(
  'the runner that runs it is lost for good while its guard restarts and the owner is lost',
  function (this: LostRunnerContext) {
    loseRunner(runningWorker(this));
    crashEntry(ownerEntry(this));
  },
);

When(
  'a runner is lost for good while its guard restarts',
  async function (this: LostRunnerContext) {
    const [worker] = cellOf(this).workers;
    assert.ok(worker);
    this.lost = worker;
    await waitUntilLogged(this, worker, 'new runner incarnation reported');
    loseRunner(worker);
    await waitUntilLogged(this, worker, 'guard reports no runner');
  },
);

When(
  '{int} jobs that need a whole worker are submitted',
  async function (this: CellTestContext, count: number) {
    const steps = [testStep({ demand: WHOLE_WORKER })];
    for (let each = 0; each < count; each++) {
      await submitJob(this, { steps, spec: { workMs: 300 } });
    }
  },
);

When(
  /^the guard restarts and hears nothing of the runner for (\d\.\d) s$/,
  async function (this: CellTestContext, seconds: string) {
    const worker = runningWorker(this);
    worker.isHeartbeatMuted = true;
    restartGuard(worker);
    await sleep(Number(seconds) * 1000);
    worker.isHeartbeatMuted = false;
  },
);

Then(
  'it completes before the last leases of the lost owner could have ended',
  { timeout: LEASE_MAX_UNCONFIRMED_MS + 5000 },
  async function (this: CellTestContext) {
    const isComplete = async (): Promise<boolean> =>
      (await cellOf(this).jobState(firstJob(this))) === 'completed';
    assert.ok(await eventually(isComplete, LEASE_MAX_UNCONFIRMED_MS));
  },
);

Then('nothing was assigned to its worker', function (this: LostRunnerContext) {
  const assigned = cellOf(this)
    .logged('run assigned')
    .filter(({ on }) => String(on).endsWith(`:${this.lost?.id}`));
  assert.deepEqual(assigned, []);
});

Then('no run was stopped as stalled', function (this: CellTestContext) {
  const stalled = cellOf(this)
    .logged('stopping run')
    .filter(({ reason }) => reason === 'run stalled');
  assert.deepEqual(stalled, []);
});
