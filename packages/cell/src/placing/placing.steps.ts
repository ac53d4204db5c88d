import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { placeGroup } from './best-fit.js';
import { compareByUrgency, type UrgencyFactors } from './job-urgency.js';
import {
  acceleratorDemand,
  newGroup,
  newWorkers,
  parseNumbers,
  type PlacingSteps,
} from './placing-steps.support.js';
import { planPreemption } from './preemption.js';

const DEFAULT_FACTORS: UrgencyFactors = {
  priority: 1,
  claim: false,
  totalWork: 10_000,
  remainingWork: 10_000,
  meanWork: 10_000,
  ageMs: 0,
  objectiveMs: 10_000,
  remainingCriticalPathMs: 1000,
};

function sortByUrgency(world: PlacingSteps, standings: Record<string, UrgencyFactors>): void {
  Object.assign(world, {
    order: Object.entries(standings)
      .sort(([, a], [, b]) => compareByUrgency(a, b))
      .map(([name]) => name),
  });
}

Given(
  /^workers with ([\d, and]+) free accelerators(, two to a rack)?$/,
  function (this: PlacingSteps, free: string, racks: string | null) {
    this.workers = newWorkers(parseNumbers(free), racks === null ? 1 : 2);
  },
);

Given(
  'runs of 8 accelerators that would lose {int} and {int}',
  function (this: PlacingSteps, first: number, second: number) {
    this.victims = [first, second].map((loss, index) => ({
      key: `${loss}`,
      loss,
      members: [{ vm: `worker ${index + 1}`, demand: acceleratorDemand(8) }],
    }));
  },
);

Given(
  /^runs of ([\d, and]+) accelerators on workers ([\d, and]+) that would lose ([\d, and]+)$/,
  function (this: PlacingSteps, sizes: string, hosts: string, losses: string) {
    const vms = parseNumbers(hosts);
    const loss = parseNumbers(losses);
    this.victims = parseNumbers(sizes).map((size, index) => ({
      key: `${loss[index]}`,
      loss: loss[index] ?? 0,
      members: [{ vm: `worker ${vms[index]}`, demand: acceleratorDemand(size) }],
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
    this.placements = placeGroup(newGroup(Number(tasks), Number(each), change), this.workers);
  },
);

When(
  'a preemption plan is made for {int} task(s) of {int} accelerators',
  function (this: PlacingSteps, tasks: number, each: number) {
    this.plan = planPreemption(newGroup(tasks, each), this.workers, this.victims);
  },
);

When('a small urgent job and a large waiting one are ordered', function (this: PlacingSteps) {
  sortByUrgency(this, {
    large: { ...DEFAULT_FACTORS, totalWork: 90_000, remainingWork: 90_000 },
    small: { ...DEFAULT_FACTORS, priority: 0, totalWork: 2000, remainingWork: 2000 },
  });
});

When(
  'a job that is too late and a timely one of lower priority are ordered',
  function (this: PlacingSteps) {
    sortByUrgency(this, {
      late: { ...DEFAULT_FACTORS, priority: 0, ageMs: 40_000 },
      'timely job': { ...DEFAULT_FACTORS, priority: 2 },
    });
  },
);

When('a claim and a job of higher value are ordered', function (this: PlacingSteps) {
  sortByUrgency(this, {
    other: { ...DEFAULT_FACTORS, priority: 0, totalWork: 1000, remainingWork: 1000 },
    claim: { ...DEFAULT_FACTORS, claim: true, totalWork: 90_000, remainingWork: 90_000 },
  });
});

Then(/^they are placed on workers? ([\d, and]+)$/, function (this: PlacingSteps, list: string) {
  const vms = new Set(this.placements.map(({ vm }) => vm));
  assert.deepEqual(
    [...vms].sort(),
    parseNumbers(list).map((each) => `worker ${each}`),
  );
});

Then('nothing is placed', function (this: PlacingSteps) {
  assert.deepEqual(this.placements, []);
});

Then('the run that would lose {int} is stopped', function (this: PlacingSteps, loss: number) {
  assert.deepEqual(
    this.plan?.victims.map((victim) => victim.loss),
    [loss],
  );
});

Then(
  /^the (small urgent one|timely one|claim) comes first$/,
  function (this: PlacingSteps, which: string) {
    const names: Record<string, string> = {
      'small urgent one': 'small',
      'timely one': 'timely job',
    };
    assert.equal(this.order[0], names[which] ?? which);
  },
);
