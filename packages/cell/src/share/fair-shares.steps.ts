import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { addResources, NO_RESOURCES, type Resources } from '@zincspan/core';
import type { OwnedJob } from '../owner/owned-job.js';
import type { PlacementInput, RunningUnit } from '../owner/placement-types.js';
import { planPlacement } from '../owner/placement-pass.js';
import { rankPendingGroups } from '../owner/ranked-groups.js';
import type { AvailableWorker } from '../placing/available-worker.js';
import { FleetProfile } from '../placing/fleet-profile.js';
import type { AccountShares } from './account-shares.js';
import { toResources } from './account-usage.js';
import { ShareLedger } from './share-ledger.js';
import {
  SimulatedAccounts,
  WHOLE,
  accelerators,
  newWorker,
  ownedJob,
  placementInput,
  type ArrivingJob,
} from './simulated-accounts.support.js';

interface FairShareSteps {
  arrivals: ArrivingJob[];
  played: SimulatedAccounts;
  lengthMs: number;
  /** Used whole workers by account, and those that are free. */
  use: Map<string, number>;
  free: number;
  units: RunningUnit[];
  order: string[];
  shares: AccountShares;
  ledger: ShareLedger;
  preempted: string[];
}

const WORKERS = 10;
const PERIOD_MS = 1500;
const LOAD_MS = 24_000;
const TASK_MS = 2000;
const HEAVY = 'heavy';
const SERVICE = 'render';

function periods(periodMs: number): number[] {
  return Array.from({ length: LOAD_MS / periodMs }, (_, index) => index * periodMs);
}

function inOrder(arrivals: ArrivingJob[]): ArrivingJob[] {
  return arrivals.sort((a, b) => a.atMs - b.atMs);
}

function play(arrivals: ArrivingJob[], lengthMs: number, fairShares = true): SimulatedAccounts {
  return new SimulatedAccounts({ workers: WORKERS, fairShares }).play(arrivals, lengthMs);
}

function newWorkers(free: number): AvailableWorker[] {
  return Array.from({ length: WORKERS }, (_, index) =>
    newWorker(`vm-${index}`, index < free ? WHOLE : accelerators(0)),
  );
}

function wholeWorkers(count: number): Resources {
  return addResources(NO_RESOURCES, toResources(WHOLE), count);
}

/** Shares of accounts that use so many whole workers; 0 for one that waits. */
function sharesOf(
  use: ReadonlyMap<string, number>,
  {
    ledger = new ShareLedger(),
    guaranteed = 0,
    now = 0,
    taskMs = TASK_MS,
    allWorkersKnown = false,
  } = {},
): AccountShares {
  const accounts = new Map([...use].map(([name, count]) => [name, wholeWorkers(count)]));
  return ledger.beginPass({
    usage: new Map([[SERVICE, { accounts, tasks: 1, expectedMs: taskMs }]]),
    profile: new FleetProfile(newWorkers(0)),
    accounts: guaranteed > 0 ? [{ name: HEAVY, guaranteedAccelerators: guaranteed }] : [],
    allWorkersKnown,
    now,
  });
}

function inputOf(
  jobs: OwnedJob[],
  { use, free = 0, units = [] }: Partial<Pick<FairShareSteps, 'use' | 'free' | 'units'>>,
): PlacementInput {
  const waiting = jobs.map(({ submission }): [string, number] => [submission.account, 0]);
  const shares = sharesOf(new Map([...waiting, ...(use ?? [])]));
  return placementInput({ jobs, workers: newWorkers(free), shares, runningUnits: units });
}

function unitOf(vm: string, account: string, loss: number, isProtected = false): RunningUnit {
  const job = ownedJob(100 + Number(vm.slice(3)), {
    atMs: 0,
    account,
    priority: 2,
    accelerators: 8,
  });
  return {
    key: vm,
    job,
    members: [{ vm, demand: WHOLE }],
    loss,
    stopping: false,
    isProtected,
    assignments: [],
  };
}

/** Runs of a heavy account on all workers but the last, where a run of a small account would lose less. */
function unitsOf(isProtected: boolean): RunningUnit[] {
  return Array.from({ length: WORKERS }, (_, index) =>
    index < WORKERS - 1
      ? unitOf(`vm-${index}`, HEAVY, 5000, isProtected)
      : unitOf(`vm-${index}`, 'small', 1000),
  );
}

function stoppedFor(account: string, units: RunningUnit[]): string[] {
  const job = ownedJob(1, { atMs: 0, account, priority: 0, accelerators: 8 });
  const use = new Map([
    [HEAVY, WORKERS - 1],
    ['small', 1],
  ]);
  const { preemptions } = planPlacement(inputOf([job], { use, units }));
  return preemptions.map(({ unit }) => unit.job.submission.account);
}

