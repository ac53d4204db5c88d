import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { TimedRun } from './present-runs.js';
import { RunnerRecord } from './runner-record.js';

interface RecordSteps {
  record: RunnerRecord;
  sent?: TimedRun[];
  /** A start there may be sent again. */
  mayStart?: boolean;
}

const RUN = { task: '0000000000000001.0.0.0', run: 1 };

const OTHER_TASK = '0000000000000002.0.0.0';
const SENT_TASK = '0000000000000003.0.0.0';

/** When the contact is made, in ms. */
const TOLD_AT = 400;

function isRefused({ record }: RecordSteps): boolean {
  const { refused } = record.contact(TOLD_AT, [], { mayStart: false });
  return refused.some(({ task }) => task === RUN.task);
}

function newRecord(): RunnerRecord {
  const report = {
    id: 'life-1',
    address: '127.0.0.1:1',
    service: 'render',
    failureDomain: 'hall',
    labels: [],
    capacity: { milliCores: 1, memoryMb: 1, accelerators: 1 },
    draining: false,
    bornMs: undefined,
    sequence: 1,
  };
  return new RunnerRecord({ report, now: 0 });
}

Given(
  'a runner whose stop of a run was answered at {int}',
  function (this: RecordSteps, at: number) {
    this.record = newRecord();
    this.record.noteListing(
      { clockMs: 0, running: [], ends: [], bornMs: undefined },
      { sentAt: 10, now: 20 },
    );
    this.record.noteStopped(RUN, at);
  },
);

Given('a runner that lists a run at {int}', function (this: RecordSteps, at: number) {
  this.record = newRecord();
  const running = [{ ...RUN, checkpoint: '', percent: 3 }];
  this.record.noteListing(
    { clockMs: 0, running, ends: [], bornMs: undefined },
    { sentAt: at, now: at + 10 },
  );
});

Given('another run started there at {int}', function (this: RecordSteps, at: number) {
  this.record.noteStarted({ ...RUN, task: OTHER_TASK }, at);
});

Given("a start was sent at {int} and isn't answered", function (this: RecordSteps, at: number) {
  this.sent = [{ task: SENT_TASK, run: 2, at }];
});

When(
  'a call gets no answer at {int}, and again at {int}',
  function (this: RecordSteps, first: number, second: number) {
    const sent = this.sent ?? [];
    assert.ok(this.record.noteNoAnswer(first, sent));
    assert.equal(this.record.noteNoAnswer(second, sent), false);
  },
);

When(
  "a call gets no answer at {int}, which isn't the first",
  function (this: RecordSteps, at: number) {
    assert.equal(this.record.noteNoAnswer(at, this.sent ?? []), false);
  },
);

Then(
  '{int} runs were there, of {int} and {int} ms',
  function (this: RecordSteps, count: number, first: number, second: number) {
    const ages = this.record.silence?.runs.map(({ ranMs }) => ranMs) ?? [];
    assert.equal(ages.length, count);
    assert.deepEqual(ages, [first, second]);
  },
);

Then(
  '{int} runs were there, of {int}, {int} and {int} ms',
  function (this: RecordSteps, count: number, first: number, second: number, third: number) {
    const ages = this.record.silence?.runs.map(({ ranMs }) => ranMs) ?? [];
    assert.equal(ages.length, count);
    assert.deepEqual(ages, [first, second, third]);
  },
);

Then("it isn't silent", function (this: RecordSteps) {
  assert.equal(this.record.silence, undefined);
});

Given('it was handed a lease until {int}', function (this: RecordSteps, until: number) {
  this.record.lease.grant(0, until);
  assert.ok(this.record.lease.deadline(until - 1) !== undefined);
});

When(
  /^it gives no answer any more and a start there (is being barred|may be sent again)$/,
  function (this: RecordSteps, what: string) {
    this.mayStart = what === 'may be sent again';
  },
);

Then(
  /^at (\d+) its lease (has|hasn't) lapsed$/,
  function (this: RecordSteps, at: string, what: string) {
    const mayStart = this.mayStart ?? false;
    const { runner } = this.record.contact(Number(at), [RUN], { mayStart });
    assert.equal(runner?.leaseLapsed, what === 'has');
  },
);

Given('it was answered again at {int}', function (this: RecordSteps, at: number) {
  this.record.noteStopped(RUN, at);
});

When(
  'a listing that was asked for at {int} shows nothing of it',
  function (this: RecordSteps, sentAt: number) {
    this.record.noteListing(
      { clockMs: 0, running: [], ends: [], bornMs: undefined },
      { sentAt, now: sentAt + 10 },
    );
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
