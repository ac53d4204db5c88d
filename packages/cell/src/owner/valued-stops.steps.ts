import assert from 'node:assert/strict';
import { Before, Given, Then, When } from '@cucumber/cucumber';
import { CountingMetrics, quietContext } from '@zincspan/core';
import { DurationEstimator } from '../placing/duration-estimator.js';
import { LogRecorder } from '../testing/log-recorder.support.js';
import type { PlacementResult } from './placement-types.js';
import { StopRecords } from './stop-records.js';
import {
  ONE,
  PER_WORKER,
  WHOLE,
  addJob,
  addUrgentGang,
  eightFrom,
  endStops,
  plan,
  startOn,
  stoppedRuns,
  unitsOf,
  type ValuedStopSteps,
} from './valued-stops.support.js';

Before(function (this: ValuedStopSteps) {
  const clock = { now: () => this.now, wall: () => this.now };
  const log = new LogRecorder();
  const metrics = new CountingMetrics();
  const ctx = quietContext({ id: 'entry-1', clock, log: log.logFor('entry-1') });
  Object.assign(this, {
    now: 20_000,
    workers: [],
    runs: [],
    jobs: [],
    guaranteed: new Set(),
    log,
    metrics,
    records: new StopRecords({ ...ctx, metrics }),
    stops: new Map(),
  });
});

Given(
  /^(\d) workers?, each full of 8 small tasks that have run for ([\d.]+) s of 8 s(, each two a job of their own)?$/,
  function (this: ValuedStopSteps, count: string, seconds: string, own: string | null) {
    const ageMs = Number(seconds) * 1000;
    this.workers = Array.from({ length: Number(count) }, (_, index) => `worker ${index + 1}`);
    const step = { demand: ONE, estimateMs: 8000 };
    if (own !== null) {
      this.workers.forEach((vm) =>
        Array.from({ length: PER_WORKER / 2 }).forEach(() => {
          const job = addJob(this, { ...step, tasks: 2 }, { queue: 'small', ageMs });
          startOn(this, job, { indexes: [0, 1], vm, ageMs });
        }),
      );
      return;
    }
    const tasks = this.workers.length * PER_WORKER;
    const job = addJob(this, { ...step, tasks }, { queue: 'small', ageMs });
    this.workers.forEach((vm, index) =>
      startOn(this, job, { indexes: eightFrom(index * PER_WORKER), vm, ageMs }),
    );
  },
);

Given('a free worker and no others', function (this: ValuedStopSteps) {
  this.workers = ['worker 1'];
});

Given(
  'a worker with one member of a running gang of {int} members that have run for {int} s of 8 s',
  function (this: ValuedStopSteps, members: number, seconds: number) {
    const step = { tasks: members, gang: true, demand: WHOLE, estimateMs: 8000 };
    const ageMs = seconds * 1000;
    const job = addJob(this, step, { queue: 'small', ageMs });
    const vms = Array.from({ length: members }, (_, index) => `gang worker ${index + 1}`);
    this.workers.push(...vms);
    vms.forEach((vm, index) => startOn(this, job, { indexes: [index], vm, ageMs }));
  },
);

Given(
  'the small tasks of worker {int} have run for {float} s',
  function (this: ValuedStopSteps, number: number, seconds: number) {
    const startedAt = this.now - seconds * 1000;
    this.runs
      .filter(({ vm }) => vm === `worker ${number}`)
      .forEach(({ assignment }) =>
        Object.assign(assignment, { assignedAt: startedAt, runningAt: startedAt, percent: 2 }),
      );
  },
);

Given(
  'the small tasks of worker {int} save checkpoints',
  function (this: ValuedStopSteps, number: number) {
    const vm = `worker ${number}`;
    const others = this.runs.filter((run) => run.vm !== vm);
    Object.assign(this, { runs: others });
    const step = { tasks: PER_WORKER, demand: ONE, estimateMs: 8000, checkpointing: true };
    const job = addJob(this, step, { queue: 'small', ageMs: 5000 });
    startOn(this, job, { indexes: eightFrom(0), vm, ageMs: 5000 });
  },
);

Given(
  /^(?:an|a later) urgent gang of (\d) tasks? that needs? a whole worker each, of ([\d.]+) s$/,
  function (this: ValuedStopSteps, tasks: string, seconds: string) {
    addUrgentGang(this, Number(tasks), Number(seconds));
  },
);

