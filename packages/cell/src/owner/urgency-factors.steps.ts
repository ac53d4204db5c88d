import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { DurationEstimator } from '../placing/duration-estimator.js';
import { FleetProfile } from '../placing/fleet-profile.js';
import { urgencyOf, type UrgencyFactors } from '../placing/job-urgency.js';
import { testStep, testSubmission, testOwnedJob } from '../testing/test-jobs.support.js';
import type { OwnedJob } from './owned-job.js';
import { QueueMeanWork, objectiveMs, urgencyFactorsOf } from './urgency-factors.js';

interface UrgencyFactorsSteps {
  job: OwnedJob;
}

function factorsAt({ job }: UrgencyFactorsSteps, ageMs: number): UrgencyFactors {
  return urgencyFactorsOf(job, {
    isGuaranteed: false,
    wallMs: ageMs,
    profile: new FleetProfile([]),
    queueMeans: new QueueMeanWork(),
    durations: new DurationEstimator(),
    occurrence: 0,
  });
}

Given(
  /^a job of (\d) tasks with an estimate of (\d) s, a stretch of ([\d.]+) and (\d+) ms$/,
  function (
    this: UrgencyFactorsSteps,
    tasks: string,
    seconds: string,
    stretch: string,
    ms: string,
  ) {
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
    this.job = testOwnedJob(submission);
  },
);

When('one of them took {int} s', function (this: UrgencyFactorsSteps, seconds: number) {
  const [step] = this.job.submission.steps;
  assert.ok(step);
  this.job.noteTaskDuration(step, seconds * 1000);
});

When('a run of one of its tasks failed', function (this: UrgencyFactorsSteps) {
  const { progress } = this.job;
  const ref = { occurrence: 0, step: 0, index: 1 };
  const run = progress.startRuns([{ ref, vm: 'vm-1', runner: 'runner-1' }]);
  progress.endRun({ ref, run, how: 'failed', checkpoint: '' }, { maxAttempts: 2 });
});

Then('its objective is {int} ms', function (this: UrgencyFactorsSteps, expected: number) {
  assert.equal(Math.round(objectiveMs(this.job, new DurationEstimator())), expected);
});

Then(
  'at an age of {int} ms it is late, but not useless',
  function (this: UrgencyFactorsSteps, ageMs: number) {
    const factors = factorsAt(this, ageMs);
    const inTime = urgencyOf({ ...factors, objectiveMs: 10 * ageMs });
    const past = urgencyOf({ ...factors, objectiveMs: ageMs / 10 });
    assert.ok(urgencyOf(factors) < inTime);
    assert.ok(urgencyOf(factors) > past);
  },
);
