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

const START_CRASH_AGE_MS = 10;

/** Ages of a runner that has been up for long and of one that has recently restarted. */
const LONG_RUNNER_AGE_MS = 60_000;
const RESTARTED_RUNNER_AGE_MS = 3000;

function startRun({ progress }: CrashSteps): number {
  return progress.startRuns([{ ref: REF, vm: 'vm', runner: 'life' }]);
}

function endRunAsLost({ progress }: CrashSteps, run: number): void {
  progress.endRun({ ref: REF, run, how: 'lost', checkpoint: '' }, { maxAttempts: 2 });
}

Given(
  /^a runner that crashed during runs of ([\d, and]+) ms$/,
  function (this: CrashSteps, ages: string) {
    this.suspects = selectSuspects(parseNumbers(ages).map((ranMs) => ({ ranMs })));
  },
);

Then(/^those of ([\d, and]+) ms are suspects$/, function (this: CrashSteps, ages: string) {
  assert.deepEqual(
    this.suspects.map(({ ranMs }) => ranMs),
    parseNumbers(ages),
  );
});

Given(/^a (lasting|finite) task$/, function (this: CrashSteps, which: string) {
  const steps = [testStep({ lasting: which === 'lasting' })];
  this.progress = new JobProgress(testSubmission({ steps }));
});

When(
  /^(restarted )?runners crash during its runs, aged ([\d, and]+) ms(, next to other jobs' runs of the same age)?$/,
  function (this: CrashSteps, restarted: string | null, ages: string, others: string | null) {
    const livedMs = restarted === null ? LONG_RUNNER_AGE_MS : RESTARTED_RUNNER_AGE_MS;
    const isAlone = others === null;
    parseNumbers(ages).forEach((ranMs) => {
      if (this.progress.outcome !== 'open') return;
      const run = startRun(this);
      assert.ok(this.progress.recordCrash({ ref: REF, run, ranMs, livedMs, isAlone }));
      endRunAsLost(this, run);
    });
  },
);

When(
  'the crash during one run of {int} ms is reported {int} times',
  function (this: CrashSteps, ranMs: number, times: number) {
    const run = startRun(this);
    const counted = Array.from({ length: times }, () =>
      this.progress.recordCrash({
        ref: REF,
        run,
        ranMs,
        livedMs: LONG_RUNNER_AGE_MS,
        isAlone: true,
      }),
    );
    assert.deepEqual(
      counted,
      counted.map((_, index) => index === 0),
    );
  },
);

When(
  'its run is lost, the next one starts, and the crash during the first is reported',
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

Then(/^its job is (failed|open)$/, function (this: CrashSteps, which: string) {
  assert.equal(this.progress.outcome, which === 'failed' ? 'failed' : 'open');
});

Then('1 crash is counted', function (this: CrashSteps) {
  assert.equal(this.progress.findTask(REF)?.crashes?.atStart, 1);
});
