import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { testStep, testSubmission } from '../testing/cell-world.support.js';
import { JobProgress } from './progress.js';

interface CrashSteps {
  progress: JobProgress;
}

const REF = { occurrence: 0, step: 0, index: 0 };

/** A task that crashes its runner does so at this age, in ms. */
const YOUNG_MS = 10;

function start({ progress }: CrashSteps): number {
  return progress.startRuns([{ ref: REF, vm: 'vm', runner: 'life' }]);
}

function lose({ progress }: CrashSteps, run: number): void {
  progress.endRun({ ref: REF, run, how: 'lost', checkpoint: '' }, { maxAttempts: 2 });
}

Given(/^a task that (lasts|ends)$/, function (this: CrashSteps, which: string) {
  const steps = [testStep({ lasting: which === 'lasts' })];
  this.progress = new JobProgress(testSubmission({ steps }));
});

When(
  /^runners crash under its runs, which were ([\d, and]+) ms old$/,
  function (this: CrashSteps, ages: string) {
    (ages.match(/\d+/g) ?? []).map(Number).forEach((ranMs) => {
      const run = start(this);
      assert.ok(this.progress.noteCrash({ ref: REF, run, ranMs }));
      lose(this, run);
    });
  },
);

When(
  'the crash under one run of {int} ms is told {int} times',
  function (this: CrashSteps, ranMs: number, times: number) {
    const run = start(this);
    const told = Array.from({ length: times }, () =>
      this.progress.noteCrash({ ref: REF, run, ranMs }),
    );
    assert.deepEqual(
      told,
      told.map((_, index) => index === 0),
    );
  },
);

When(
  'its run is lost, the next one starts, and the crash under the first is told',
  function (this: CrashSteps) {
    const run = start(this);
    lose(this, run);
    start(this);
    assert.ok(this.progress.noteCrash({ ref: REF, run, ranMs: YOUNG_MS }));
  },
);

Then(/^its job (has|hasn't) failed by it$/, function (this: CrashSteps, which: string) {
  assert.equal(this.progress.outcome, which === 'has' ? 'failed' : 'open');
});

Then('1 crash is counted', function (this: CrashSteps) {
  assert.equal(this.progress.findTask(REF)?.crashes?.atStart, 1);
});