Given(
  '{int} accounts with a job of {int} tasks each every 1.5 s',
  function (this: FairShareSteps, count: number, tasks: number) {
    this.arrivals = periods(PERIOD_MS).flatMap((atMs) =>
      Array.from({ length: count }, (_, index) => ({ atMs, account: `account-${index}`, tasks })),
    );
  },
);

/** The heavy account's jobs come first in each period, so that they precede the others' by age. */
function addHeavy(steps: FairShareSteps, jobsPerPeriod: number): void {
  const heavy = periods(PERIOD_MS).flatMap((atMs) =>
    Array.from({ length: jobsPerPeriod }, () => ({ atMs, account: HEAVY, tasks: 4 })),
  );
  Object.assign(steps, { arrivals: inOrder([...heavy, ...steps.arrivals]) });
}

Given(
  'a heavy account that sends as many jobs as all others together',
  function (this: FairShareSteps) {
    addHeavy(this, 9);
  },
);

Given(
  'a heavy account that sends {int} times as many jobs as each of them',
  function (this: FairShareSteps, factor: number) {
    addHeavy(this, factor);
  },
);

Given(
  'a heavy account with {int} jobs of {int} tasks at once',
  function (this: FairShareSteps, count: number, tasks: number) {
    this.arrivals = Array.from({ length: count }, () => ({ atMs: 0, account: HEAVY, tasks }));
  },
);

Given('a heavy account with a job of 4 tasks every 0.1 s', function (this: FairShareSteps) {
  this.arrivals = periods(100).map((atMs) => ({ atMs, account: HEAVY, tasks: 4 }));
});

Given(
  'an account whose only job is a gang of {int} whole workers',
  function (this: FairShareSteps, tasks: number) {
    const gang = { atMs: LOAD_MS / 2, account: 'small', tasks, accelerators: 8, gang: true };
    this.arrivals = inOrder([...this.arrivals, gang]);
  },
);

When('the load is played for {int} s', function (this: FairShareSteps, seconds: number) {
  this.lengthMs = seconds * 1000;
  this.played = play(this.arrivals, this.lengthMs);
});

When(
  'the load is played for {int} s with a takeover after {int} s',
  function (this: FairShareSteps, seconds: number, takeover: number) {
    this.lengthMs = seconds * 1000;
    this.played = new SimulatedAccounts({ workers: WORKERS, fairShares: true }).play(
      this.arrivals,
      this.lengthMs,
      takeover * 1000,
    );
  },
);

/** Longest time by which a job of a small account starts later than beside an idle heavy account, in ms. */
function longestDelay({ arrivals, lengthMs }: FairShareSteps, played: SimulatedAccounts): number {
  const others = arrivals.flatMap((arrival, index) => (arrival.account === HEAVY ? [] : [index]));
  const alone = play(
    others.flatMap((index) => arrivals[index] ?? []),
    lengthMs,
  );
  const delays = others.map(
    (index, place) =>
      (played.startedAt.get(index) ?? Infinity) - (alone.startedAt.get(place) ?? Infinity),
  );
  assert.ok(delays.length > 0);
  return Math.max(...delays);
}

Then(
  "each job of the others starts within a task's duration of when it would beside an idle heavy account",
  function (this: FairShareSteps) {
    const delayMs = longestDelay(this, this.played);
    assert.ok(delayMs <= TASK_MS, `${delayMs}`);
  },
);

Then('without fair shares some start later than that', function (this: FairShareSteps) {
  const delayMs = longestDelay(this, play(this.arrivals, this.lengthMs, false));
  assert.ok(delayMs > TASK_MS, `${delayMs}`);
});

Then('each job starts when it would without fair shares', function (this: FairShareSteps) {
  const without = play(this.arrivals, this.lengthMs, false);
  assert.ok(this.played.startedAt.size > 0);
  assert.deepEqual(this.played.startedAt, without.startedAt);
});

Then('{int} accelerators were in use at once', function (this: FairShareSteps, count: number) {
  assert.equal(this.played.mostInUse, count);
});

Then("the gang starts within 3 tasks' durations", function (this: FairShareSteps) {
  const index = this.arrivals.findIndex(({ gang }) => gang);
  const startedAt = this.played.startedAt.get(index) ?? Infinity;
  assert.ok(startedAt - LOAD_MS / 2 <= 3 * TASK_MS, `${startedAt}`);
});

