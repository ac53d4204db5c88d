import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { parseNumbers } from '../placing/placing-steps.support.js';
import { testStep, testSubmission } from '../testing/test-jobs.support.js';
import { selectSuspects } from './crash-record.js';
import { JobProgress } from './progress.js';

interface CrashSteps {
  suspects: readonly { ranMs: number }[];
  progress: JobProgress;
}

const REF = { occurrence: 0, step: 0, index: 0 };

/** A task that crashes its runner does so at this age, in ms. */
const START_CRASH_AGE_MS = 10;

/** Ages of runners: of one that has been up for long, and of one that has just come back. */
const LONG_RUNNER_AGE_MS = 60_000;
const RESTARTED_RUNNER_AGE_MS = 3000;

function startRun({ progress }: CrashSteps): number {
  return progress.startRuns([{ ref: REF, vm: 'vm', runner: 'life' }]);
}

function endRunAsLost({ progress }: CrashSteps, run: number): void {
  progress.endRun({ ref: REF, run, how: 'lost', checkpoint: '' }, { maxAttempts: 2 });
}

Given(
  /^a runner that crashed under runs of ([\d, and]+) ms$/,
  function (this: CrashSteps, ages: string) {
    this.suspects = selectSuspects(parseNumbers(ages).map((ranMs) => ({ ranMs })));
  },
);

Then(/^those of ([\d, and]+) ms are blamed$/, function (this: CrashSteps, ages: string) {
  assert.deepEqual(
    this.suspects.map(({ ranMs }) => ranMs),
    parseNumbers(ages),
  );
});

Given(/^a task that (lasts|ends)$/, function (this: CrashSteps, which: string) {
  const steps = [testStep({ lasting: which === 'lasts' })];
  this.progress = new JobProgress(testSubmission({ steps }));
});

When(
  /^(fresh )?runners crash under its runs, which were ([\d, and]+) ms old(, beside others as young)?$/,
  function (this: CrashSteps, fresh: string | null, ages: string, beside: string | null) {
    const livedMs = fresh === null ? LONG_RUNNER_AGE_MS : RESTARTED_RUNNER_AGE_MS;
    const isAlone = beside === null;
    parseNumbers(ages).forEach((ranMs) => {
      if (this.progress.outcome !== 'open') return;
      const run = startRun(this);
      assert.ok(this.progress.recordCrash({ ref: REF, run, ranMs, livedMs, isAlone }));
      endRunAsLost(this, run);
    });
  },
);

When(
  'the crash under one run of {int} ms is told {int} times',
  function (this: CrashSteps, ranMs: number, times: number) {
    const run = startRun(this);
    const told = Array.from({ length: times }, () =>
      this.progress.recordCrash({
        ref: REF,
        run,
        ranMs,
        livedMs: LONG_RUNNER_AGE_MS,
        isAlone: true,
      }),
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
    const run = startRun(this);
    endRunAsLost(this, run);
    startRun(this);
    assert.ok(
      this.progress.recordCrash({
        ref: REF,
        run,
        ranMs: START_CRASH_AGE_MS,
        livedMs: LONG_RUNNER_AGE_MS,
        isAlone: true,
      }),
    );
  },
);

Then(/^its job (has|hasn't) failed by it$/, function (this: CrashSteps, which: string) {
  assert.equal(this.progress.outcome, which === 'has' ? 'failed' : 'open');
});

Then('1 crash is counted', function (this: CrashSteps) {
  assert.equal(this.progress.findTask(REF)?.crashes?.atStart, 1);
});
