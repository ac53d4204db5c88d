import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { TaskEnd } from '@zincspan/core';
import { OwnerWorld } from './owner-world.support.js';

export class OwnerSteps extends OwnerWorld {
  /** Id of the job submitted last. */
  job = '';

  /** Worker that ran it first. */
  first = '';

  async submit(kind: string, tasks: number, accelerators: number, entry = 'entry-a') {
    const shape = { tasks, acceleratorsPerTask: accelerators };
    await this.http('POST', '/v1/jobs', { payload: { kind, shape }, entry });
    this.job = String(this.last.body.id);
  }
}

function names(list: string): string[] {
  return list.split(', ').filter(Boolean);
}

export async function setUpOwner(
  world: OwnerSteps,
  workers: string,
  { start = true }: { start?: boolean } = {},
): Promise<void> {
  Object.setPrototypeOf(world, OwnerSteps.prototype);
  Object.assign(world, new OwnerSteps());
  world.addEntry('entry-a');
  names(workers).forEach((name) => world.addWorker(name));
  if (start) await world.own('entry-a');
}

Given('an owner with workers {string}', async function (this: OwnerSteps, workers: string) {
  await setUpOwner(this, workers);
});

Given('an owner without workers', async function (this: OwnerSteps) {
  await setUpOwner(this, '');
});

Given('a second entry', async function (this: OwnerSteps) {
  await this.addEntry('entry-b').app.start?.();
  await this.timers.pass(2000);
});

Given("a second entry that can't reach the owner", async function (this: OwnerSteps) {
  await this.addEntry('entry-b').app.start?.();
  this.entryOf('entry-b').mesh.peer = () => undefined;
});

Given('the worker {string} prepares slowly', function (this: OwnerSteps, worker: string) {
  this.guard(worker).autoReady = false;
});

When(
  'a caller submits a {string} gang of {int} tasks with {int} accelerators',
  async function (this: OwnerSteps, kind: string, tasks: number, accelerators: number) {
    await this.submit(kind, tasks, accelerators);
  },
);

When(
  'a caller submits a {string} gang of {int} tasks with {int} accelerators through the second entry',
  async function (this: OwnerSteps, kind: string, tasks: number, accelerators: number) {
    await this.submit(kind, tasks, accelerators, 'entry-b');
  },
);

When('the caller cancels the submitted job', async function (this: OwnerSteps) {
  await this.http('POST', `/v1/jobs/${this.job}/cancel`);
});

When(
  'the caller cancels the submitted job through the second entry',
  async function (this: OwnerSteps) {
    await this.http('DELETE', `/v1/jobs/${this.job}`, { entry: 'entry-b' });
  },
);

When('{int} ms pass for the owner', async function (this: OwnerSteps, ms: number) {
  await this.timers.pass(ms);
});

When('the owner loses the answer to its next write', function (this: OwnerSteps) {
  this.entryOf('entry-a').table.faults.responsesToLose = 1;
});

When('the table goes down for the owner', function (this: OwnerSteps) {
  this.entryOf('entry-a').table.faults.down = true;
});

When('the table comes back for the owner', function (this: OwnerSteps) {
  this.entryOf('entry-a').table.faults.down = false;
});

When('the worker {string} has prepared', async function (this: OwnerSteps, worker: string) {
  await this.timers.until('it prepares', () => this.guard(worker).count('preparing') > 0);
  this.guard(worker).autoReady = true;
  await this.guard(worker).prepare();
});

When(
  'the worker {string} ends its tasks as {string}',
  async function (this: OwnerSteps, worker: string, outcome: TaskEnd['outcome']) {
    await this.timers.until('it runs', () => this.guard(worker).count('running') > 0);
    await this.guard(worker).finish(outcome);
  },
);

When('the guards fall silent for good', function (this: OwnerSteps) {
  this.guards.forEach((guard) => Object.assign(guard, { closed: true }));
  this.entryOf('entry-a').upstreams.expire();
  this.timers.clock.advance(20_000);
  this.entryOf('entry-a').upstreams.expire();
});

When('the guard that runs it falls silent for good', function (this: OwnerSteps) {
  this.first = this.row(this.job).members[0]?.worker ?? '';
  this.guard(this.first).closed = true;
  this.timers.clock.advance(20_000);
  this.guards.forEach((guard) => {
    if (!guard.closed) this.relink(guard);
  });
  this.entryOf('entry-a').upstreams.expire();
});

Then('the submission answers {int}', function (this: OwnerSteps, status: number) {
  assert.equal(this.last.status, status, JSON.stringify(this.last.body));
});

Then('the submitted job gets {string}', async function (this: OwnerSteps, state: string) {
  await this.untilState(this.job, state);
});

Then(
  "the submitted job's outcome is {string} and {string}",
  async function (this: OwnerSteps, ran: string, kind: string) {
    await this.http('GET', `/v1/jobs/${this.job}`);
    const { outcome } = this.row(this.job);
    assert.deepEqual([outcome?.ran, outcome?.kind], [ran, kind]);
    assert.deepEqual(this.last.body.outcome, outcome);
  },
);

Then('no reservation is left on {string}', async function (this: OwnerSteps, workers: string) {
  const isLeft = (name: string): boolean => this.guard(name).book.inventory().length > 0;
  await this.timers.until('all are forgotten', () => !names(workers).some(isLeft));
});

Then(
  'the worker {string} has started {int} tasks',
  async function (this: OwnerSteps, worker: string, count: number) {
    await this.timers.pass(1000);
    assert.equal(this.guard(worker).ran.length, count);
  },
);

Then('the submitted job is started on the other worker', async function (this: OwnerSteps) {
  await this.timers.until('it moves', () => {
    const { state, members } = this.row(this.job);
    return state === 'started' && members[0]?.worker !== this.first;
  });
  assert.equal(this.row(this.job).attempt, 2);
});
