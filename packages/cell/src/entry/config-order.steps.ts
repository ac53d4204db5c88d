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

interface ConfigOrderWorld extends CellTestContext {
  entry: Entry;
  resumeReads: () => void;
  served: boolean[];
}

const JOB_ID = '00000000000000ff';
const NEW_PREFIX = '/reels/';

/** Interval between the calls, in ms; long enough for an entry to show that it went back to the older configuration. */
const CALL_INTERVAL_MS = 300;

/** True if the entry knew the queue. */
async function isServed({ entry }: ConfigOrderWorld, prefix: string): Promise<boolean> {
  const call = { host: TEST_HOST, path: `${prefix}${JOB_ID}`, key: TEST_API_KEY };
  const { outcome } = await entry.app.jobApi.state(call);
  return outcome !== 'no-such-queue' && outcome !== 'not-ready';
}

Given(
  'an entry whose reads of the configuration are paused',
  async function (this: ConfigOrderWorld) {
    this.entry = nonOwnerEntry(this);
    const { store } = this.entry;
    const read = store.read.bind(store);
    const readsResumed = new Promise<void>((resolve) => {
      this.resumeReads = resolve;
    });
    store.read = async (range, options) => {
      if (range.table === 'operator') await readsResumed;
      return read(range, options);
    };
    // Any earlier read has been answered by then.
    await sleep(CALL_INTERVAL_MS);
  },
);

When('the operator replaces the first queue with another one', function (this: ConfigOrderWorld) {
  cellOf(this).configure({ queues: [{ ...TEST_QUEUE, name: 'reels', pathPrefix: NEW_PREFIX }] });
});

When(
  'a call for the new queue arrives there, 0.3 s later one for the old queue, and then the reads resume',
  async function (this: ConfigOrderWorld) {
    const first = isServed(this, NEW_PREFIX);
    await sleep(CALL_INTERVAL_MS);
    const second = isServed(this, TEST_QUEUE.pathPrefix);
    await sleep(CALL_INTERVAL_MS);
    this.resumeReads();
    this.served = await Promise.all([first, second]);
  },
);

Then('at most one of the calls is served', function (this: ConfigOrderWorld) {
  assert.notDeepEqual(this.served, [true, true]);
});
