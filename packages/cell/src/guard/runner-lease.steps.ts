import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { RunnerLease } from './runner-lease.js';

interface LeaseSteps {
  lease: RunnerLease;
}

Given(
  "the runner's clock showed {int} at {int}",
  function (this: LeaseSteps, runnerMs: number, at: number) {
    this.lease = new RunnerLease();
    this.lease.noteClock(runnerMs, at);
  },
);

When(
  'a contact sent at {int} is answered with a lease of {int} ms',
  function (this: LeaseSteps, sentAt: number, leaseMs: number) {
    this.lease.grant(sentAt, leaseMs);
  },
);

Then('at {int} the deadline is {int}', function (this: LeaseSteps, now: number, deadline: number) {
  assert.equal(this.lease.deadline(now), deadline);
});

Then('at {int} there is no deadline', function (this: LeaseSteps, now: number) {
  assert.equal(this.lease.deadline(now), undefined);
});

Then('at {int} the lease has not expired', function (this: LeaseSteps, now: number) {
  assert.equal(this.lease.hasExpired(now), false);
});

Then('at {int} the lease has expired', function (this: LeaseSteps, now: number) {
  assert.equal(this.lease.hasExpired(now), true);
});
