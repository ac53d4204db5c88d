import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { placeGroup } from './fit.js';
import { byUrgency, type Standing } from './order.js';
import {
  accelerators,
  newGroup,
  newRooms,
  numbers,
  type PlacingSteps,
} from './placing-steps.support.js';
import { planRoom } from './reclaim.js';

const STANDING: Standing = {
  priority: 1,
  claim: false,
  totalWork: 10_000,
  leftWork: 10_000,
  meanWork: 10_000,
  ageMs: 0,
  objectiveMs: 10_000,
  leftChainMs: 1000,
};

function order(world: PlacingSteps, standings: Record<string, Standing>): void {
  Object.assign(world, {
    order: Object.entries(standings)
      .sort(([, a], [, b]) => byUrgency(a, b))
      .map(([name]) => name),
  });
}

Given(
  /^workers with ([\d, and]+) free accelerators(, two to a rack)?$/,
  function (this: PlacingSteps, free: string, racks: string | null) {
    this.rooms = newRooms(numbers(free), racks === null ? 1 : 2);
  },
);

Given(
  'runs of 8 accelerators that would lose {int} and {int}',
  function (this: PlacingSteps, first: number, second: number) {
    this.victims = [first, second].map((loss, index) => ({
      key: `${loss}`,
      loss,
      members: [{ vm: `worker ${index + 1}`, demand: accelerators(8) }],
    }));
  },
);

Given(
  /^runs of ([\d, and]+) accelerators on workers ([\d, and]+) that would lose ([\d, and]+)$/,
  function (this: PlacingSteps, sizes: string, workers: string, losses: string) {
    const vms = numbers(workers);
    const loss = numbers(losses);
    this.victims = numbers(sizes).map((size, index) => ({
      key: `${loss[index]}`,
      loss: loss[index] ?? 0,
      members: [{ vm: `worker ${vms[index]}`, demand: accelerators(size) }],
    }));
  },
);

When(
  /^(a gang of )?(\d+) tasks of (\d+) accelerators? (?:is|are) placed( on one rack)?$/,
  function (
    this: PlacingSteps,
    gang: string | null,
    tasks: string,
    each: string,
    oneRack: string | null,
  ) {
    const change = { gang: gang !== null, oneRack: oneRack !== null };
    this.placed = placeGroup(newGroup(Number(tasks), Number(each), change), this.rooms);
  },
);

When(
  'room is sought for {int} task(s) of {int} accelerators',
  function (this: PlacingSteps, tasks: number, each: number) {
    this.plan = planRoom(newGroup(tasks, each), this.rooms, this.victims);
  },
);

When('a small urgent job and a large one that waits are ordered', function (this: PlacingSteps) {
  order(this, {
    large: { ...STANDING, totalWork: 90_000, leftWork: 90_000 },
    small: { ...STANDING, priority: 0, totalWork: 2000, leftWork: 2000 },
  });
});

When(
  'a job past all use and one of lower priority in time are ordered',
  function (this: PlacingSteps) {
    order(this, {
      past: { ...STANDING, priority: 0, ageMs: 40_000 },
      'in time': { ...STANDING, priority: 2 },
    });
  },
);

When('a claim and a job of more worth are ordered', function (this: PlacingSteps) {
  order(this, {
    other: { ...STANDING, priority: 0, totalWork: 1000, leftWork: 1000 },
    claim: { ...STANDING, claim: true, totalWork: 90_000, leftWork: 90_000 },
  });
});

Then(/^they go to workers? ([\d, and]+)$/, function (this: PlacingSteps, list: string) {
  const vms = new Set(this.placed.map(({ vm }) => vm));
  assert.deepEqual(
    [...vms].sort(),
    numbers(list).map((each) => `worker ${each}`),
  );
});

Then('nothing is placed', function (this: PlacingSteps) {
  assert.deepEqual(this.placed, []);
});

Then('the run that would lose {int} is stopped', function (this: PlacingSteps, loss: number) {
  assert.deepEqual(
    this.plan?.victims.map((victim) => victim.loss),
    [loss],
  );
});

Then(
  /^the (small urgent one|one in time|claim) comes first$/,
  function (this: PlacingSteps, which: string) {
    const names: Record<string, string> = { 'small urgent one': 'small', 'one in time': 'in time' };
    assert.equal(this.order[0], names[which] ?? which);
  },
);
