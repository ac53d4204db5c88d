import assert from 'node:assert/strict';
import { Then } from '@cucumber/cucumber';
import { sleep } from '../clock/sleep.js';
import {
  cellOf,
  submitJob,
  firstJob,
  ownerEntry,
  type CellTestContext,
} from '../owner/cell-test-context.support.js';
import { eventually } from '../testing/test-cell.support.js';

Then(
  'no guard calls the store more than twice in the next 4 s',
  async function (this: CellTestContext) {
    const { workers } = cellOf(this);
    const counts = (): number[] => workers.map(({ store }) => store.calls.length);
    const before = counts();
    await sleep(4000);
    const made = counts().map((count, index) => count - (before[index] ?? 0));
    assert.ok(Math.max(...made) <= 2, `calls: ${made.join(' ')}`);
  },
);

Then('a job submitted there starts within 1.2 s', async function (this: CellTestContext) {
  await submitJob(this, { entry: ownerEntry(this), spec: { workMs: 200 } });
  const hasBegun = (): boolean => cellOf(this).starts(firstJob(this)).length > 0;
  assert.ok(await eventually(hasBegun, 1200));
});

Then(
  'the owner gets {int} to {int} contacts in the next 4 s',
  { timeout: 10_000 },
  async function (this: CellTestContext, min: number, max: number) {
    const count = (): number => ownerEntry(this).metrics.counters.get('owner.contact') ?? 0;
    // By then everything about the start has been reported.
    await sleep(1000);
    const before = count();
    await sleep(4000);
    const made = count() - before;
    assert.ok(made >= min && made <= max, `${made} contacts`);
  },
);
