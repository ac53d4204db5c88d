import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { CellContact, RunnerFacts } from '@zincspan/core';
import { Worker } from '../worker/worker.js';
import { grantLease } from './lease-duration.js';

const HOLD_MS = 6000;

const EMPTY: CellContact = { running: [], ends: [], inProgress: [], refused: [] };

const RUNNER: RunnerFacts = {
  id: 'runner-1',
  service: 'render',
  failureDomain: 'hall',
  labels: [],
  capacity: { milliCores: 1, memoryMb: 1, accelerators: 1 },
  draining: false,
  reachable: true,
  leaseLapsed: false,
};

const CONTACTS: Record<string, CellContact> = {
  'with a runner': { ...EMPTY, runner: RUNNER },
  'without a runner': EMPTY,
  'without a runner, with a start on its way': {
    ...EMPTY,
    inProgress: [{ task: '0000000000000001.0.0.0', run: 1 }],
  },
};

interface LeaseDurationSteps {
  worker: Worker;
  endedAt: number | undefined;
  passedOnMs: number;
}

Given('a worker whose lease ends in {int} ms', function (this: LeaseDurationSteps, ms: number) {
  this.worker = new Worker('worker-1');
  this.worker.grantLease(0, ms);
});

Given('a worker that has not made contact', function (this: LeaseDurationSteps) {
  this.worker = new Worker('worker-1');
});

When(
  /^its guard makes a contact (with a runner|without a runner(?:, with a start on its way)?)$/,
  function (this: LeaseDurationSteps, which: string) {
    const contact = CONTACTS[which];
    assert.ok(contact);
    this.endedAt = this.worker.leaseEndsAt;
    this.passedOnMs = grantLease(this.worker, contact, { now: 0, holdMs: HOLD_MS });
  },
);

Then(/^its lease (is|is not) extended$/, function (this: LeaseDurationSteps, isExtended: string) {
  const isLater = (this.worker.leaseEndsAt ?? 0) > (this.endedAt ?? 0);
  assert.equal(isLater, isExtended === 'is');
});

Then('the guard may pass nothing on', function (this: LeaseDurationSteps) {
  assert.equal(this.passedOnMs, 0);
});
