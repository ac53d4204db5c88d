import assert from 'node:assert/strict';
import { After, Given, Status, Then, When } from '@cucumber/cucumber';
import { MAX_CLOCK_SLOWDOWN } from '../clock/lease-margin.js';
import { sleep } from '../clock/sleep.js';
import type { Step } from '../job/submission.js';
import { keepCellEvidence } from '../testing/cell-evidence.support.js';
import { TestCell, jobCall, eventually, submitToEntry } from '../testing/test-cell.support.js';
import { TEST_LEASE_MS } from '../testing/test-worker.support.js';
import { testStep } from '../testing/test-jobs.support.js';
import {
  cellOf,
  waitUntilRunning,
  submitJob,
  firstJob,
  nonOwnerEntry,
  ownerEntry,
  type CellTestContext,
} from './cell-test-context.support.js';

Given(
  'a cell of {int} entries and {int} worker(s)',
  async function (this: CellTestContext, entries: number, workers: number) {
    const cell = new TestCell();
    this.cell = cell;
    this.jobs = [];
    await cell.start(entries, workers);
  },
);

After(async function (this: CellTestContext, { pickle, result }) {
  if (this.cell === undefined) return;
  if (result?.status === Status.FAILED) await keepCellEvidence(this.cell, pickle.name);
  await this.cell.stop();
});

Then('its second run has started within 1 s', async function (this: CellTestContext) {
  const hasTwo = (): boolean => cellOf(this).starts(firstJob(this)).length === 2;
  assert.ok(await eventually(hasTwo, 1000));
});

When('a job is submitted to that entry', async function (this: CellTestContext) {
  const cutOff = cellOf(this).entries.find(({ store }) => store.fault !== 'none');
  assert.ok(cutOff);
  await submitJob(this, { entry: cutOff });
});

When(
  'a job of two steps, the second after the first, is submitted',
  async function (this: CellTestContext) {
    const steps = [testStep({ tasks: 2 }), testStep({ after: [0] })];
    await submitJob(this, { steps, spec: { workMs: 150 } });
  },
);

When('a gang of {int} tasks is submitted', async function (this: CellTestContext, tasks: number) {
  const steps = [testStep({ tasks, gang: true, demand: gangDemand() })];
  await submitJob(this, { steps, spec: { workMs: 150, gangs: { 0: tasks } } });
});

/** Demand of which two members fit on a worker, so that a gang spans several workers. */
function gangDemand(): Step['demand'] {
  return { milliCores: 1000, memoryMb: 100, accelerators: 4 };
}

When('a job whose first run fails is submitted', async function (this: CellTestContext) {
  await submitJob(this, { spec: { workMs: 50, failRuns: 1 } });
});

When('a job whose runs all fail is submitted', async function (this: CellTestContext) {
  await submitJob(this, { spec: { workMs: 50, failRuns: 9 } });
});

When('a long job is submitted and has started', async function (this: CellTestContext) {
  await submitJob(this, { steps: [testStep({ tasks: 3 })], spec: { workMs: 60_000 } });
  await waitUntilRunning(this);
});

When(
  /^a job that takes (\d) s is submitted and has started$/,
  async function (this: CellTestContext, seconds: string) {
    await submitJob(this, { spec: { workMs: Number(seconds) * 1000 } });
    await waitUntilRunning(this);
  },
);

When(
  'a job of {int} tasks that take 1 s is submitted and has started',
  async function (this: CellTestContext, tasks: number) {
    await submitJob(this, { steps: [testStep({ tasks })], spec: { workMs: 1000 } });
    await waitUntilRunning(this);
  },
);

When(
  'a job that takes 3 s is submitted to the owner and has started',
  async function (this: CellTestContext) {
    await submitJob(this, { spec: { workMs: 3000 }, entry: ownerEntry(this) });
    await waitUntilRunning(this);
  },
);

When(
  'a job with an estimate of 6 s is submitted and has started',
  async function (this: CellTestContext) {
    await submitJob(this, { steps: [testStep({ estimateMs: 6000 })], spec: { workMs: 6000 } });
    await waitUntilRunning(this);
  },
);

When(
  /^a job that takes (\d) s is submitted$/,
  async function (this: CellTestContext, seconds: string) {
    await submitJob(this, { spec: { workMs: Number(seconds) * 1000 } });
  },
);

When(
  /^a job with checkpoints that takes (\d) s is submitted and has run for \d s$/,
  async function (this: CellTestContext, seconds: string) {
    const steps = [testStep({ checkpointing: true })];
    await submitJob(this, { steps, spec: { workMs: Number(seconds) * 1000, checkpointMs: 100 } });
    const worked = () =>
      cellOf(this).workers.some(({ runner }) =>
        runner.life?.running().some(({ percent }) => percent >= 50),
      );
    assert.ok(await eventually(worked));
  },
);

When('it is cancelled', async function (this: CellTestContext) {
  const { outcome } = await nonOwnerEntry(this).app.jobApi.cancel(jobCall(firstJob(this)));
  assert.equal(outcome, 'cancelled');
});

When('the same job is submitted to both entries at once', async function (this: CellTestContext) {
  const cell = cellOf(this);
  const id = cell.newJobId();
  this.jobs.push(id);
  const outcomes = await Promise.all(cell.entries.map((entry) => submitToEntry(entry, id)));
  assert.deepEqual(outcomes, ['accepted', 'accepted']);
});

