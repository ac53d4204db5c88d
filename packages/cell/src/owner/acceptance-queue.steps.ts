import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { AcceptanceResult } from '@zincspan/core';
import { jobRowKey } from '../job/job-rows.js';
import type { TransactResult } from '../store/row-store.js';
import { AcceptanceQueue, type HandedAcceptance } from './acceptance-queue.js';

interface QueueSteps {
  queue: AcceptanceQueue;
  now: number;
  taken: HandedAcceptance[];
  /** Answers to the first one. */
  told: AcceptanceResult['outcome'][];
}

const CONFIG_KEY = { table: 'operator', part: '', key: 'configuration' };
const CONFIG_VERSION = 5;
const JOB_ID = '0000000000000001';
const VALUE = Buffer.from('a submission');
const IN_FORCE = { ...CONFIG_KEY, value: VALUE, version: CONFIG_VERSION };

const RESULTS: Record<string, TransactResult> = {
  'is done': { outcome: 'done', version: 9 },
  'finds the job there': {
    outcome: 'conflict',
    rows: [{ ...jobRowKey(JOB_ID, 'submission'), value: VALUE, version: 7 }, IN_FORCE],
  },
  'finds version 6 of the configuration': {
    outcome: 'conflict',
    rows: [{ ...IN_FORCE, version: 6 }],
  },
  'finds other progress': { outcome: 'conflict', rows: [IN_FORCE] },
  'is refused': { outcome: 'refused', detail: 'too many' },
  "isn't answered": { outcome: 'unknown', detail: 'no answer' },
};

function add(world: QueueSteps, jobId: string, configVersion: number): Promise<AcceptanceResult> {
  return world.queue.add({ jobId, value: VALUE, configVersion, timeoutMs: 500 });
}

Given(
  'a submission that was let through by version 5 of the configuration, and 500 ms to send it',
  function (this: QueueSteps) {
    this.now = 0;
    this.told = [];
    this.queue = new AcceptanceQueue(() => this.now);
    void add(this, JOB_ID, CONFIG_VERSION).then(({ outcome }) => this.told.push(outcome));
  },
);

Given('another one that was let through by version 6', function (this: QueueSteps) {
  void add(this, '0000000000000002', CONFIG_VERSION + 1);
});

Given('the same one handed over by another entry', function (this: QueueSteps) {
  void add(this, JOB_ID, CONFIG_VERSION);
});

Given('{int} others beside it', function (this: QueueSteps, count: number) {
  for (let each = 0; each < count; each++) void add(this, `other-${each}`, CONFIG_VERSION);
});

When('the next write is made', function (this: QueueSteps) {
  this.taken = this.queue.take();
});

When(/^the write that has it (.+)$/, function (this: QueueSteps, what: string) {
  const result = RESULTS[what];
  assert.ok(result !== undefined);
  const taken = this.queue.take();
  assert.equal(taken.length, 1);
  this.queue.settle(taken, result, CONFIG_KEY);
});

When('600 ms pass before the next one', function (this: QueueSteps) {
  this.now += 600;
  assert.deepEqual(this.queue.take(), []);
});

When('the term ends before the next one', function (this: QueueSteps) {
  this.queue.close();
});

Then('its entry is told nothing yet', function (this: QueueSteps) {
  assert.deepEqual(this.told, []);
  assert.ok(!this.queue.isEmpty);
});

Then(
  /^its entry is told (done|exists|config-changed|refused|unknown)$/,
  function (this: QueueSteps, outcome: string) {
    assert.deepEqual(this.told, [outcome]);
    assert.ok(this.queue.isEmpty || this.taken.length > 0);
  },
);

Then('the write has the other one only', function (this: QueueSteps) {
  assert.deepEqual(
    this.taken.map(({ configVersion }) => configVersion),
    [CONFIG_VERSION + 1],
  );
});

Then('the write has {int}', function (this: QueueSteps, count: number) {
  assert.equal(this.taken.length, count);
});
