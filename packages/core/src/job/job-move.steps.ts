import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { changeJob, type JobChangeResult } from './job-machine.js';
import { jobRowSchema, type JobRow } from './job.js';

interface MoveWorld {
  moving: JobRow;
  result: JobChangeResult;
}

Given(
  'a moving job that is {string} in {string} after attempt {int}',
  function (this: MoveWorld, state: string, failureDomain: string, attempt: number) {
    this.moving = jobRowSchema.parse({
      id: 'reel',
      account: 'tuul',
      failureDomain,
      spec: { kind: 'render', shape: { tasks: 1, acceleratorsPerTask: 8 } },
      digest: '',
      state,
      attempt,
      term: 1,
      submittedAt: 1,
    });
  },
);

Given('the moving job belongs to a claim', function (this: MoveWorld) {
  this.moving = { ...this.moving, spec: { ...this.moving.spec, claim: 'claim-1' } };
});

Given("the moving job's cancellation was requested", function (this: MoveWorld) {
  this.moving = { ...this.moving, cancelRequested: true };
});

When(
  'it moves to {string} after attempt number {int} was tried',
  function (this: MoveWorld, failureDomain: string, lastAttempt: number) {
    this.result = changeJob(this.moving, { type: 'move', failureDomain, lastAttempt });
    if (this.result.ok) this.moving = this.result.row;
  },
);

Then(
  'its moved row says {string}, attempt {int} and last attempt {int}',
  function (this: MoveWorld, failureDomain: string, attempt: number, lastAttempt: number) {
    assert.ok(this.result.ok);
    const { row } = this.result;
    assert.deepEqual(
      [row.failureDomain, row.attempt, row.lastAttempt],
      [failureDomain, attempt, lastAttempt],
    );
    assert.equal(row.state, 'queued');
  },
);

Then('its move is refused', function (this: MoveWorld) {
  assert.equal(this.result.ok, false);
});