When(
  'a job is submitted to that entry, and again to the other',
  async function (this: CellTestContext) {
    const cell = cellOf(this);
    const id = cell.newJobId();
    this.jobs.push(id);
    const first = await submitToEntry(nonOwnerEntry(this), id);
    assert.ok(['unknown', 'accepted'].includes(first));
    nonOwnerEntry(this).store.fault = 'none';
    assert.equal(await submitToEntry(ownerEntry(this), id), 'accepted');
  },
);

When('a job is submitted to the other entry', async function (this: CellTestContext) {
  await submitJob(this, {});
});

Then('it completes', { timeout: 30_000 }, async function (this: CellTestContext) {
  const cell = cellOf(this);
  const isComplete = async () => (await cell.jobState(firstJob(this))) === 'completed';
  assert.ok(await eventually(isComplete, 25_000), `state: ${await cell.jobState(firstJob(this))}`);
});

Then('all of them complete', async function (this: CellTestContext) {
  const states = () => Promise.all(this.jobs.map((id) => cellOf(this).jobState(id)));
  assert.ok(await eventually(async () => (await states()).every((s) => s === 'completed')));
});

Then('its rows are removed soon after', async function (this: CellTestContext) {
  const cell = cellOf(this);
  const isGone = () =>
    cell.tables
      .read({ table: 'jobs', part: '' })
      .rows.every(({ key }) => !key.startsWith(firstJob(this)));
  assert.ok(await eventually(isGone, 4000));
});

Then('a submitted job is refused as not accepted', async function (this: CellTestContext) {
  assert.equal(await submitToEntry(nonOwnerEntry(this), cellOf(this).newJobId()), 'not-accepted');
});

Then('it fails', async function (this: CellTestContext) {
  const cell = cellOf(this);
  assert.ok(await eventually(async () => (await cell.jobState(firstJob(this))) === 'failed'));
});

Then('it is shown as cancelled', async function (this: CellTestContext) {
  assert.equal(await cellOf(this).jobState(firstJob(this)), 'cancelled');
});

Then('its second step started after all of the first had ended', function (this: CellTestContext) {
  const starts = cellOf(this).starts(firstJob(this));
  const second = starts.find(({ task }) => task.split('.')[2] === '1');
  const first = starts.filter(({ task }) => task.split('.')[2] === '0');
  assert.ok(second);
  assert.equal(first.length, 2);
  first.forEach(({ at }) => assert.ok(second.at >= at + 150));
});

Then(
  'its {int} tasks ran once each, under the same run number',
  function (this: CellTestContext, tasks: number) {
    const starts = cellOf(this).starts(firstJob(this));
    assert.equal(new Set(starts.map(({ task }) => task)).size, tasks);
    assert.equal(starts.length, tasks);
    assert.equal(new Set(starts.map(({ run }) => run)).size, 1);
  },
);

Then(/^its task ran (once|twice)$/, function (this: CellTestContext, times: string) {
  assert.equal(cellOf(this).starts(firstJob(this)).length, times === 'once' ? 1 : 2);
});

Then('none of its tasks runs soon after', async function (this: CellTestContext) {
  const running = () =>
    cellOf(this).workers.flatMap(({ runner }) => runner.life?.running() ?? []).length;
  assert.ok(await eventually(() => running() === 0, 2000));
  const { length } = cellOf(this).starts(firstJob(this));
  await sleep(500);
  assert.equal(cellOf(this).starts(firstJob(this)).length, length);
});

Then('the other entry owns the cell soon after', async function (this: CellTestContext) {
  const cell = cellOf(this);
  const before = cell.owner();
  assert.ok(await eventually(() => cell.owner() !== before, 6000));
});

Then(
  'its second run started after the lease of the first had ended',
  function (this: CellTestContext) {
    const [first, second] = cellOf(this).starts(firstJob(this));
    assert.ok(first && second);
    assert.ok(second.at - first.at >= TEST_LEASE_MS * MAX_CLOCK_SLOWDOWN);
  },
);

Then('no two runs of its task overlapped', function (this: CellTestContext) {
  const starts = cellOf(this).starts(firstJob(this));
  starts.slice(1).forEach(({ at }, index) => {
    const before = starts[index];
    assert.ok(before && at - before.at >= 1000);
  });
});

Then('its second run resumed from a checkpoint', function (this: CellTestContext) {
  const [, second] = cellOf(this).starts(firstJob(this));
  assert.ok(Number(second?.checkpoint) >= 500);
});

Then(
  'a job with that key is refused there as not authenticated',
  async function (this: CellTestContext) {
    const cell = cellOf(this);
    assert.equal(await submitToEntry(nonOwnerEntry(this), cell.newJobId()), 'not-authenticated');
  },
);

Then(
  'a job submitted there is refused as not accepted within {int} ms',
  async function (this: CellTestContext, limitMs: number) {
    const cell = cellOf(this);
    const startedAt = performance.now();
    assert.equal(await submitToEntry(nonOwnerEntry(this), cell.newJobId()), 'not-accepted');
    assert.ok(performance.now() - startedAt < limitMs);
  },
);
