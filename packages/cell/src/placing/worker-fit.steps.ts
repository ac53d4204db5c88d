import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { AvailableWorker } from './available-worker.js';
import { placeGroup } from './best-fit.js';
import { newGroup, type PlacingSteps } from './placing-steps.support.js';
import { slackMs, tasksNeededAtOnce, type SmallTaskProgress } from './small-task-limit.js';
import { WholeWorkerDemand } from './whole-worker-demand.js';

interface WorkerFitSteps extends PlacingSteps {
  demand: WholeWorkerDemand;
  lastAt: number;
  progress: SmallTaskProgress;
}

const LEAN = { milliCores: 10_000, memoryMb: 1024, accelerators: 1 };
const CAPACITY = { milliCores: 128_000, memoryMb: 512 * 1024, accelerators: 8 };

Given(
  'worker {int} has {int} cores, {int} GB and {int} accelerators free',
  function (this: WorkerFitSteps, worker: number, cores: number, gb: number, count: number) {
    const free = { milliCores: cores * 1000, memoryMb: gb * 1024, accelerators: count };
    const names = { vm: `worker ${worker}`, runner: `${worker}`, rack: 'r1', labels: [] };
    const added = new AvailableWorker({ ...names, service: 'render', free, capacity: CAPACITY });
    this.workers = [...(worker === 1 ? [] : this.workers), added];
  },
);

Given(
  'gangs of {int} whole workers for {int} ms, one each second for {int} s',
  function (this: WorkerFitSteps, tasks: number, taskMs: number, seconds: number) {
    this.demand = new WholeWorkerDemand(0);
    Array.from({ length: seconds }, (_, index) => (index + 1) * 1000).forEach((at) => {
      this.demand.note({ service: 'render', priority: 0, tasks, taskMs, at });
      this.lastAt = at;
    });
  },
);

Given(
  'a step of {int} waiting and {int} running tasks of 4 s, at age {int} s, objective {int} s',
  function (
    this: WorkerFitSteps,
    waiting: number,
    running: number,
    age: number,
    objective: number,
  ) {
    const ageMs = age * 1000;
    this.progress = {
      waiting,
      running,
      runningMs: running > 0 ? 4000 - ageMs : 0,
      taskMs: 4000,
      ageMs,
      readyAgeMs: running > 0 ? 0 : ageMs,
      objectiveMs: objective * 1000,
      laterMs: 0,
    };
  },
);

When(
  'a task of 1 accelerator and {int} cores is fitted beside tasks of 10 cores',
  function (this: WorkerFitSteps, cores: number) {
    const demand = { milliCores: cores * 1000, memoryMb: 1024, accelerators: 1 };
    const fit = { lean: LEAN, mayOpen: Infinity };
    this.placements = placeGroup(newGroup(1, 1, { demand }), this.workers, fit);
  },
);

When('a gang of 2 tasks of 4 accelerators is fitted on one rack', function (this: WorkerFitSteps) {
  const fit = { lean: { ...LEAN, milliCores: 0, memoryMb: 0 }, mayOpen: Infinity };
  this.placements = placeGroup(newGroup(2, 4, { gang: true, oneRack: true }), this.workers, fit);
});

Then('it goes to worker {int}', function (this: WorkerFitSteps, number: number) {
  assert.deepEqual(this.placements, [{ index: 0, vm: `worker ${number}` }]);
});

Then(
  'of {int} workers {int} are kept free {int} s later',
  function (this: WorkerFitSteps, workers: number, kept: number, later: number) {
    const now = this.lastAt + later * 1000;
    assert.equal(this.demand.workersToKeep('render', workers, now), kept);
  },
);

Then(
  'it needs {int} tasks at once and has {int} s of slack',
  function (this: WorkerFitSteps, needed: number, slack: number) {
    assert.equal(tasksNeededAtOnce(this.progress), needed);
    assert.equal(slackMs(this.progress), slack * 1000);
  },
);
