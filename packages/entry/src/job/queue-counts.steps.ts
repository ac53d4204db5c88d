import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { ManualClock } from '@zincspan/core';
import type { ActiveJob, JobStore } from './job-store.js';
import { QueueCounts } from './queue-counts.js';

const LOOK_MS = 10_000;

interface CountsWorld {
  clock: ManualClock;
  counts: QueueCounts;
  mayQueue: number;
  listed: ActiveJob[];
}

function job(n: number): ActiveJob {
  const id = `j${n}`;
  const key = `jobs/tuul/${id}`;
  return { key, account: 'tuul', id, version: 1, state: 'queued', cancelRequested: false };
}

Given(
  '{int} jobs of an account that may queue {int} wait in the table',
  function (this: CountsWorld, count: number, mayQueue: number) {
    this.clock = new ManualClock({ start: 1_000_000 });
    this.mayQueue = mayQueue;
    this.listed = Array.from({ length: count }, (_, n) => job(n));
    const store = { listActive: async () => this.listed } as unknown as JobStore;
    this.counts = new QueueCounts({ store, clock: this.clock, failureDomains: ['hall'] });
  },
);

When(
  '1 of them leaves and 1 comes every 10 s for {int} s, and each time its count is asked for',
  async function (this: CountsWorld, seconds: number) {
    for (let n = 0; n * LOOK_MS <= seconds * 1000; n += 1) {
      await this.counts.full('tuul', this.mayQueue);
      this.clock.advance(LOOK_MS);
      this.listed = [...this.listed.slice(1), job(1000 + n)];
    }
  },
);

When('none leaves for {int} s', async function (this: CountsWorld, seconds: number) {
  for (let ms = 0; ms < seconds * 1000; ms += LOOK_MS) {
    await this.counts.full('tuul', this.mayQueue);
    this.clock.advance(LOOK_MS);
  }
});

Then(
  'the account is told to come back in {int} s to {int} s',
  async function (this: CountsWorld, least: number, most: number) {
    const full = await this.counts.full('tuul', this.mayQueue);
    const seconds = (full?.retryAfterMs ?? 0) / 1000;
    assert.ok(seconds >= least && seconds <= most, String(seconds));
  },
);

Then("the account isn't told to come back", async function (this: CountsWorld) {
  assert.equal(await this.counts.full('tuul', this.mayQueue), undefined);
});
