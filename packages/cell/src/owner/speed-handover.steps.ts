import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { DEFAULT_CELL_POLICY } from '../config/cell-policy.js';
import { TestCell, eventually } from '../testing/test-cell.support.js';
import { testStep } from '../testing/test-jobs.support.js';
import { SLOW_SPEED } from '../worker/worker-speed.js';
import {
  cellOf,
  ownerEntry,
  submitJob,
  type CellTestContext,
} from './cell-test-context.support.js';

interface HandoverSteps extends CellTestContext {
  earlierOwner: string;
}

const PER_WORKER = 8;

/** Entries that have logged a slow worker. */
function reporters(world: CellTestContext): string[] {
  return cellOf(world)
    .logged('worker speed changed')
    .filter(({ speed }) => Number(speed) < SLOW_SPEED)
    .map(({ by }) => by);
}

Given(
  'a cell of {int} entries and {int} workers that learns their speeds',
  async function (this: CellTestContext, entries: number, workers: number) {
    this.jobs = [];
    this.cell = new TestCell();
    this.cell.policy = { ...DEFAULT_CELL_POLICY, workerSpeeds: 'auto' };
    await this.cell.start(entries, workers);
  },
);

When(
  'a job is submitted whose tasks take three times as long on the first worker',
  async function (this: CellTestContext) {
    const steps = [testStep({ tasks: 3 * PER_WORKER, estimateMs: 1000 })];
    // Tasks go to workers one after the other, so that the first eight share one.
    const slow = Array.from({ length: PER_WORKER }, (_, index) => [index, 3000]);
    await submitJob(this, { steps, spec: { workMs: 1000, workMsOf: Object.fromEntries(slow) } });
  },
);

Then('the owner has logged that the first worker is slow', async function (this: HandoverSteps) {
  this.earlierOwner = ownerEntry(this).id;
  assert.ok(await eventually(() => reporters(this).length > 0, 3000));
});

Then(
  'the next owner logs that the first worker is slow as soon as it hears from it',
  { timeout: 15_000 },
  async function (this: HandoverSteps) {
    const hasLogged = (): boolean => reporters(this).some((by) => by !== this.earlierOwner);
    assert.ok(await eventually(hasLogged, 8000));
  },
);
