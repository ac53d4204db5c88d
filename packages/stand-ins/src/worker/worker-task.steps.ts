import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { ManualClock, type WorkerTask } from '@zincspan/core';
import { StandInTask } from './worker-task.js';

interface TaskWorld {
  clock: ManualClock;
  order: WorkerTask;
  standInTask: StandInTask;
  startAnswer: boolean;
}

const USAGE_LAG_MS = 100;

function newTask(world: TaskWorld, prepareMs: number): StandInTask {
  const { clock, order } = world;
  return new StandInTask({ order, clock, prepareMs, usageLagMs: USAGE_LAG_MS, onChange() {} });
}

Given(
  'a stand-in task of {int} ms under a lease of {int} ms, ready after {int} ms',
  function (this: TaskWorld, runMs: number, leaseMs: number, prepareMs: number) {
    this.clock = new ManualClock();
    this.order = {
      task: 'jobs~tuul~1~1~0',
      accelerators: [0],
      cores: 4,
      memoryMb: 100,
      leaseMs,
      member: 0,
      tasks: 1,
      kind: 'render',
      params: { runMs },
      checkpointable: true,
    };
    this.standInTask = newTask(this, prepareMs);
  },
);

Given('a stand-in task that goes on from {string}', function (this: TaskWorld, checkpoint: string) {
  this.order = { ...this.order, checkpoint };
  this.standInTask = newTask(this, 0);
});

When('{int} ms pass for the stand-in task', function (this: TaskWorld, ms: number) {
  this.clock.advance(ms);
  this.standInTask.settle();
});

When('the stand-in task is started', function (this: TaskWorld) {
  this.startAnswer = this.standInTask.start({ failAll: false, lie: 1 });
});

When("the stand-in task's lease is renewed for {int} ms", function (this: TaskWorld, ms: number) {
  this.standInTask.renew(ms);
});

When('the stand-in task is throttled to {int} cores', function (this: TaskWorld, cores: number) {
  this.standInTask.throttle(cores);
});

Then('the stand-in task is {string}', function (this: TaskWorld, state: string) {
  assert.equal(this.standInTask.state, state);
});

Then('the stand-in task refused to start', function (this: TaskWorld) {
  assert.equal(this.startAnswer, false);
});

Then('the stand-in task ran for {int} ms', function (this: TaskWorld, ms: number) {
  assert.equal(this.standInTask.status().ranMs, ms);
});

Then('the stand-in task tells progress {float}', function (this: TaskWorld, progress: number) {
  assert.equal(this.standInTask.status().usage.progress, progress);
});
