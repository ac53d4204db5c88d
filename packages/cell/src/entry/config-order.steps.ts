import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { sleep } from '../clock/sleep.js';
import {
  cellOf,
  nonOwnerEntry,
  type CellTestContext,
  type Entry,
} from '../owner/cell-test-context.support.js';
import { TEST_HOST, TEST_API_KEY, TEST_QUEUE } from '../testing/test-jobs.support.js';

interface OrderSteps extends CellTestContext {
  entry: Entry;
  goOn: () => void;
  served: boolean[];
}

const JOB = '00000000000000ff';
const NEW_PREFIX = '/reels/';

/** Between the two calls, in ms: longer than an entry may take to show that it went back. */
const BETWEEN_MS = 300;

/** True if the entry knew the queue. */
async function isServed({ entry }: OrderSteps, prefix: string): Promise<boolean> {
  const call = { host: TEST_HOST, path: `${prefix}${JOB}`, key: TEST_API_KEY };
  const { outcome } = await entry.app.calls.state(call);
  return outcome !== 'no-such-queue' && outcome !== 'not-ready';
}

Given('an entry whose reads of the configuration wait', async function (this: OrderSteps) {
  this.entry = nonOwnerEntry(this);
  const { store } = this.entry;
  const read = store.read.bind(store);
  const isOn = new Promise<void>((resolve) => {
    this.goOn = resolve;
  });
  store.read = async (range, options) => {
    if (range.table === 'operator') await isOn;
    return read(range, options);
  };
  // A read that was on its way has been answered by then.
  await sleep(BETWEEN_MS);
});

When('the operator puts another queue in place of the first', function (this: OrderSteps) {
  cellOf(this).configure({ queues: [{ ...TEST_QUEUE, name: 'reels', pathPrefix: NEW_PREFIX }] });
});

When(
  'a call for the new queue is made there, and 0.3 s later one for the old queue, and the reads go on',
  async function (this: OrderSteps) {
    const first = isServed(this, NEW_PREFIX);
    await sleep(BETWEEN_MS);
    const second = isServed(this, TEST_QUEUE.pathPrefix);
    await sleep(BETWEEN_MS);
    this.goOn();
    this.served = await Promise.all([first, second]);
  },
);

Then('not both are served', function (this: OrderSteps) {
  assert.notDeepEqual(this.served, [true, true]);
});
