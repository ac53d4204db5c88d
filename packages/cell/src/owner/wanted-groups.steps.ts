import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import type { Step } from '../job/submission.js';
import { testStep, testSubmission, testOwnedJob } from '../testing/test-jobs.support.js';
import type { OwnedJob } from './owned-job.js';
import { wantedGroups, type RackPatience } from './wanted-groups.js';

interface WantedSteps {
  job: OwnedJob;
  now: number;
  expectedMs: number;
}

function newJob(step: Step): OwnedJob {
  return testOwnedJob(testSubmission({ steps: [step] }));
}

function wantsOneRack(
  { job, now, expectedMs }: WantedSteps,
  patience: Pick<RackPatience, 'isBusy' | 'claim'>,
): boolean {
  const [wanted] = wantedGroups(job, now, {
    ...patience,
    evacuatedRacks: new Set(),
    expectedMs: () => expectedMs,
  });
  assert.ok(wanted);
  return wanted.group.oneRack;
}

Given(
  'a task that wants the rack of its data and has just become ready',
  function (this: WantedSteps) {
    this.job = newJob(testStep({ preferredRack: 'r1' }));
    this.now = 0;
    this.expectedMs = 5000;
  },
);

Then(
  /^it (waits|doesn't wait) for that rack while rack (\w+) is evacuated$/,
  function (this: WantedSteps, verdict: string, rack: string) {
    const [wanted] = wantedGroups(this.job, this.now, {
      isBusy: false,
      claim: false,
      evacuatedRacks: new Set([rack]),
      expectedMs: () => this.expectedMs,
    });
    assert.equal(wanted?.group.rack, verdict === 'waits' ? 'r1' : undefined);
  },
);

Given(
  'a gang expected to take {int} s that has waited {int} s for its rack',
  function (this: WantedSteps, expectedS: number, waitedS: number) {
    this.job = newJob(testStep({ tasks: 2, gang: true, rackSensitive: true }));
    this.job.readySince.set('0.0', 0);
    this.now = waitedS * 1000;
    this.expectedMs = expectedS * 1000;
  },
);

Given(
  /^a (step|gang|step with 1 task to a worker) of 4 tasks, under the second of which a runner crashed( and which is done)?$/,
  function (this: WantedSteps, kind: string, done: string | null) {
    const bound = kind.startsWith('step with') ? { maxPerWorker: 1 } : {};
    this.job = newJob(testStep({ tasks: 4, gang: kind === 'gang', ...bound }));
    const { progress } = this.job;
    const tasks = [0, 1, 2, 3].map((index) => ({ occurrence: 0, step: 0, index }));
    const run = progress.startRuns(tasks.map((ref) => ({ ref, vm: 'vm', runner: 'life' })));
    const [, second] = tasks;
    assert.ok(second);
    assert.ok(
      progress.recordCrash({ ref: second, run, ranMs: 10, isAlone: true, livedMs: 60_000 }),
    );
    tasks.forEach((ref) => {
      const how = done !== null && ref === second ? 'done' : 'lost';
      progress.endRun({ ref, run, how, checkpoint: '' }, { maxAttempts: 2 });
    });
    this.now = 0;
    this.expectedMs = 1000;
  },
);

Then(
  /^the groups that may crash their runner are (.*), and the others (.*)$/,
  function (this: WantedSteps, suspects: string, others: string) {
    const patience = {
      isBusy: false,
      claim: false,
      evacuatedRacks: new Set<string>(),
      expectedMs: () => this.expectedMs,
    };
    const groups = wantedGroups(this.job, this.now, patience).map(({ group }) => group);
    const list = (isSuspect: boolean): string =>
      groups
        .filter((group) => group.isSuspect === isSuspect)
        .map(({ indexes }) => indexes.join(', '))
        .join(' ') || 'none';
    assert.equal(list(true), suspects);
    assert.equal(list(false), others);
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
