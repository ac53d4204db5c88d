import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import { admit, type AdmissionState } from './admission.js';
import { DrainRate } from './drain-rate.js';

interface World {
  admission: AdmissionState;
}

Given(
  '{int} jobs wait where {int} may, and 1 leaves every {int} ms',
  function (this: World, queued: number, mayQueue: number, everyMs: number) {
    this.admission = {
      account: 'tuul',
      accountQueued: 0,
      accountMayQueue: 1000,
      queued,
      mayQueue,
      accountDrainPerMs: 1 / everyMs,
      drainPerMs: 1 / everyMs,
      expectedWaitMs: 0,
      expectedRunMs: 0,
    };
  },
);

Given(
  'the account has {int} of {int} jobs waiting',
  function (this: World, accountQueued: number, accountMayQueue: number) {
    Object.assign(this.admission, { accountQueued, accountMayQueue });
  },
);

Given(
  'a contract of {int} ms with {int} ms to wait and {int} ms to run',
  function (this: World, withinMs: number, expectedWaitMs: number, expectedRunMs: number) {
    Object.assign(this.admission, { withinMs, expectedWaitMs, expectedRunMs });
  },
);

Then(
  'job admission refuses as {string} with {int} ms to come back',
  function (this: World, kind: string, retryAfterMs: number) {
    const admission = admit(this.admission);
    assert.ok(admission.type === 'refuse');
    assert.equal(admission.problem.kind, kind);
    assert.equal(admission.problem.ran, 'not-run');
    assert.equal(admission.problem.retryAfterMs, retryAfterMs);
  },
);

Then('job admission says {int} ms are expected', function (this: World, expectedMs: number) {
  assert.deepEqual(admit(this.admission), { type: 'late', expectedMs, withinMs: 6000 });
});

Then(
  'a drain of one job every {int} ms is measured within {int} percent after {int} ms',
  function (everyMs: number, percent: number, untilMs: number) {
    const drain = new DrainRate();
    for (let now = 0; now <= untilMs; now += everyMs) drain.note(now);
    const measured = drain.perMs(untilMs) * everyMs;
    assert.ok(Math.abs(measured - 1) < percent / 100, `${measured}`);
  },
);
