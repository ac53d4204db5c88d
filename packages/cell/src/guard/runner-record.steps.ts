import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { RunnerRecord } from './runner-record.js';

interface RecordSteps {
  record: RunnerRecord;
}

const RUN = { task: '0000000000000001.0.0.0', run: 1 };

/** When the contact is made, in ms. */
const TOLD_AT = 400;

function isRefused({ record }: RecordSteps): boolean {
  return record.contact(TOLD_AT, []).refused.some(({ task }) => task === RUN.task);
}

Given(
  'a runner whose stop of a run was answered at {int}',
  function (this: RecordSteps, at: number) {
    const report = {
      id: 'life-1',
      address: '127.0.0.1:1',
      service: 'render',
      failureDomain: 'hall',
      labels: [],
      capacity: { milliCores: 1, memoryMb: 1, accelerators: 1 },
      draining: false,
      sequence: 1,
    };
    this.record = new RunnerRecord({ report, now: 0 });
    this.record.noteListing({ clockMs: 0, running: [], ends: [] }, { sentAt: 10, now: 20 });
    this.record.noteStopped(RUN, at);
  },
);

Given('it was answered again at {int}', function (this: RecordSteps, at: number) {
  this.record.noteStopped(RUN, at);
});

When(
  'a listing that was asked for at {int} shows nothing of it',
  function (this: RecordSteps, sentAt: number) {
    this.record.noteListing({ clockMs: 0, running: [], ends: [] }, { sentAt, now: sentAt + 10 });
  },
);

Then('the run is told as refused', function (this: RecordSteps) {
  assert.ok(isRefused(this));
});

Then("the run isn't told as refused", function (this: RecordSteps) {
  assert.ok(!isRefused(this));
});

Then('another listing is wanted at once', function (this: RecordSteps) {
  assert.ok(this.record.awaitsListing);
});
