import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { AcceptanceResult } from '@zincspan/core';
import { jobRowKey } from '../job/job-rows.js';
import type { TransactResult } from '../store/row-store.js';
import { AcceptanceQueue, type QueuedAcceptance } from './acceptance-queue.js';

interface AcceptanceQueueWorld {
  queue: AcceptanceQueue;
  now: number;
  batch: QueuedAcceptance[];
  /** Outcomes reported for the first submission. */
  outcomes: AcceptanceResult['outcome'][];
}

const CONFIG_KEY = { table: 'operator', part: '', key: 'configuration' };
const CONFIG_VERSION = 5;
const JOB_ID = '0000000000000001';
const VALUE = Buffer.from('a submission');
const CONFIG_ROW = { ...CONFIG_KEY, value: VALUE, version: CONFIG_VERSION };

const WRITE_RESULTS: Record<string, TransactResult> = {
  'is committed': { outcome: 'done', version: 9 },
  'finds that the job exists': {
    outcome: 'conflict',
    rows: [{ ...jobRowKey(JOB_ID, 'submission'), value: VALUE, version: 7 }, CONFIG_ROW],
  },
  'finds version 6 of the configuration': {
    outcome: 'conflict',
    rows: [{ ...CONFIG_ROW, version: 6 }],
  },
  'conflicts with other progress': { outcome: 'conflict', rows: [CONFIG_ROW] },
  'is refused': { outcome: 'refused', detail: 'too many' },
  "isn't answered": { outcome: 'unknown', detail: 'no answer' },
};

function add(
  world: AcceptanceQueueWorld,
  jobId: string,
  configVersion: number,
): Promise<AcceptanceResult> {
  return world.queue.add({ jobId, value: VALUE, configVersion, timeoutMs: 500 });
}

Given(
  'a submission that was admitted under version 5 of the configuration, to be sent within 500 ms',
  function (this: AcceptanceQueueWorld) {
    this.now = 0;
    this.outcomes = [];
    this.queue = new AcceptanceQueue(() => this.now);
    void add(this, JOB_ID, CONFIG_VERSION).then(({ outcome }) => this.outcomes.push(outcome));
  },
);

Given('another one that was admitted under version 6', function (this: AcceptanceQueueWorld) {
  void add(this, '0000000000000002', CONFIG_VERSION + 1);
});

Given('the same one sent by another entry', function (this: AcceptanceQueueWorld) {
  void add(this, JOB_ID, CONFIG_VERSION);
});

Given('{int} other submissions beside it', function (this: AcceptanceQueueWorld, count: number) {
  for (let each = 0; each < count; each++) void add(this, `other-${each}`, CONFIG_VERSION);
});

When('the next write is made', function (this: AcceptanceQueueWorld) {
  this.batch = this.queue.take();
});

When(/^the write that contains it (.+)$/, function (this: AcceptanceQueueWorld, what: string) {
  const result = WRITE_RESULTS[what];
  assert.ok(result !== undefined);
  const taken = this.queue.take();
  assert.equal(taken.length, 1);
  this.queue.settle(taken, result, CONFIG_KEY);
});

When('600 ms pass before the next one', function (this: AcceptanceQueueWorld) {
  this.now += 600;
  assert.deepEqual(this.queue.take(), []);
});

When('the term ends before the next one', function (this: AcceptanceQueueWorld) {
  this.queue.close();
});

Then('its entry gets no result yet', function (this: AcceptanceQueueWorld) {
  assert.deepEqual(this.outcomes, []);
  assert.ok(!this.queue.isEmpty);
});

Then(
  /^its entry gets (done|exists|config-changed|refused|unknown)$/,
  function (this: AcceptanceQueueWorld, outcome: string) {
    assert.deepEqual(this.outcomes, [outcome]);
    assert.ok(this.queue.isEmpty || this.batch.length > 0);
  },
);

Then('the write contains only the other one', function (this: AcceptanceQueueWorld) {
  assert.deepEqual(
    this.batch.map(({ configVersion }) => configVersion),
    [CONFIG_VERSION + 1],
  );
});

Then('the write contains {int} of them', function (this: AcceptanceQueueWorld, count: number) {
  assert.equal(this.batch.length, count);
});
