import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { sleep } from '../clock/sleep.js';
import { testStep } from '../testing/test-jobs.support.js';
import { CellWorld, eventually } from '../testing/cell-world.support.js';
import { TEST_EVACUATION_SOURCE } from '../testing/test-evacuations.support.js';
import { restartGuard } from '../testing/worker-vm.support.js';
import {
  cellOf,
  handIn,
  jobOf,
  ownerOf,
  type CellSteps,
  type Worker,
} from '../owner/cell-steps.support.js';

interface EvacuationSteps extends CellSteps {
  /** When the last evacuation was acknowledged, as runners tell the time. */
  evacuatedAt: number;
}

function workersOf(world: EvacuationSteps, hall: string): Worker[] {
  return cellOf(world).workers.filter(({ failureDomain }) => failureDomain === hall);
}

/** Starts of the job that handed in first, by the runners of this hall. */
function startsIn(world: EvacuationSteps, hall: string): { task: string; at: number }[] {
  const id = jobOf(world);
  return workersOf(world, hall)
    .flatMap(({ lives }) => lives.flatMap(({ starts }) => starts))
    .filter(({ task }) => task.startsWith(`${id}.`));
}

function evacuate(world: EvacuationSteps, hall: string): void {
  cellOf(world).evacuate(hall);
  Object.assign(world, { evacuatedAt: performance.now() });
}

/** Evacuates hall east after the starts there are written down, and waits. */
async function evacuateOnceWritten(world: EvacuationSteps, laterMs: number): Promise<void> {
  await sleep(300);
  evacuate(world, 'east');
  await sleep(laterMs);
}

Given(
  'a cell of {int} entries with {int} workers in each of halls {word} and {word}',
  async function (this: EvacuationSteps, entries: number, each: number, a: string, b: string) {
    const cell = new CellWorld();
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

When('hall {word} is taken back', function (this: EvacuationSteps, hall: string) {
  cellOf(this).takeBack(hall);
});

Given("an owner that can't read evacuations", function (this: EvacuationSteps) {
  ownerOf(this).store.unreadableFrom = TEST_EVACUATION_SOURCE.keyPrefix;
});

Given('guards in hall east that are out of contact', function (this: EvacuationSteps) {
  workersOf(this, 'east').forEach(({ guard }) => guard.stop());
});

Given('runners in hall east that answer no start', function (this: EvacuationSteps) {
  workersOf(this, 'east').forEach(({ runner }) => Object.assign(runner, { dark: true }));
});

When('a job of {int} tasks is handed in', async function (this: EvacuationSteps, tasks: number) {
  await handIn(this, { steps: [testStep({ tasks })], spec: { workMs: 100 } });
});

When(
  'a job of {int} tasks is handed in {int} ms later',
  async function (this: EvacuationSteps, tasks: number, laterMs: number) {
    await sleep(laterMs);
    await handIn(this, { steps: [testStep({ tasks })], spec: { workMs: 100 } });
  },
);

When(
  'a job of {int} tasks is handed in at the other entry',
  async function (this: EvacuationSteps, tasks: number) {
    const cell = cellOf(this);
    const other = cell.entries.find(({ store }) => store.fault === 'none');
    assert.ok(other);
    const steps = [testStep({ tasks })];
    await handIn(this, { steps, spec: { workMs: 100 }, entry: other });
  },
);

When(
  'a job of {int} tasks that take 1 s is handed in {int} ms later',
  async function (this: EvacuationSteps, tasks: number, laterMs: number) {
    await sleep(laterMs);
    const steps = [testStep({ tasks, maxPerWorker: 4 })];
    await handIn(this, { steps, spec: { workMs: 1000 } });
  },
);

When(
  'a job of {int} tasks that take 1 s is handed in and has begun in hall east',
  async function (this: EvacuationSteps, tasks: number) {
    const steps = [testStep({ tasks, maxPerWorker: 4 })];
    await handIn(this, { steps, spec: { workMs: 1000 } });
    assert.ok(await eventually(() => startsIn(this, 'east').length === tasks / 2, 2000));
  },
);

When(
  'a gang of {int} tasks that needs both halls is handed in',
  async function (this: EvacuationSteps, tasks: number) {
    const demand = { milliCores: 1000, memoryMb: 100, accelerators: 8 };
    const steps = [testStep({ tasks, gang: true, demand })];
    await handIn(this, { steps, spec: { workMs: 150, gangs: { 0: tasks } } });
  },
);

When(
  'hall east is evacuated, and its guards are back in contact {int} ms later',
  async function (this: EvacuationSteps, laterMs: number) {
    await evacuateOnceWritten(this, laterMs);
    workersOf(this, 'east').forEach((worker) => restartGuard(worker));
  },
);

When(
  'hall east is evacuated, and its runners answer again {int} ms later',
  async function (this: EvacuationSteps, laterMs: number) {
    await evacuateOnceWritten(this, laterMs);
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

Then('all of its tasks ran in hall west at last', function (this: EvacuationSteps) {
  const last = Math.max(
    ...cellOf(this)
      .starts(jobOf(this))
      .map(({ run }) => run),
  );
  const lastRuns = cellOf(this)
    .starts(jobOf(this))
    .filter(({ run }) => run === last);
  const inWest = startsIn(this, 'west');
  assert.ok(lastRuns.every((start) => inWest.includes(start)));
});

Then('each of its tasks ran once', function (this: EvacuationSteps) {
  const tasks = cellOf(this)
    .starts(jobOf(this))
    .map(({ task }) => task);
  assert.equal(new Set(tasks).size, tasks.length);
});

Then(
  'nothing of it has begun {int} ms later',
  async function (this: EvacuationSteps, laterMs: number) {
    await sleep(laterMs);
    assert.deepEqual(cellOf(this).starts(jobOf(this)), []);
  },
);

Then(
  'tasks of it have begun in hall east within {int} ms',
  async function (this: EvacuationSteps, withinMs: number) {
    assert.ok(await eventually(() => startsIn(this, 'east').length > 0, withinMs));
  },
);
