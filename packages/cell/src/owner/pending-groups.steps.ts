import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import type { Step } from '../job/submission.js';
import { testStep, testSubmission, testOwnedJob } from '../testing/test-jobs.support.js';
import type { OwnedJob } from './owned-job.js';
import { pendingGroups, type RackWaitPolicy } from './pending-groups.js';

interface PendingGroupSteps {
  job: OwnedJob;
  now: number;
  expectedMs: number;
}

function newJob(step: Step): OwnedJob {
  return testOwnedJob(testSubmission({ steps: [step] }));
}

function waitsForOneRack(
  { job, now, expectedMs }: PendingGroupSteps,
  rackWait: Pick<RackWaitPolicy, 'isBusy' | 'isGuaranteed'>,
): boolean {
  const [pending] = pendingGroups(job, now, {
    ...rackWait,
    evacuatedRacks: new Set(),
    expectedMs: () => expectedMs,
  });
  assert.ok(pending);
  return pending.group.oneRack;
}

Given(
  'a task that prefers the rack of its data and has just become ready',
  function (this: PendingGroupSteps) {
    this.job = newJob(testStep({ preferredRack: 'r1' }));
    this.now = 0;
    this.expectedMs = 5000;
  },
);

Then(
  /^it (waits|doesn't wait) for that rack while rack (\w+) is evacuated$/,
  function (this: PendingGroupSteps, verdict: string, rack: string) {
    const [pending] = pendingGroups(this.job, this.now, {
      isBusy: false,
      isGuaranteed: false,
      evacuatedRacks: new Set([rack]),
      expectedMs: () => this.expectedMs,
    });
    assert.equal(pending?.group.rack, verdict === 'waits' ? 'r1' : undefined);
  },
);

Given(
  'a gang expected to take {int} s that has waited {int} s for its rack',
  function (this: PendingGroupSteps, expectedS: number, waitedS: number) {
    this.job = newJob(testStep({ tasks: 2, gang: true, rackSensitive: true }));
    this.job.readySince.set('0.0', 0);
    this.now = waitedS * 1000;
    this.expectedMs = expectedS * 1000;
  },
);

Given(
  /^a (step|gang|step with 1 task to a worker) of 4 tasks, the second of which ran when its runner crashed( and is done)?$/,
  function (this: PendingGroupSteps, kind: string, done: string | null) {
    const limit = kind.startsWith('step with') ? { maxPerWorker: 1 } : {};
    this.job = newJob(testStep({ tasks: 4, gang: kind === 'gang', ...limit }));
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
  /^the groups suspected of crashing their runner are (.*), and the others (.*)$/,
  function (this: PendingGroupSteps, suspects: string, others: string) {
    const rackWait = {
      isBusy: false,
      isGuaranteed: false,
      evacuatedRacks: new Set<string>(),
      expectedMs: () => this.expectedMs,
    };
    const groups = pendingGroups(this.job, this.now, rackWait).map(({ group }) => group);
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
  /^it (waits for one rack|accepts any racks) while the service is busy$/,
  function (this: PendingGroupSteps, what: string) {
    const oneRack = waitsForOneRack(this, { isBusy: true, isGuaranteed: false });
    assert.equal(oneRack, what === 'waits for one rack');
  },
);

Then('it accepts any racks while most of the service is idle', function (this: PendingGroupSteps) {
  assert.equal(waitsForOneRack(this, { isBusy: false, isGuaranteed: false }), false);
});

Then('it accepts any racks if it is guaranteed', function (this: PendingGroupSteps) {
  assert.equal(waitsForOneRack(this, { isBusy: true, isGuaranteed: true }), false);
});
