import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { CellContact, RunName } from '@zincspan/core';
import type { TimestampedRun } from './outage-tracker.js';
import { RunnerState } from './runner-state.js';

interface StateSteps {
  state: RunnerState;
  pendingStarts?: TimestampedRun[];
  /** A pending start may be sent again. */
  mayStillStart?: boolean;
}

const RUN = { task: '0000000000000001.0.0.0', run: 1 };

const OTHER_TASK = '0000000000000002.0.0.0';
const SENT_TASK = '0000000000000003.0.0.0';

/** Time of the contact, in ms. */
const CONTACT_AT = 400;

function isRefused({ state }: StateSteps): boolean {
  const { refused } = state.contact(CONTACT_AT, [], { mayStillStart: false });
  return refused.some(({ task }) => task === RUN.task);
}

function contactOf({ state }: StateSteps): CellContact {
  return state.contact(CONTACT_AT, [], { mayStillStart: false });
}

/** A listing without running runs, with the end of one run. */
function listEnd(
  { state }: StateSteps,
  { task, run, hasMoreEnds, sentAt }: RunName & { hasMoreEnds: boolean; sentAt: number },
): void {
  const ends = [{ number: 1, task, run, how: 'done' as const, checkpoint: '' }];
  state.noteListing(
    { clockMs: 0, running: [], ends, hasMoreEnds, bornMs: undefined },
    { sentAt, now: sentAt + 10 },
  );
}

function newState(): RunnerState {
  const heartbeat = {
    id: 'runner-1',
    address: '127.0.0.1:1',
    service: 'render',
    failureDomain: 'hall',
    labels: [],
    capacity: { milliCores: 1, memoryMb: 1, accelerators: 1 },
    draining: false,
    bornMs: undefined,
    sequence: 1,
  };
  return new RunnerState({ heartbeat, now: 0 });
}

Given('a runner that answered the stop of a run at {int}', function (this: StateSteps, at: number) {
  this.state = newState();
  this.state.noteListing(
    { clockMs: 0, running: [], ends: [], hasMoreEnds: false, bornMs: undefined },
    { sentAt: 10, now: 20 },
  );
  this.state.noteStopped(RUN, at);
});

Given(
  'a runner that answered the start of a run at {int}',
  function (this: StateSteps, at: number) {
    this.state = newState();
    this.state.noteStarted(RUN, at);
  },
);

Given('a runner that refused a run at {int}', function (this: StateSteps, at: number) {
  this.state = newState();
  this.state.noteRefused({ ...RUN, reason: 'old', at });
});

When(
  'a listing requested at {int} shows other ends only, and there are more',
  function (this: StateSteps, sentAt: number) {
    listEnd(this, { task: OTHER_TASK, run: 1, hasMoreEnds: true, sentAt });
  },
);

When(
  'a listing requested at {int} shows the end of the run',
  function (this: StateSteps, sentAt: number) {
    listEnd(this, { ...RUN, hasMoreEnds: false, sentAt });
  },
);

Then('the run is reported as in progress', function (this: StateSteps) {
  const { running, inProgress } = contactOf(this);
  assert.deepEqual(inProgress, [RUN]);
  assert.deepEqual(running, []);
});

Then('the run is reported as ended', function (this: StateSteps) {
  const { ends, inProgress } = contactOf(this);
  assert.deepEqual(
    ends.map(({ task }) => task),
    [RUN.task],
  );
  assert.deepEqual(inProgress, []);
});

Given('a runner that lists a run at {int}', function (this: StateSteps, at: number) {
  this.state = newState();
  const running = [{ ...RUN, checkpoint: '', percent: 3 }];
  this.state.noteListing(
    { clockMs: 0, running, ends: [], hasMoreEnds: false, bornMs: undefined },
    { sentAt: at, now: at + 10 },
  );
});

Given('another run started there at {int}', function (this: StateSteps, at: number) {
  this.state.noteStarted({ ...RUN, task: OTHER_TASK }, at);
});

Given("a start was sent at {int} and isn't answered", function (this: StateSteps, at: number) {
  this.pendingStarts = [{ task: SENT_TASK, run: 2, at }];
});

When(
  'a call gets no answer at {int}, and again at {int}',
  function (this: StateSteps, first: number, second: number) {
    const pendingStarts = this.pendingStarts ?? [];
    assert.ok(this.state.noteNoAnswer(first, pendingStarts));
    assert.equal(this.state.noteNoAnswer(second, pendingStarts), false);
  },
);

When(
  "a call gets no answer at {int}, which isn't the first",
  function (this: StateSteps, at: number) {
    assert.equal(this.state.noteNoAnswer(at, this.pendingStarts ?? []), false);
  },
);

Then(
  '{int} runs were there, for {int} and {int} ms',
  function (this: StateSteps, count: number, first: number, second: number) {
    const ages = this.state.outage?.runs.map(({ ranMs }) => ranMs) ?? [];
    assert.equal(ages.length, count);
    assert.deepEqual(ages, [first, second]);
  },
);

Then(
  '{int} runs were there, for {int}, {int} and {int} ms',
  function (this: StateSteps, count: number, first: number, second: number, third: number) {
    const ages = this.state.outage?.runs.map(({ ranMs }) => ranMs) ?? [];
    assert.equal(ages.length, count);
    assert.deepEqual(ages, [first, second, third]);
  },
);

Then('it has no outage', function (this: StateSteps) {
  assert.equal(this.state.outage, undefined);
});

Given('it was given a lease until {int}', function (this: StateSteps, until: number) {
  this.state.lease.grant(0, until);
  assert.ok(this.state.lease.deadline(until - 1) !== undefined);
});

When(
  /^it stops answering and a start there (is being blocked|may be sent again)$/,
  function (this: StateSteps, what: string) {
    this.mayStillStart = what === 'may be sent again';
  },
);

Then(
  /^at (\d+) its lease (has|hasn't) lapsed$/,
  function (this: StateSteps, at: string, what: string) {
    const mayStillStart = this.mayStillStart ?? false;
    const { runner } = this.state.contact(Number(at), [RUN], { mayStillStart });
    assert.equal(runner?.leaseLapsed, what === 'has');
  },
);

Given('it answered the stop again at {int}', function (this: StateSteps, at: number) {
  this.state.noteStopped(RUN, at);
});

When(
  "a listing requested at {int} doesn't show the run",
  function (this: StateSteps, sentAt: number) {
    this.state.noteListing(
      { clockMs: 0, running: [], ends: [], hasMoreEnds: false, bornMs: undefined },
      { sentAt, now: sentAt + 10 },
    );
  },
);

Then('the run is reported as refused', function (this: StateSteps) {
  assert.ok(isRefused(this));
});

Then("the run isn't reported as refused", function (this: StateSteps) {
  assert.ok(!isRefused(this));
});

Then('another listing is needed at once', function (this: StateSteps) {
  assert.ok(this.state.needsListing);
});
