import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { RowTables } from '@zincspan/stand-ins';
import { MemoryRowStore } from '../testing/memory-row-store.support.js';
import { WatchedStore } from './watched-store.js';

interface HealthSteps {
  now: number;
  inner: MemoryRowStore;
  store: WatchedStore;
}

async function callAt(world: HealthSteps, at: number): Promise<void> {
  Object.assign(world, { now: at });
  await world.store.read({ table: 'jobs', part: '' }, { timeoutMs: 100 });
}

Given('a store whose calls fail at once', function (this: HealthSteps) {
  this.now = 0;
  this.inner = new MemoryRowStore(new RowTables());
  this.inner.fault = 'refuse';
  const now = (): number => this.now;
  this.store = new WatchedStore({ store: this.inner, clock: { now, wall: now } });
});

When(/^it is called at ([\d, and]+) ms$/, async function (this: HealthSteps, times: string) {
  for (const at of times.match(/\d+/g) ?? []) await callAt(this, Number(at));
});

When('a call at {int} ms is answered', async function (this: HealthSteps, at: number) {
  this.inner.fault = 'none';
  await callAt(this, at);
  this.inner.fault = 'refuse';
});

Then(/^it (counts|doesn't count) as away$/, function (this: HealthSteps, verdict: string) {
  assert.equal(this.store.isAway, verdict === 'counts');
});
