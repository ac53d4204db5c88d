import assert from 'node:assert/strict';
import { Then, When } from '@cucumber/cucumber';
import { elapsedMs } from './elapsed-time.js';

interface ElapsedTimeSteps {
  elapsed: number;
}

const START = { monotonicMs: 500, wallMs: 1_700_000_000_000, uptimeMs: 90_000 };

When(
  /^(\S+) s pass on the monotonic clock, (\S+) s on the wall clock and (\S+) s of uptime$/,
  function (this: ElapsedTimeSteps, monotonic: string, wall: string, uptime: string) {
    this.elapsed = elapsedMs(START, {
      monotonicMs: START.monotonicMs + Number(monotonic) * 1000,
      wallMs: START.wallMs + Number(wall) * 1000,
      uptimeMs: START.uptimeMs + Number(uptime) * 1000,
    });
  },
);

Then('{int} s have passed', function (this: ElapsedTimeSteps, seconds: number) {
  assert.equal(this.elapsed, seconds * 1000);
});
