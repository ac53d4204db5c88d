import assert from 'node:assert/strict';
import { Given, Then } from '@cucumber/cucumber';
import { quietContext } from '@zincspan/core';
import { AdviceBook } from '../advice/advice-book.js';
import { JobProgress } from '../job/progress.js';
import { DurationEstimator } from '../placing/duration-estimator.js';
import { testStep, testSubmission, testOwnedJob } from '../testing/test-jobs.support.js';
import { Fleet } from './fleet.js';
import { findOccupants } from './occupants.js';
import { RunBook } from './run-book.js';
import { noEvacuations } from '../testing/test-evacuations.support.js';

interface OccupantSteps {
  book: RunBook;
}

const TASKS = 4;
const FULL_PERCENT = 100;

function newBook(): RunBook {
  const ctx = quietContext({ id: 'entry-1', role: 'entry' });
  const evacuations = noEvacuations();
  return new RunBook({
    ctx,
    fleet: new Fleet({ clock: ctx.clock, evacuations, leaseMs: 6000, earlierGrantMs: 0 }),
    advice: new AdviceBook(),
    durations: new DurationEstimator(),
    events: { onChanged: () => undefined, onNews: () => undefined },
  });
}

Given(
  'a step of {int} tasks that last, of which {int} may be away and {int} are',
  function (this: OccupantSteps, tasks: number, mayMiss: number, away: number) {
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
    this.book = newBook();
    this.book.add(testOwnedJob(submission, { progress, progressVersion: 1 }));
    this.book.assignmentsOf(submission.id).forEach((assignment) => {
      const isAway = assignment.ref.index < away;
      Object.assign(assignment, { percent: isAway ? 0 : FULL_PERCENT });
    });
  },
);

Given(
  /^a run of (\d) accelerators that saves (checkpoints|none) and has run for (\d+) s$/,
  function (this: OccupantSteps, accelerators: string, saves: string, seconds: string) {
    const demand = { milliCores: 0, memoryMb: 0, accelerators: Number(accelerators) };
    const step = testStep({ demand, checkpointing: saves === 'checkpoints' });
    const submission = testSubmission({ steps: [step] });
    const progress = new JobProgress(submission);
    const ref = { occurrence: 0, step: 0, index: 0 };
    progress.startRuns([{ ref, vm: 'vm-0', runner: 'runner-0' }]);
    this.book = newBook();
    this.book.add(testOwnedJob(submission, { progress, progressVersion: 1 }));
    const [assignment] = this.book.assignmentsOf(submission.id);
    assert.ok(assignment);
    assignment.assignedAt -= Number(seconds) * 1000;
  },
);

Then(
  /^stopping it loses ([\d.]+) accelerator-seconds$/,
  function (this: OccupantSteps, expected: string) {
    const [occupant] = findOccupants(this.book, new Set());
    assert.ok(occupant);
    assert.ok(Math.abs(occupant.loss / 1000 - Number(expected)) < 0.2, `${occupant.loss}`);
  },
);

Then('{int} of its tasks may be stopped', function (this: OccupantSteps, spared: number) {
  const occupants = findOccupants(this.book, new Set());
  const exposed = occupants
    .filter(({ isProtected }) => !isProtected)
    .flatMap(({ assignments }) => assignments)
    .filter(({ percent }) => percent === FULL_PERCENT);
  assert.equal(exposed.length, spared);
});