Given(
  /^a heavy account that uses 8 of 10 workers, the others being (free|in use by another)$/,
  function (this: FairShareSteps, others: string) {
    this.free = others === 'free' ? 2 : 0;
    this.use = new Map([[HEAVY, 8], ...(this.free > 0 ? [] : [['other', 2] as const])]);
  },
);

/** Ranks a job of the heavy account before one of a small account, by value. */
function rank(steps: FairShareSteps, heavyPriority: number, smallPriority: number): void {
  const heavy = ownedJob(1, { atMs: 0, account: HEAVY, priority: heavyPriority, taskMs: 1000 });
  const small = ownedJob(2, { atMs: 0, account: 'small', priority: smallPriority });
  const input = inputOf([heavy, small], steps);
  const order = rankPendingGroups(input).map(({ pending }) => pending.job.submission.account);
  Object.assign(steps, { order, shares: input.shares });
}

When(
  'it has an urgent job, and a small account a job that may wait',
  function (this: FairShareSteps) {
    rank(this, 0, 2);
  },
);

When(
  'it has a job that may wait, and a small account a less valuable one',
  function (this: FairShareSteps) {
    rank(this, 2, 2);
  },
);

Then(/^(?:the urgent|the heavy account's) job is placed first$/, function (this: FairShareSteps) {
  assert.deepEqual(this.order, [HEAVY, 'small']);
});

Then("the small account's job is placed first", function (this: FairShareSteps) {
  assert.deepEqual(this.order, ['small', HEAVY]);
});

Then("the heavy account's job is noted as deferred", function (this: FairShareSteps) {
  const accounts = this.shares.deferrals.map(({ job }) => job.submission.account);
  assert.deepEqual(accounts, [HEAVY]);
});

Given(
  /^runs of a heavy account( that may not be stopped)?, and a shorter one of a small account$/,
  function (this: FairShareSteps, isProtected: string | null) {
    this.units = unitsOf(isProtected !== null);
  },
);

When('a third account needs a worker for an urgent job', function (this: FairShareSteps) {
  this.preempted = stoppedFor('third', this.units);
});

When('the heavy account needs a worker for an urgent job', function (this: FairShareSteps) {
  this.preempted = stoppedFor(HEAVY, this.units);
});

Then('a run of the heavy account is stopped', function (this: FairShareSteps) {
  assert.deepEqual(this.preempted, [HEAVY]);
});

Then('no run is stopped', function (this: FairShareSteps) {
  assert.deepEqual(this.preempted, []);
});

Given(
  'an account that uses 4 of 10 workers and has {int} accelerators guaranteed, and one that waits',
  function (this: FairShareSteps, guaranteed: number) {
    this.use = new Map([
      [HEAVY, 4],
      ['other', 0],
    ]);
    this.ledger = new ShareLedger();
    this.shares = sharesOf(this.use, { ledger: this.ledger, guaranteed });
  },
);

When('the account leaves the configuration', function (this: FairShareSteps) {
  this.shares = sharesOf(this.use, { ledger: this.ledger });
});

Then('its fair share is {float}', function (this: FairShareSteps, expected: number) {
  assert.equal(this.shares.of(SERVICE)?.fairShare(HEAVY), expected);
});

Given(
  'an account that uses 4 of 10 workers for {int} s with tasks of {int} s',
  function (this: FairShareSteps, seconds: number, taskSeconds: number) {
    this.ledger = new ShareLedger();
    const options = { ledger: this.ledger, taskMs: taskSeconds * 1000 };
    sharesOf(new Map([[HEAVY, 4]]), { ...options, now: 0 });
    this.lengthMs = seconds * 1000;
    const idle = { ...options, allWorkersKnown: true, now: this.lengthMs };
    sharesOf(new Map([[HEAVY, 0]]), idle);
  },
);

When('it stops using them for {int} s', function (this: FairShareSteps, seconds: number) {
  this.lengthMs += seconds * 1000;
  const options = { ledger: this.ledger, allWorkersKnown: true, now: this.lengthMs };
  this.shares = sharesOf(new Map([[HEAVY, 0]]), { ...options, taskMs: seconds * 1000 });
});

Then('its share is {float}', function (this: FairShareSteps, expected: number) {
  const share = this.shares.of(SERVICE)?.share(HEAVY) ?? Infinity;
  assert.ok(Math.abs(share - expected) < 1e-9, `${share}`);
});

Then('to a new owner it is 0', function (this: FairShareSteps) {
  const shares = sharesOf(new Map([[HEAVY, 0]]), { now: this.lengthMs });
  assert.equal(shares.of(SERVICE)?.share(HEAVY), 0);
});
