import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { sleep } from '../clock/sleep.js';
import { testStep } from '../testing/test-jobs.support.js';
import { TestCell, eventually } from '../testing/test-cell.support.js';
import { TEST_EVACUATION_SOURCE } from '../testing/test-evacuations.support.js';
import { restartGuard } from '../testing/test-worker.support.js';
import {
  cellOf,
  submitJob,
  firstJob,
  ownerEntry,
  type CellTestContext,
  type Worker,
} from '../owner/cell-test-context.support.js';

interface EvacuationSteps extends CellTestContext {
  /** When the last evacuation was acknowledged, on the runners' clock. */
  evacuatedAt: number;
}

function workersOf(world: EvacuationSteps, hall: string): Worker[] {
  return cellOf(world).workers.filter(({ failureDomain }) => failureDomain === hall);
}

/** Starts of the first submitted job on the runners of this hall. */
function startsIn(world: EvacuationSteps, hall: string): { task: string; at: number }[] {
  const id = firstJob(world);
  return workersOf(world, hall)
    .flatMap(({ lives }) => lives.flatMap(({ starts }) => starts))
    .filter(({ task }) => task.startsWith(`${id}.`));
}

function evacuate(world: EvacuationSteps, hall: string): void {
  cellOf(world).evacuate(hall);
  Object.assign(world, { evacuatedAt: performance.now() });
}

/** Evacuates hall east after the starts there have been stored, then waits. */
async function evacuateOnceStored(world: EvacuationSteps, laterMs: number): Promise<void> {
  await sleep(300);
  evacuate(world, 'east');
  await sleep(laterMs);
}

Given(
  'a cell of {int} entries with {int} workers in each of halls {word} and {word}',
  async function (this: EvacuationSteps, entries: number, each: number, a: string, b: string) {
    const cell = new TestCell();
    this.cell = cell;
    this.jobs = [];
    await cell.start(entries, 0);
    [a, b].forEach((failureDomain) => {
      for (let worker = 0; worker < each; worker++) {
        cell.addWorker({ rack: `rack-${failureDomain}`, failureDomain });
      }
    });
    await sleep(600);
  },
);

Given('hall {word} is evacuated', function (this: EvacuationSteps, hall: string) {
  evacuate(this, hall);
});

When('hall {word} is reopened', function (this: EvacuationSteps, hall: string) {
  cellOf(this).endEvacuation(hall);
});

Given("an owner that can't read evacuations", function (this: EvacuationSteps) {
  ownerEntry(this).store.unreadableRangeStart = TEST_EVACUATION_SOURCE.keyPrefix;
});

Given('guards in hall east that are out of contact', function (this: EvacuationSteps) {
  workersOf(this, 'east').forEach(({ guard }) => guard.stop());
});

Given('runners in hall east that do not answer starts', function (this: EvacuationSteps) {
  workersOf(this, 'east').forEach(({ runner }) => Object.assign(runner, { dark: true }));
});

When('a job of {int} tasks is submitted', async function (this: EvacuationSteps, tasks: number) {
  await submitJob(this, { steps: [testStep({ tasks })], spec: { workMs: 100 } });
});

When(
  'a job of {int} tasks is submitted {int} ms later',
  async function (this: EvacuationSteps, tasks: number, laterMs: number) {
    await sleep(laterMs);
    await submitJob(this, { steps: [testStep({ tasks })], spec: { workMs: 100 } });
  },
);

When(
  'a job of {int} tasks is submitted at the other entry',
  async function (this: EvacuationSteps, tasks: number) {
    const cell = cellOf(this);
    const other = cell.entries.find(({ store }) => store.fault === 'none');
    assert.ok(other);
    const steps = [testStep({ tasks })];
    await submitJob(this, { steps, spec: { workMs: 100 }, entry: other });
  },
);

When(
  'a job of {int} tasks that take 1 s is submitted {int} ms later',
  async function (this: EvacuationSteps, tasks: number, laterMs: number) {
    await sleep(laterMs);
    const steps = [testStep({ tasks, maxPerWorker: 4 })];
    await submitJob(this, { steps, spec: { workMs: 1000 } });
  },
);

When(
  'a job of {int} tasks that take 1 s is submitted and has started in hall east',
  async function (this: EvacuationSteps, tasks: number) {
    const steps = [testStep({ tasks, maxPerWorker: 4 })];
    await submitJob(this, { steps, spec: { workMs: 1000 } });
    assert.ok(await eventually(() => startsIn(this, 'east').length === tasks / 2, 2000));
  },
);

When(
  'a gang of {int} tasks that needs both halls is submitted',
  async function (this: EvacuationSteps, tasks: number) {
    const demand = { milliCores: 1000, memoryMb: 100, accelerators: 8 };
    const steps = [testStep({ tasks, gang: true, demand })];
    await submitJob(this, { steps, spec: { workMs: 150, gangs: { 0: tasks } } });
  },
);

When(
  'hall east is evacuated, and its guards are back in contact {int} ms later',
  async function (this: EvacuationSteps, laterMs: number) {
    await evacuateOnceStored(this, laterMs);
    workersOf(this, 'east').forEach((worker) => restartGuard(worker));
  },
);

When(
  'hall east is evacuated, and its runners answer again {int} ms later',
  async function (this: EvacuationSteps, laterMs: number) {
    await evacuateOnceStored(this, laterMs);
    workersOf(this, 'east').forEach(({ runner }) => Object.assign(runner, { dark: false }));
  },
);

When('two workers join hall west', function (this: EvacuationSteps) {
  const place = { rack: 'rack-west', failureDomain: 'west' };
  cellOf(this).addWorker(place);
  cellOf(this).addWorker(place);
});

Then('none of its tasks started in hall east', function (this: EvacuationSteps) {
  assert.deepEqual(startsIn(this, 'east'), []);
});

Then(
  'none of its tasks started in hall east more than {int} ms after the evacuation',
  function (this: EvacuationSteps, laterMs: number) {
    const late = startsIn(this, 'east').filter(({ at }) => at > this.evacuatedAt + laterMs);
    assert.deepEqual(late, []);
  },
);

Then('the last run of the gang was entirely in hall west', function (this: EvacuationSteps) {
  const last = Math.max(
    ...cellOf(this)
      .starts(firstJob(this))
      .map(({ run }) => run),
  );
  const lastRuns = cellOf(this)
    .starts(firstJob(this))
    .filter(({ run }) => run === last);
  const inWest = startsIn(this, 'west');
  assert.ok(lastRuns.every((start) => inWest.includes(start)));
});

Then('each of its tasks ran once', function (this: EvacuationSteps) {
  const tasks = cellOf(this)
    .starts(firstJob(this))
    .map(({ task }) => task);
  assert.equal(new Set(tasks).size, tasks.length);
});

Then(
  'none of its tasks has started {int} ms later',
  async function (this: EvacuationSteps, laterMs: number) {
    await sleep(laterMs);
    assert.deepEqual(cellOf(this).starts(firstJob(this)), []);
  },
);

Then(
  'some of its tasks have started in hall east within {int} ms',
  async function (this: EvacuationSteps, withinMs: number) {
    assert.ok(await eventually(() => startsIn(this, 'east').length > 0, withinMs));
  },
);
