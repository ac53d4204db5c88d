import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import { DurationBook } from './duration-book.js';

interface DurationSteps {
  book: DurationBook;
}

const QUEUE = 'proofs';
const RUNS = 40;

/** Estimates from 200 to 8000 ms, evenly on a logarithmic scale. */
function estimates(): number[] {
  return Array.from({ length: RUNS }, (_, each) => 200 * 40 ** (each / (RUNS - 1)));
}

function noteRuns(world: DurationSteps, actualOf: (estimateMs: number) => number): void {
  const book = new DurationBook();
  estimates().forEach((estimateMs) => {
    book.noteEstimate(QUEUE, estimateMs);
    book.noteRun(QUEUE, { estimateMs, actualMs: actualOf(estimateMs) });
  });
  Object.assign(world, { book });
}

Given('estimates of 1000, 1000 and 8000 ms', function (this: DurationSteps) {
  this.book = new DurationBook();
  [1000, 1000, 8000].forEach((estimateMs) => this.book.noteEstimate(QUEUE, estimateMs));
});

Given('40 runs of 2000 ms with estimates from 200 to 8000 ms', function (this: DurationSteps) {
  noteRuns(this, () => 2000);
});

Given('40 runs that took what was estimated, from 200 to 8000 ms', function (this: DurationSteps) {
  noteRuns(this, (estimateMs) => estimateMs);
});

Then(
  'a task estimated at {int} ms is expected to take {int} ms, give or take {int} of 100',
  function (this: DurationSteps, estimateMs: number, expectedMs: number, tolerance: number) {
    const ratio = this.book.expectedMs(QUEUE, estimateMs) / expectedMs;
    assert.ok(Math.abs(ratio - 1) <= tolerance / 100, `ratio ${ratio}`);
  },
);
