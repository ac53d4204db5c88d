import assert from 'node:assert/strict';
import { Before, Given, Then } from '@cucumber/cucumber';
import { sleep } from '../clock/sleep.js';
import { hedgeCall } from './hedged-call.js';
import { storeRetryAfterMs } from './store-retry.js';

interface Answer {
  outcome: string;
}

interface HedgedCallWorld {
  local: () => Promise<Answer>;
  others: (() => Promise<Answer>)[];
  isWrite: boolean;
  asked: number;
  unavailableMs: number;
}

const ATTEMPTS = 5;

function answerLater(outcome: string, ms: number): () => Promise<Answer> {
  return async () => {
    await sleep(ms);
    return { outcome };
  };
}

async function runHedgedCall(world: HedgedCallWorld): Promise<{ outcome: string; tookMs: number }> {
  const startedAt = performance.now();
  const { outcome } = await hedgeCall({
    local: world.local(),
    isWrite: world.isWrite,
    callOthers: () => {
      Object.assign(world, { asked: world.others.length });
      return world.others.map((ask) => ask());
    },
  });
  return { outcome, tookMs: performance.now() - startedAt };
}

Before(function (this: HedgedCallWorld) {
  this.others = [];
  this.isWrite = false;
  this.asked = 0;
});

Given(
  'a local attempt that returns {string} after {int} ms',
  function (this: HedgedCallWorld, outcome: string, ms: number) {
    this.local = answerLater(outcome, ms);
  },
);

Given(
  'a write with a local attempt that returns {string} after {int} ms',
  function (this: HedgedCallWorld, outcome: string, ms: number) {
    this.isWrite = true;
    this.local = answerLater(outcome, ms);
  },
);

Given(
  'another entry that returns {string} after {int} ms',
  function (this: HedgedCallWorld, outcome: string, ms: number) {
    this.others.push(answerLater(outcome, ms));
  },
);

Given(
  'a store that has been unavailable for {int} ms',
  function (this: HedgedCallWorld, unavailableMs: number) {
    this.unavailableMs = unavailableMs;
  },
);

Given(
  'a caller whose first attempt comes {int} ms after the start of the outage',
  function (this: HedgedCallWorld, unavailableMs: number) {
    this.unavailableMs = unavailableMs;
  },
);

Then(
  /^the call returns "([a-z-]+)" within (\d+) ms( and no other entry was called)?$/,
  async function (this: HedgedCallWorld, expected: string, limitMs: string, alone: string | null) {
    const { outcome, tookMs } = await runHedgedCall(this);
    assert.equal(outcome, expected);
    assert.ok(tookMs < Number(limitMs), `took ${tookMs} ms`);
    if (alone !== null) assert.equal(this.asked, 0);
  },
);

Then('callers are told to retry after {int} ms', function (this: HedgedCallWorld, retryMs: number) {
  assert.equal(storeRetryAfterMs(this.unavailableMs), retryMs);
});

Then(
  'its fifth attempt comes more than {int} ms after the start of the outage',
  function (this: HedgedCallWorld, limitMs: number) {
    let atMs = this.unavailableMs;
    // The retry-after header is in whole seconds.
    for (let i = 1; i < ATTEMPTS; i++) atMs += Math.ceil(storeRetryAfterMs(atMs) / 1000) * 1000;
    assert.ok(atMs > limitMs, `${atMs} ms`);
  },
);
