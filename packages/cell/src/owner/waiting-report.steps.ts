import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { eventually } from '../testing/test-cell.support.js';
import { testStep } from '../testing/test-jobs.support.js';
import {
  cellOf,
  submitJob,
  waitUntilRunning,
  type CellTestContext,
} from './cell-test-context.support.js';

const WHOLE_WORKER = { milliCores: 1000, memoryMb: 100, accelerators: 8 };

When(
  'a job that takes 13 s and a whole worker is submitted',
  async function (this: CellTestContext) {
    const steps = [testStep({ demand: WHOLE_WORKER, estimateMs: 13_000 })];
    await submitJob(this, { steps, spec: { workMs: 13_000 } });
    await waitUntilRunning(this);
  },
);

When(
  'a gang that needs all {int} workers is submitted',
  async function (this: CellTestContext, tasks: number) {
    const steps = [testStep({ tasks, gang: true, demand: WHOLE_WORKER })];
    await submitJob(this, { steps, spec: { gangs: { 0: tasks }, workMs: 300 } });
  },
);

Then(
  'within {int} s the owner logs that the gang waits, with {int} usable workers and {int} of {int} accelerators free',
  { timeout: 20_000 },
  async function (
    this: CellTestContext,
    seconds: number,
    usable: number,
    free: number,
    accelerators: number,
  ) {
    const gang = this.jobs.at(-1);
    const findLogged = (): object | undefined =>
      cellOf(this)
        .logged('group is waiting for capacity')
        .find(({ job }) => job === gang);
    assert.ok(await eventually(() => findLogged() !== undefined, seconds * 1000));
    const { open, given, unaccounted, ...line } = findLogged() as Record<string, unknown>;
    assert.deepEqual([open, given, unaccounted], [3, 0, 0]);
    assert.deepEqual([line.usable, line.free, line.accelerators], [usable, free, accelerators]);
  },
);
