import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { bundleSchema } from '../bundle/bundle.js';
import { jobSpecSchema } from '../job/job.js';
import { createScheduler } from './create-scheduler.js';
import type { DomainScheduler, SchedulerEvent } from './scheduler.js';

interface RetryWorld {
  scheduler: DomainScheduler;
  /** Placements not yet looked at, by job. */
  placed: Map<string, string>;
  failedOn: string;
}

const NOW = 1_000_000;
const FAILING = 'jobs/tuul/failing';
const OTHER = 'jobs/tuul/other';

function tell({ scheduler, placed }: RetryWorld, event: SchedulerEvent): void {
  scheduler.apply(event, NOW);
  scheduler.decide(NOW).forEach((decision) => {
    if (decision.type !== 'place') return;
    placed.set(decision.key, decision.members[0]?.worker ?? 'none');
    scheduler.apply({ type: 'job-started', key: decision.key }, NOW);
  });
}

function submit(world: RetryWorld, key: string): void {
  const spec = jobSpecSchema.parse({
    kind: 'render',
    shape: { tasks: 1, acceleratorsPerTask: 8 },
  });
  const job = { key, account: 'tuul', spec, submittedAt: NOW, attempt: 0 };
  tell(world, { type: 'job-queued', job });
}

Given(
  'a scheduler of {int} worker(s), and a job that fails on one of them',
  function (this: RetryWorld, workers: number) {
    const bundle = bundleSchema.parse({
      accounts: [{ name: 'tuul', tokens: [{ id: 't', sha256: '0'.repeat(64) }] }],
      kinds: [{ name: 'render', path: 'job', urgency: 'waiting', idempotent: true }],
    });
    this.scheduler = createScheduler({ failureDomain: 'hall', bundle });
    this.placed = new Map();
    Array.from({ length: workers }, (_, n) => `w${n}`).forEach((id) => {
      const rack = { rack: 'r0', rackPosition: 0 };
      const size = { cores: 64, memoryMb: 65_536, accelerators: 8 };
      const worker = { type: 'worker' as const, id, address: '127.0.0.1:7000', ...rack, ...size };
      tell(this, { type: 'worker-ready', worker });
    });
    submit(this, FAILING);
    this.failedOn = this.placed.get(FAILING) ?? 'none';
    this.placed.clear();
  },
);

Given('the other worker is taken', function (this: RetryWorld) {
  submit(this, OTHER);
  assert.notEqual(this.placed.get(OTHER), this.failedOn);
});

When('the failed job is queued again', function (this: RetryWorld) {
  const end = { end: 'failed', ranMs: 20, requeue: true, worker: this.failedOn } as const;
  tell(this, { type: 'job-ended', key: FAILING, ...end });
});

When('the other worker becomes free', function (this: RetryWorld) {
  tell(this, { type: 'job-ended', key: OTHER, end: 'succeeded', ranMs: 20, requeue: false });
});

Then('its retry is not placed', function (this: RetryWorld) {
  assert.equal(this.placed.get(FAILING), undefined);
});

Then(
  /^its retry is placed on the (same|other) worker$/,
  function (this: RetryWorld, which: string) {
    const worker = this.placed.get(FAILING);
    assert.ok(worker !== undefined);
    assert.equal(worker === this.failedOn, which === 'same');
  },
);
