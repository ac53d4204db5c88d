import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { testStep, testSubmission } from '../testing/test-jobs.support.js';
import { packProgress, unpackProgress } from './job-rows.js';
import { JobProgress, type RunEndKind } from './progress.js';
import type { Submission } from './submission.js';

interface ProgressSteps {
  submission: Submission;
  progress: JobProgress;
  maxAttempts: number;
}

function refOf(index: number): { occurrence: number; step: number; index: number } {
  return { occurrence: 0, step: 0, index };
}

function startAll({ submission, progress }: ProgressSteps): number {
  const tasks = submission.steps[0]?.tasks ?? 0;
  return progress.startRuns(
    Array.from({ length: tasks }, (_, index) => ({ ref: refOf(index), vm: 'vm', runner: 'life' })),
  );
}

function endTaskRun(world: ProgressSteps, index: number, run: number, how: RunEndKind): boolean {
  const { progress, maxAttempts } = world;
  return progress.endRun({ ref: refOf(index), run, how, checkpoint: '' }, { maxAttempts });
}

Given(
  'a job of a gang of {int} task(s) and {int} attempts',
  function (this: ProgressSteps, tasks: number, attempts: number) {
    this.submission = testSubmission({ steps: [testStep({ tasks, gang: true })] });
    this.progress = new JobProgress(this.submission);
    this.maxAttempts = attempts;
  },
);

Given(
  'a job of {int} occurrences, due at {int} and every {int} ms',
  function (this: ProgressSteps, count: number, firstAtMs: number, everyMs: number) {
    this.submission = testSubmission({ schedule: { count, firstAtMs, everyMs } });
    this.progress = new JobProgress(this.submission);
  },
);

When('its run starts and two members end as failed', function (this: ProgressSteps) {
  const run = startAll(this);
  assert.ok(endTaskRun(this, 0, run, 'failed'));
  assert.ok(endTaskRun(this, 1, run, 'failed'));
});

When('its run starts and one member ends as done', function (this: ProgressSteps) {
  assert.ok(endTaskRun(this, 1, startAll(this), 'done'));
});

When('its runs end as lost, lapsed, stopped and broken', function (this: ProgressSteps) {
  (['lost', 'lapsed', 'stopped', 'broken'] as const).forEach((how) => {
    assert.ok(endTaskRun(this, 0, startAll(this), how));
  });
});

When(
  'its run is lost, the next one starts, and the first ends as done afterwards',
  function (this: ProgressSteps) {
    const first = startAll(this);
    assert.ok(endTaskRun(this, 0, first, 'lost'));
    assert.equal(startAll(this), first + 1);
    assert.equal(endTaskRun(this, 0, first, 'done'), false);
  },
);

Then(
  'it is running, with {int} failure(s) counted',
  function (this: ProgressSteps, failures: number) {
    assert.equal(this.progress.state, 'running');
    assert.equal(this.progress.findStep(refOf(0))?.failures, failures);
  },
);

Then('it is completed', function (this: ProgressSteps) {
  assert.equal(this.progress.state, 'completed');
});

Then(
  'by 999, 1000, 1600 and 9000 it has opened 0, 1, 2 and 3 occurrences',
  function (this: ProgressSteps) {
    const opened = [999, 1000, 1600, 9000].map((wallMs) => {
      this.progress.openDueOccurrences(wallMs);
      return this.progress.occurrences.length;
    });
    assert.deepEqual(opened, [0, 1, 2, 3]);
  },
);

Then('reading its row gives the same progress', function (this: ProgressSteps) {
  const read = unpackProgress(this.submission, packProgress(this.progress));
  assert.deepEqual(read.toRow(), this.progress.toRow());
});
