import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { shapeOf, TestDomain } from './domain.support.js';

const WHOLE = shapeOf(1, 8, 'worker');
const EVERY_MS = 20_000;
const HOUR_MS = 3_600_000;

interface ComeBackWorld {
  full: TestDomain;
  mayQueue: number;
  last: string;
}

Given(
  'a scheduler of 1 worker whose account {string} may queue {int} jobs',
  function (this: ComeBackWorld, name: string, queuedJobs: number) {
    this.mayQueue = queuedJobs;
    this.full = new TestDomain({ workers: 1 });
    const { bundle } = this.full;
    const accounts = bundle.accounts.map((account) =>
      account.name === name ? { ...account, quota: { ...account.quota, queuedJobs } } : account,
    );
    this.full.tell({ type: 'bundle', bundle: { ...bundle, accounts, guarantees: [] } });
  },
);

Given('one of its jobs has started every 20 s for an hour', function (this: ComeBackWorld) {
  for (let ms = 0; ms < HOUR_MS; ms += EVERY_MS) {
    this.full.submit('guests', 'render', WHOLE);
    this.full.advance(EVERY_MS);
    [...this.full.running.keys()].forEach((key) => this.full.end(key, 'succeeded', false));
  }
  this.full.submit('guests', 'render', WHOLE);
  assert.equal(this.full.running.size, 1);
});

Given('its worker is taken for hours', function (this: ComeBackWorld) {
  this.full.submit('deeds', 'render', WHOLE, { declaredRunMs: 10 * HOUR_MS });
});

When('it submits one more than may wait', function (this: ComeBackWorld) {
  for (let i = 0; i <= this.mayQueue; i += 1) {
    this.last = this.full.submit('guests', 'render', WHOLE);
  }
});

Then(
  'the last submission is refused as {string} with {int} s to {int} s to come back',
  function (this: ComeBackWorld, kind: string, least: number, most: number) {
    const refusals = this.full.of('refuse');
    assert.deepEqual(
      refusals.map(({ key }) => key),
      [this.last],
    );
    const { problem } = refusals[0]!;
    assert.equal(problem.kind, kind);
    const seconds = (problem.retryAfterMs ?? 0) / 1000;
    assert.ok(seconds >= least && seconds <= most, String(seconds));
  },
);