Given('the gang has failed {int} times', function (this: ValuedStopSteps, failures: number) {
  const step = this.jobs.at(-1)?.progress.findStep({ occurrence: 0, step: 0 });
  assert.ok(step);
  step.failures = failures;
});

Given('a pass is planned and its stops on worker 1 have ended', function (this: ValuedStopSteps) {
  plan(this);
  assert.equal(this.result.preemptions.length, 2 * PER_WORKER);
  endStops(this, ['worker 1']);
});

Given('all of them were stopped just before', function (this: ValuedStopSteps) {
  const units = unitsOf(this);
  const pending = { group: { jobId: '', occurrence: 0, step: 0, indexes: [] }, job: this.jobs[0] };
  const stop = { pending, isMade: true, gain: 1, cost: 0, waitMs: 0, victims: units, held: [] };
  const weighedStops = [stop] as unknown as PlacementResult['weighedStops'];
  this.records.record({ starts: [], weighedStops }, new DurationEstimator());
  assert.ok(units.every((unit) => this.records.wasStoppedRecently(unit, this.now)));
});

Given(
  'a guaranteed job that needs a whole worker, accepted {float} s ago',
  function (this: ValuedStopSteps, seconds: number) {
    const step = { demand: WHOLE, estimateMs: 3000 };
    const job = addJob(this, step, { queue: 'urgent', ageMs: seconds * 1000 });
    this.guaranteed.add(job);
  },
);

When('a pass is planned', function (this: ValuedStopSteps) {
  plan(this);
});

When('a pass is planned {int} ms later', function (this: ValuedStopSteps, ms: number) {
  this.now += ms;
  plan(this);
});

When(
  '3 urgent gangs for a whole worker each arrive within 1.3 s, and stopped tasks restart on 3 free workers',
  function (this: ValuedStopSteps) {
    const [small] = this.jobs;
    assert.ok(small);
    const full = [...this.workers];
    for (let gang = 1; gang <= 3; gang++) {
      addUrgentGang(this, 1, 3);
      plan(this);
      assert.equal(this.result.preemptions.length, PER_WORKER, `gang ${gang}`);
      const stopped = stoppedRuns(this).map(({ ref }) => ref.index);
      endStops(this, full);
      // The gang's own start, and the restart of what was stopped, on a worker that joins.
      plan(this);
      this.result.starts.forEach(({ pending: { job }, placements }) =>
        placements
          .filter(() => job !== small)
          .forEach(({ index, vm }) => startOn(this, job, { indexes: [index], vm, ageMs: 0 })),
      );
      const free = `free worker ${gang}`;
      this.workers.push(free);
      stopped.forEach((index) => startOn(this, small, { indexes: [index], vm: free, ageMs: 0 }));
      this.now += 650;
    }
  },
);

Then(/^(\d+) runs are stopped$/, function (this: ValuedStopSteps, count: string) {
  assert.equal(stoppedRuns(this).length, Number(count));
});

Then('only runs on worker {int} are stopped', function (this: ValuedStopSteps, number: number) {
  const stopped = new Set(stoppedRuns(this));
  const vms = this.runs.filter((run) => stopped.has(run.assignment)).map(({ vm }) => vm);
  assert.deepEqual([...new Set(vms)], [`worker ${number}`]);
});

Then('the stop is declined', function (this: ValuedStopSteps) {
  const declined = this.result.weighedStops.filter(({ isMade }) => !isMade);
  assert.equal(declined.length, 1);
  assert.ok(declined.every(({ gain, cost }) => cost >= gain));
});

Then(
  '{int} declined stops are counted and {int} is logged',
  function (this: ValuedStopSteps, counted: number, logged: number) {
    assert.equal(this.metrics.counters.get('stop.declined'), counted);
    assert.equal(this.log.withMessage('stop declined').length, logged);
  },
);

Then('no task is stopped twice', function (this: ValuedStopSteps) {
  assert.equal(this.stops.size, 3 * PER_WORKER);
  assert.deepEqual(new Set(this.stops.values()), new Set([1]));
});

Then('nothing starts for the second', function (this: ValuedStopSteps) {
  assert.deepEqual(this.result.starts, []);
});

Then(/^the (first|second) gang starts$/, function (this: ValuedStopSteps, which: string) {
  const urgent = this.jobs.filter(({ terms }) => terms.priority === 0);
  assert.equal(this.result.starts[0]?.pending.job, urgent[which === 'first' ? 0 : 1]);
});
