import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import { quietContext } from '@zincspan/core';
import { ApprovalCache } from '../advice/approval-cache.js';
import { JobProgress } from '../job/progress.js';
import { DurationEstimator } from '../placing/duration-estimator.js';
import { testStep, testSubmission, testOwnedJob } from '../testing/test-jobs.support.js';
import { Fleet } from './fleet.js';
import { findRunningUnits } from './running-units.js';
import { RunRegistry } from './run-registry.js';
import { noEvacuations } from '../testing/test-evacuations.support.js';

interface RunningUnitSteps {
  registry: RunRegistry;
}

const TASKS = 4;
const FULL_PERCENT = 100;

function newRegistry(): RunRegistry {
  const ctx = quietContext({ id: 'entry-1', role: 'entry' });
  const evacuations = noEvacuations();
  return new RunRegistry({
    ctx,
    fleet: new Fleet({ clock: ctx.clock, evacuations, leaseMs: 6000, previousOwnerGrantMs: 0 }),
    advice: new ApprovalCache(),
    durations: new DurationEstimator(),
    events: { onProgressChanged: () => undefined, onOrdersChanged: () => undefined },
  });
}

Given(
  'a step of {int} long-running tasks, of which {int} may be missing and {int} are',
  function (this: RunningUnitSteps, tasks: number, mayMiss: number, missing: number) {
    const step = testStep({ tasks, lasting: true, mayMiss });
    const submission = testSubmission({ steps: [step] });
    const progress = new JobProgress(submission);
    progress.startRuns(
      Array.from({ length: TASKS }, (_, index) => ({
        ref: { occurrence: 0, step: 0, index },
        vm: `vm-${index}`,
        runner: `runner-${index}`,
      })),
    );
    this.registry = newRegistry();
    this.registry.addJob(testOwnedJob(submission, { progress, progressVersion: 1 }));
    this.registry.assignmentsOf(submission.id).forEach((assignment) => {
      const isMissing = assignment.ref.index < missing;
      Object.assign(assignment, { percent: isMissing ? 0 : FULL_PERCENT });
    });
  },
);

Given(
  /^a run of (\d) accelerators that saves (checkpoints|no checkpoints) and has run for (\d+) s$/,
  function (this: RunningUnitSteps, accelerators: string, saves: string, seconds: string) {
    const demand = { milliCores: 0, memoryMb: 0, accelerators: Number(accelerators) };
    const step = testStep({ demand, checkpointing: saves === 'checkpoints' });
    const submission = testSubmission({ steps: [step] });
    const progress = new JobProgress(submission);
    const ref = { occurrence: 0, step: 0, index: 0 };
    progress.startRuns([{ ref, vm: 'vm-0', runner: 'runner-0' }]);
    this.registry = newRegistry();
    this.registry.addJob(testOwnedJob(submission, { progress, progressVersion: 1 }));
    const [assignment] = this.registry.assignmentsOf(submission.id);
    assert.ok(assignment);
    assignment.assignedAt -= Number(seconds) * 1000;
  },
);

Then(
  /^stopping it loses ([\d.]+) accelerator-seconds$/,
  function (this: RunningUnitSteps, expected: string) {
    const [unit] = findRunningUnits(this.registry, new Set(), this.registry.fleet.profile());
    assert.ok(unit);
    assert.ok(Math.abs(unit.loss / 1000 - Number(expected)) < 0.2, `${unit.loss}`);
  },
);

Then('{int} of its tasks may be preempted', function (this: RunningUnitSteps, expected: number) {
  const units = findRunningUnits(this.registry, new Set(), this.registry.fleet.profile());
  const preemptible = units
    .filter(({ isProtected }) => !isProtected)
    .flatMap(({ assignments }) => assignments)
    .filter(({ percent }) => percent === FULL_PERCENT);
  assert.equal(preemptible.length, expected);
});
