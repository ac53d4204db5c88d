import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { shapeOf, TestDomain } from './domain.support.js';

const HOURS = 4;
const STEP_MS = 10_000;

interface QuotaHeldWorld {
  held: TestDomain;
}

Given(
  'a scheduler whose account {string} may use {int} accelerators',
  function (this: QuotaHeldWorld, name: string, accelerators: number) {
    this.held = new TestDomain({ workers: 6 });
    const { bundle } = this.held;
    const accounts = bundle.accounts.map((account) =>
      account.name === name ? { ...account, quota: { ...account.quota, accelerators } } : account,
    );
    this.held.tell({ type: 'bundle', bundle: { ...bundle, accounts, guarantees: [] } });
  },
);

Given('jobs of {string} fill every other worker', function (this: QuotaHeldWorld, name: string) {
  for (let i = 0; i < 5; i += 1) this.held.submit(name, 'render', shapeOf(1, 8, 'worker'));
});

When(
  /^(\d+) accelerators are allotted to "(\w+)"$/,
  function (this: QuotaHeldWorld, accelerators: string, account: string) {
    this.held.tell({ type: 'allotment', account, accelerators: Number(accelerators) });
  },
);

When(
  /^"(\w+)" queues 2 (waiting|urgent) jobs of 8 accelerators and 4 hours pass$/,
  function (this: QuotaHeldWorld, account: string, urgency: string) {
    const kind = urgency === 'urgent' ? 'proof' : 'render';
    for (let i = 0; i < 2; i += 1) this.held.submit(account, kind, shapeOf(1, 8, 'worker'));
    for (let ms = 0; ms < HOURS * 3_600_000; ms += STEP_MS) this.held.advance(STEP_MS);
  },
);

Then(
  /^(\d+) jobs? of "(\w+)" runs?, and nothing was evicted$/,
  function (this: QuotaHeldWorld, count: string, account: string) {
    const running = [...this.held.running.values()].filter(({ job }) => job.account === account);
    assert.equal(running.length, Number(count));
    assert.deepEqual(
      this.held.of('evict').filter(({ reason }) => reason !== 'overrun'),
      [],
    );
  },
);
