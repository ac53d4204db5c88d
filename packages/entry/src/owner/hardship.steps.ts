import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { JobRow } from '@zincspan/core';
import type { OwnerSteps } from './owner.steps.js';
import { ownerBundle } from './owner-world.support.js';

Given('a row of a job that nobody can read', function (this: OwnerSteps) {
  this.store.write('write-by-hand', [
    { key: 'jobs/tuul/broken', ifVersion: 0, value: { state: 'odd' } },
    { key: 'active/hall/tuul/broken', ifVersion: 0, value: { state: 'queued' } },
  ]);
});

Given('something else holds all of {string}', function (this: OwnerSteps, worker: string) {
  const { book, process, worker: size } = this.guard(worker);
  const order = { failureDomain: 'hall', term: 1, incarnation: process.incarnation };
  const accelerators = Array.from({ length: size.accelerators }, (_, i) => i);
  const member = { member: 0, worker, accelerators, cores: size.cores, memoryMb: 1 };
  const ref = { key: 'claims/malabar/other', attempt: 7, member: 0 };
  book.reserve({ order, ref, member, ttlMs: 600_000 }, size, this.timers.clock.now());
});

When(
  'the answers of {string} are lost from the start on, twice',
  function (this: OwnerSteps, worker: string) {
    const guard = this.guard(worker);
    const call = guard.call.bind(guard);
    let losses = 2;
    guard.call = async (method, req) => {
      if (method === 'gang.start' && losses > 0) {
        losses -= 1;
        guard.loseAnswers = 1;
      }
      return call(method, req);
    };
  },
);

Given('a bundle that asks for the fifo scheduler', async function (this: OwnerSteps) {
  const bundle = ownerBundle();
  this.bundles.put({ ...bundle, policy: { ...bundle.policy, scheduler: 'fifo' } }, 2);
  await this.timers.until('entry-a owns', () => this.entryOf('entry-a').owns);
});

When('the worker {string} joins', function (this: OwnerSteps, worker: string) {
  this.addWorker(worker);
});

When('the guard of {string} falls silent', function (this: OwnerSteps, worker: string) {
  this.guard(worker).closed = true;
});

When(
  'the worker {string} fails whatever it runs',
  async function (this: OwnerSteps, worker: string) {
    const guard = this.guard(worker);
    await this.timers.until('the job has failed', () => {
      if (guard.count('running') > 0) void guard.finish('failed');
      return this.row(this.job).state === 'failed';
    });
  },
);

When("another owner's start of the submitted job gets into its row", function (this: OwnerSteps) {
  const { value, version } = this.store.get(`jobs/tuul/${this.job}`);
  const guard = this.guard('w1');
  const member = { member: 0, worker: 'w1', accelerators: [0], cores: 1, memoryMb: 256 };
  const { id, incarnation } = guard.process;
  const started: Partial<JobRow> = {
    state: 'started',
    attempt: 40,
    members: [{ ...member, guard: id, incarnation }],
  };
  const row = { ...(value as JobRow), ...started };
  const key = `jobs/tuul/${this.job}`;
  this.store.write('write-by-hand', [{ key, ifVersion: version, value: row }]);
});

Then('the submitted job is still {string}', function (this: OwnerSteps, state: string) {
  assert.equal(this.row(this.job).state, state);
});

Then('the guard of {string} still remembers the end', function (this: OwnerSteps, worker: string) {
  assert.equal(this.guard(worker).count('ended'), 1);
});

Then('the owner has made at most {int} attempts', function (this: OwnerSteps, most: number) {
  const made = this.entryOf('entry-a').ctx.metrics.counters.get('job.placed') ?? 0;
  assert.ok(made > 1 && made <= most, `It made ${made}.`);
});

When(
  'the worker {string} has prepared, and is cut off until its reservation has lapsed',
  async function (this: OwnerSteps, worker: string) {
    const guard = this.guard(worker);
    const prepared = guard.prepare();
    guard.closed = true;
    await prepared;
    await this.untilState(this.job, 'started');
    await this.timers.pass(16_000);
    guard.lapse();
    this.relink(guard);
  },
);
