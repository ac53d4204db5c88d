import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { HedgePolicy } from './hedge-policy.js';
import { LatencyTracker } from './latency-tracker.js';

interface World {
  hedging: HedgePolicy;
  latency: LatencyTracker;
  /** Copies that the budget still allows. */
  left: number;
}

Given(
  'a hedge policy that saw {int} latencies from 1 to {int} ms',
  function (this: World, count: number, longest: number) {
    const latency = new LatencyTracker();
    for (let i = 0; i < count; i += 1) {
      latency.observe({ runner: 'r', kind: 'match', ms: 1 + ((i * 37) % longest) });
    }
    this.latency = latency;
    this.left = 2;
    const take = (): boolean => {
      this.left -= 1;
      return this.left >= 0;
    };
    this.hedging = new HedgePolicy({ latency, budget: { take } });
  },
);

Then(
  'the hedge policy waits between {int} and {int} ms for an idempotent request',
  function (this: World, least: number, most: number) {
    const query = { kind: 'match', idempotent: true, timeLeftMs: 2000 };
    const delayMs = this.hedging.delayMs(query) ?? 0;
    assert.ok(delayMs >= least && delayMs <= most, `${delayMs}`);
  },
);

Then('the hedge policy never copies a non-idempotent request', function (this: World) {
  const query = { kind: 'match', idempotent: false, timeLeftMs: 2000 };
  assert.equal(this.hedging.delayMs(query), undefined);
});

Then(
  'the hedge policy never copies a request with {int} ms left',
  function (this: World, ms: number) {
    const query = { kind: 'match', idempotent: true, timeLeftMs: ms };
    assert.equal(this.hedging.delayMs(query), undefined);
  },
);

When('{int} copies of {int} answered first', function (this: World, won: number, count: number) {
  this.left = count;
  for (let i = 0; i < count; i += 1) this.hedging.copyEnded('match', { won: i < won });
});

Then(
  'the hedge policy sends {int} copies of {int} at utilisation {float}',
  function (this: World, wanted: number, count: number, utilisation: number) {
    const asked = Array.from({ length: count }, () =>
      this.hedging.mayHedge({ account: 'a', kind: 'match', utilisation }),
    );
    assert.equal(asked.filter(Boolean).length, wanted);
  },
);

When('its answers take {int} ms beyond their service', function (this: World, overheadMs: number) {
  for (let i = 0; i < 200; i += 1) {
    const ms = 1 + ((i * 37) % 200);
    const end = { kind: 'match', how: 'answered', ms, elapsedMs: ms + overheadMs } as const;
    this.latency.ended('r', end);
  }
});

/** How much slower a runner looks after a request to it was given up. */
function slowedBy({ latency }: World, ms: number): number {
  const before = latency.slowness('other');
  latency.ended('other', { kind: 'match', how: 'abandoned', ms });
  return latency.slowness('other') - before;
}

Then(
  'giving a request up after {int} ms makes its runner look no slower',
  function (this: World, ms: number) {
    assert.equal(slowedBy(this, ms), 0);
  },
);

Then(
  'giving a request up after {int} ms makes its runner look slower',
  function (this: World, ms: number) {
    assert.ok(slowedBy(this, ms) > 0);
  },
);
