import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { placeGroup } from './fit.js';
import { newGroup, roomOf, type PlacingSteps } from './placing-steps.support.js';
import { Room, type Group } from './room.js';

const SUSPECT: Partial<Group> = { jobId: 'suspect', isSuspect: true, startsAlone: true };

/** Puts a room that differs in this in place of a worker's. */
function change(world: PlacingSteps, worker: number, options: Partial<Room>): void {
  const room = roomOf(world, worker);
  const changed = new Room({ ...room, free: room.free, ...options });
  Object.assign(world, { rooms: world.rooms.map((each) => (each === room ? changed : each)) });
}

function place(world: PlacingSteps, tasks: number, group: Partial<Group>): void {
  Object.assign(world, { placed: placeGroup(newGroup(tasks, 1, group), world.rooms) });
}

Given(
  'the runner of worker {int} has only just come back',
  function (this: PlacingSteps, worker: number) {
    change(this, worker, { isFresh: true });
  },
);

Given(
  'a run of another job has only just been started on worker {int}',
  function (this: PlacingSteps, worker: number) {
    change(this, worker, { youngJobs: new Set(['another']) });
  },
);

Given('worker {int} is cold', function (this: PlacingSteps, worker: number) {
  change(this, worker, { isCold: true });
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

When('a suspect task that has waited is placed', function (this: PlacingSteps) {
  place(this, 1, { ...SUSPECT, startsAlone: false });
});

When('{int} tasks of another job are placed', function (this: PlacingSteps, tasks: number) {
  place(this, tasks, { jobId: 'another' });
});

When('another task of its job is placed', function (this: PlacingSteps) {
  place(this, 1, SUSPECT);
});

Then('it goes to worker {int}', function (this: PlacingSteps, worker: number) {
  assert.deepEqual(
    this.placed.map(({ vm }) => vm),
    [`worker ${worker}`],
  );
});
