import assert from 'node:assert/strict';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { SystemClock, type WorkerTaskStatus } from '@zincspan/core';
import { GuardedTask } from './guarded-task.js';
import type { PlainEnd } from './task-end.js';
import type { TaskAnswer, WorkerClient } from './worker-client.js';

interface TaskWorld {
  guarded: GuardedTask;
  renewals: (() => Promise<TaskAnswer>)[];
  end: PlainEnd | undefined;
}

const LEASE_MS = 600;
const STATUS: WorkerTaskStatus = {
  task: 'jobs~tuul~a~1~0',
  state: 'ready',
  detail: '',
  ranMs: 0,
  usage: { cores: 0, memoryMb: 0, progress: 0, lagMs: 0 },
};
const DONE: TaskAnswer = { outcome: 'done', status: STATUS };

Given(
  'a guarded task whose preparation is answered after {int} ms',
  function (this: TaskWorld, ms: number) {
    this.renewals = [];
    this.end = undefined;
    const worker = {
      prepare: () => sleep(ms, DONE),
      renew: async () => this.renewals.shift()?.() ?? DONE,
    };
    this.guarded = new GuardedTask({
      ref: { key: 'jobs/tuul/a', attempt: 1, member: 0 },
      order: {
        task: STATUS.task,
        kind: 'render',
        member: 0,
        tasks: 1,
        accelerators: [0],
        cores: 1,
        memoryMb: 100,
        params: {},
        checkpointable: false,
      },
      maxRunMs: 60_000,
      worker: worker as unknown as WorkerClient,
      clock: new SystemClock(),
      leaseMs: LEASE_MS,
      clockMargin: 0.1,
      reservedMs: () => 10_000,
      mayGoOn: async () => true,
      onFenced: () => {},
      onStatus: () => {},
      onEnd: (_, end) => {
        this.end = end;
      },
    });
  },
);

Given(
  'its first renewal is answered after {int} ms, as of an unknown task',
  function (this: TaskWorld, ms: number) {
    this.renewals.push(() => sleep(ms, { outcome: 'unknown-task' }));
  },
);

When(
  'the guarded task is prepared and {int} ms have passed',
  async function (this: TaskWorld, ms: number) {
    void this.guarded.prepare();
    await sleep(ms);
  },
);

Then('the guarded task has not ended', function (this: TaskWorld) {
  assert.equal(this.end, undefined);
});

Then('the guarded task has ended as {string}', function (this: TaskWorld, outcome: string) {
  assert.equal(this.end?.outcome, outcome);
});

After({ tags: '@guarded-task' }, function (this: Partial<TaskWorld>) {
  this.guarded?.close();
});
