import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import { DurationEstimator } from './duration-estimator.js';

interface DurationSteps {
  estimator: DurationEstimator;
}

const QUEUE = 'proofs';
const RUN_COUNT = 40;

/** Estimates from 200 to 8000 ms, evenly spaced on a logarithmic scale. */
function estimates(): number[] {
  return Array.from({ length: RUN_COUNT }, (_, each) => 200 * 40 ** (each / (RUN_COUNT - 1)));
}

function recordRuns(world: DurationSteps, actualOf: (estimateMs: number) => number): void {
  const estimator = new DurationEstimator();
  estimates().forEach((estimateMs) => {
    estimator.recordEstimate(QUEUE, estimateMs);
    estimator.recordRun(QUEUE, { estimateMs, actualMs: actualOf(estimateMs) });
  });
  Object.assign(world, { estimator });
}

Given('estimates of 1000, 1000 and 8000 ms', function (this: DurationSteps) {
  this.estimator = new DurationEstimator();
  [1000, 1000, 8000].forEach((estimateMs) => this.estimator.recordEstimate(QUEUE, estimateMs));
});

Given('40 runs of 2000 ms with estimates from 200 to 8000 ms', function (this: DurationSteps) {
  recordRuns(this, () => 2000);
});

Given(
  '40 runs that took as long as estimated, from 200 to 8000 ms',
  function (this: DurationSteps) {
    recordRuns(this, (estimateMs) => estimateMs);
  },
);

Then(
  'a task estimated at {int} ms is expected to take {int} ms, with an error of at most {int} in 100',
  function (this: DurationSteps, estimateMs: number, expectedMs: number, tolerance: number) {
    const ratio = this.estimator.expectedMs(QUEUE, estimateMs) / expectedMs;
    assert.ok(Math.abs(ratio - 1) <= tolerance / 100, `ratio ${ratio}`);
  },
);
