import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { RowTables } from '@zincspan/stand-ins';
import { MemoryRowStore } from '../testing/memory-row-store.support.js';
import { MonitoredStore } from './monitored-store.js';

interface MonitoredStoreWorld {
  now: number;
  inner: MemoryRowStore;
  store: MonitoredStore;
}

async function callAt(world: MonitoredStoreWorld, at: number): Promise<void> {
  Object.assign(world, { now: at });
  await world.store.read({ table: 'jobs', part: '' }, { timeoutMs: 100 });
}

Given('a store whose calls fail at once', function (this: MonitoredStoreWorld) {
  this.now = 0;
  this.inner = new MemoryRowStore(new RowTables());
  this.inner.fault = 'refuse';
  const now = (): number => this.now;
  this.store = new MonitoredStore({ store: this.inner, clock: { now, wall: now } });
});

When(
  /^it is called at ([\d, and]+) ms$/,
  async function (this: MonitoredStoreWorld, times: string) {
    for (const at of times.match(/\d+/g) ?? []) await callAt(this, Number(at));
  },
);

When('a call at {int} ms is answered', async function (this: MonitoredStoreWorld, at: number) {
  this.inner.fault = 'none';
  await callAt(this, at);
  this.inner.fault = 'refuse';
});

Then(
  /^it (counts|doesn't count) as unavailable$/,
  function (this: MonitoredStoreWorld, verdict: string) {
    assert.equal(this.store.isUnavailable, verdict === 'counts');
  },
);
