import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { AvailableWorker } from './available-worker.js';
import { placeGroup } from './best-fit.js';
import { newGroup, parseNumbers, workerAt, type PlacingSteps } from './placing-steps.support.js';

function changeWorker(
  world: PlacingSteps,
  number: number,
  change: Pick<Partial<AvailableWorker>, 'speed' | 'isRestarting'>,
): void {
  const current = workerAt(world, number);
  world.workers.splice(
    number - 1,
    1,
    new AvailableWorker({ ...current, free: current.free, ...change }),
  );
}

Given(
  /^workers? ([\d, and]+) (?:has|have) the speed ([\d.]+)$/,
  function (this: PlacingSteps, numbers: string, speed: string) {
    parseNumbers(numbers).forEach((each) => changeWorker(this, each, { speed: Number(speed) }));
  },
);

Given(
  'the runner of worker {int} has restarted twice',
  function (this: PlacingSteps, number: number) {
    changeWorker(this, number, { isRestarting: true });
  },
);

When(
  '{int} urgent tasks of {int} accelerators are placed',
  function (this: PlacingSteps, tasks: number, each: number) {
    this.placements = placeGroup(newGroup(tasks, each, { isUrgent: true }), this.workers);
  },
);

Then('{int} tasks are placed', function (this: PlacingSteps, count: number) {
  assert.equal(this.placements.length, count);
});
