import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { placeGroup } from './best-fit.js';
import { newGroup, workerAt, type PlacingSteps } from './placing-steps.support.js';
import { AvailableWorker, type TaskGroup } from './available-worker.js';

const SUSPECT: Partial<TaskGroup> = { jobId: 'suspect', isSuspect: true, startsAlone: true };

/** Replaces a worker by a copy with other properties. */
function changeWorker(
  world: PlacingSteps,
  worker: number,
  options: Partial<AvailableWorker>,
): void {
  const current = workerAt(world, worker);
  const changed = new AvailableWorker({ ...current, free: current.free, ...options });
  Object.assign(world, {
    workers: world.workers.map((each) => (each === current ? changed : each)),
  });
}

function place(world: PlacingSteps, tasks: number, group: Partial<TaskGroup>): void {
  Object.assign(world, { placements: placeGroup(newGroup(tasks, 1, group), world.workers) });
}

Given(
  'the runner of worker {int} has restarted recently',
  function (this: PlacingSteps, worker: number) {
    changeWorker(this, worker, { isRecentlyRestarted: true });
  },
);

Given(
  'a run of another job was just started on worker {int}',
  function (this: PlacingSteps, worker: number) {
    changeWorker(this, worker, { startingJobs: new Set(['another']) });
  },
);

Given('worker {int} is cold', function (this: PlacingSteps, worker: number) {
  changeWorker(this, worker, { isCold: true });
});

When(
  '{int} urgent tasks of 1 accelerator are placed',
  function (this: PlacingSteps, tasks: number) {
    place(this, tasks, { isUrgent: true });
  },
);

When('a suspect task is placed', function (this: PlacingSteps) {
  place(this, 1, SUSPECT);
});

When('a suspect task that has waited long enough is placed', function (this: PlacingSteps) {
  place(this, 1, { ...SUSPECT, startsAlone: false });
});

When('{int} tasks of another job are placed', function (this: PlacingSteps, tasks: number) {
  place(this, tasks, { jobId: 'another' });
});

When('another task of the same job is placed', function (this: PlacingSteps) {
  place(this, 1, SUSPECT);
});

Then('it is placed on worker {int}', function (this: PlacingSteps, worker: number) {
  assert.deepEqual(
    this.placements.map(({ vm }) => vm),
    [`worker ${worker}`],
  );
});
