import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { AdvisorModel } from '@zincspan/stand-ins';
import { sleep } from '../clock/sleep.js';
import type { Step } from '../job/submission.js';
import {
  TestCell,
  eventually,
  submitToEntry,
  crashEntryAtProgressWrite,
} from '../testing/test-cell.support.js';
import { TEST_QUEUE, testStep } from '../testing/test-jobs.support.js';

interface AdviceSteps {
  cell?: TestCell;
  advisor: AdvisorModel;
  job: string;
}

/** Short, so that tickets expire within a scenario. */
const VALID_MS = 1200;

function cellOf({ cell }: AdviceSteps): TestCell {
  assert.ok(cell);
  return cell;
}

function entryOf(world: AdviceSteps): TestCell['entries'][number] {
  const cell = cellOf(world);
  const owner = cell.owner();
  const entry = cell.entries.find((each) => each !== owner);
  assert.ok(entry);
  return entry;
}

async function submitSingleStep(
  world: AdviceSteps,
  step: Partial<Step>,
  spec: object,
): Promise<void> {
  const id = cellOf(world).newJobId();
  Object.assign(world, { job: id });
  assert.equal(
    await submitToEntry(entryOf(world), id, { steps: [testStep(step)], spec }),
    'accepted',
  );
}

Given(
  /^a cell whose advisor approves (?:no worker|workers? ([\d and]+?))(?: only)?$/,
  async function (this: AdviceSteps, list: string | null) {
    const approved = (list?.match(/\d+/g) ?? []).map((each) => `worker-${each}`);
    this.advisor = new AdvisorModel({
      approves: (runner) => approved.some((vm) => runner.startsWith(vm)),
      validMs: VALID_MS,
    });
    this.cell = new TestCell();
    this.cell.advisor = this.advisor;
    await this.cell.start(2, 3);
    this.cell.configure({ queues: [{ ...TEST_QUEUE, needsAdvice: true }] });
    await sleep(600);
  },
);

After(async function (this: AdviceSteps) {
  if (this.advisor !== undefined) await this.cell?.stop();
});

Given('worker 2 has no free capacity for 2 s', async function (this: AdviceSteps) {
  await submitSingleStep(this, { tasks: 8 }, { workMs: 2000 });
  const isFull = (): boolean => cellOf(this).starts(this.job).length === 8;
  assert.ok(await eventually(isFull));
});

Given('the owner fails as soon as it has stored a run', function (this: AdviceSteps) {
  const owner = cellOf(this).owner();
  assert.ok(owner);
  crashEntryAtProgressWrite(owner);
});

When(
  /^a job of (\d) tasks? that needs approval is submitted$/,
  async function (this: AdviceSteps, tasks: string) {
    await submitSingleStep(this, { tasks: Number(tasks) }, { workMs: 100 });
  },
);

When(
  'a gang of {int} tasks that needs approval is submitted',
  async function (this: AdviceSteps, tasks: number) {
    const demand = { milliCores: 1000, memoryMb: 100, accelerators: 4 };
    await submitSingleStep(
      this,
      { tasks, gang: true, demand },
      { workMs: 100, gangs: { 0: tasks } },
    );
  },
);

When('a second has passed', async () => {
  await sleep(1000);
});

Then('it has completed within {int} s', async function (this: AdviceSteps, seconds: number) {
  const isDone = async (): Promise<boolean> =>
    (await cellOf(this).jobState(this.job)) === 'completed';
  assert.ok(await eventually(isDone, seconds * 1000));
});

Then('all its runs were on worker 2', function (this: AdviceSteps) {
  const cell = cellOf(this);
  const elsewhere = cell.workers
    .filter(({ id }) => id !== 'worker-2')
    .flatMap(({ lives }) => lives.flatMap(({ starts }) => starts));
  assert.ok(cell.starts(this.job).length > 0);
  assert.deepEqual(elsewhere, []);
});

Then('each of its tasks ran once, as one gang', function (this: AdviceSteps) {
  const runs = cellOf(this)
    .starts(this.job)
    .map(({ run }) => run);
  assert.deepEqual(runs, [1, 1, 1, 1]);
});

Then('the advisor was asked once', function (this: AdviceSteps) {
  assert.equal(this.advisor.questions.length, 1);
});
