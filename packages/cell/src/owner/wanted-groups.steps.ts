import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import { testStep, testSubmission } from '../testing/cell-world.support.js';
import { OwnedJob } from './owned-job.js';
import { wantedGroups, type RackPatience } from './wanted-groups.js';

interface WantedSteps {
  job: OwnedJob;
  now: number;
  expectedMs: number;
}

function wantsOneRack(
  { job, now, expectedMs }: WantedSteps,
  patience: Pick<RackPatience, 'isBusy' | 'claim'>,
): boolean {
  const [wanted] = wantedGroups(job, now, { ...patience, expectedMs: () => expectedMs });
  assert.ok(wanted);
  return wanted.group.oneRack;
}

Given(
  'a gang expected to take {int} s that has waited {int} s for its rack',
  function (this: WantedSteps, expectedS: number, waitedS: number) {
    const step = testStep({ tasks: 2, gang: true, rackSensitive: true });
    const submission = testSubmission({ steps: [step] });
    const { id } = submission;
    const row = { id, submission, submissionVersion: 1, progressVersion: 0, cancelled: false };
    this.job = new OwnedJob(row);
    this.job.readySince.set('0.0', 0);
    this.now = waitedS * 1000;
    this.expectedMs = expectedS * 1000;
  },
);

Then(
  /^it (wants one rack|takes any racks) while the service is busy$/,
  function (this: WantedSteps, what: string) {
    const oneRack = wantsOneRack(this, { isBusy: true, claim: false });
    assert.equal(oneRack, what === 'wants one rack');
  },
);

Then('it takes any racks while most of the service is idle', function (this: WantedSteps) {
  assert.equal(wantsOneRack(this, { isBusy: false, claim: false }), false);
});

Then('it takes any racks as a claim', function (this: WantedSteps) {
  assert.equal(wantsOneRack(this, { isBusy: true, claim: true }), false);
});
