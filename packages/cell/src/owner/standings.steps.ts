import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { DurationEstimator } from '../placing/duration-estimator.js';
import { urgencyOf, type UrgencyFactors } from '../placing/job-urgency.js';
import { testStep, testSubmission, testOwnedJob } from '../testing/test-jobs.support.js';
import type { OwnedJob } from './owned-job.js';
import { QueueMeans, objectiveMs, standingOf } from './standings.js';

interface StandingSteps {
  standingJob: OwnedJob;
}

function standingAt({ standingJob }: StandingSteps, ageMs: number): UrgencyFactors {
  return standingOf(standingJob, {
    claim: false,
    wallMs: ageMs,
    means: new QueueMeans(),
    durations: new DurationEstimator(),
    occurrence: 0,
  });
}

Given(
  /^a job of (\d) tasks with an estimate of (\d) s, a stretch of ([\d.]+) and (\d+) ms$/,
  function (this: StandingSteps, tasks: string, seconds: string, stretch: string, ms: string) {
    const submission = testSubmission({
      terms: {
        service: 'render',
        priority: 0,
        maxAttempts: 2,
        stretch: Number(stretch),
        targetLatencyMs: Number(ms),
        needsAdvice: false,
      },
      steps: [testStep({ tasks: Number(tasks), estimateMs: Number(seconds) * 1000 })],
    });
    this.standingJob = testOwnedJob(submission);
  },
);

When('one of them took {int} s', function (this: StandingSteps, seconds: number) {
  const [step] = this.standingJob.submission.steps;
  assert.ok(step);
  this.standingJob.noteTook(step, seconds * 1000);
});

When('a run of one of its tasks failed', function (this: StandingSteps) {
  const { progress } = this.standingJob;
  const ref = { occurrence: 0, step: 0, index: 1 };
  const run = progress.startRuns([{ ref, vm: 'vm-1', runner: 'runner-1' }]);
  progress.endRun({ ref, run, how: 'failed', checkpoint: '' }, { maxAttempts: 2 });
});

Then('its objective is {int} ms', function (this: StandingSteps, expected: number) {
  assert.equal(Math.round(objectiveMs(this.standingJob, new DurationEstimator())), expected);
});

Then(
  'at an age of {int} ms it is late, but not past all use',
  function (this: StandingSteps, ageMs: number) {
    const standing = standingAt(this, ageMs);
    const inTime = urgencyOf({ ...standing, objectiveMs: 10 * ageMs });
    const past = urgencyOf({ ...standing, objectiveMs: ageMs / 10 });
    assert.ok(urgencyOf(standing) < inTime);
    assert.ok(urgencyOf(standing) > past);
  },
);
