import assert from 'node:assert/strict';
import { Before, Given, Then } from '@cucumber/cucumber';
import { sleep } from '../clock/sleep.js';
import { settleCall } from './settled-call.js';
import { storeRetryMs } from './store-retry.js';

interface Answer {
  outcome: string;
}

interface SettledSteps {
  own: () => Promise<Answer>;
  others: (() => Promise<Answer>)[];
  asked: number;
  awayMs: number;
}

const TRIES = 5;

function answerLater(outcome: string, ms: number): () => Promise<Answer> {
  return async () => {
    await sleep(ms);
    return { outcome };
  };
}

async function settle(world: SettledSteps): Promise<{ outcome: string; tookMs: number }> {
  const startedAt = performance.now();
  const { outcome } = await settleCall({
    own: world.own(),
    askOthers: () => {
      Object.assign(world, { asked: world.others.length });
      return world.others.map((ask) => ask());
    },
  });
  return { outcome, tookMs: performance.now() - startedAt };
}

Before(function (this: SettledSteps) {
  this.others = [];
  this.asked = 0;
});

Given(
  'an own try that comes to {string} after {int} ms',
  function (this: SettledSteps, outcome: string, ms: number) {
    this.own = answerLater(outcome, ms);
  },
);

Given(
  'another entry that comes to {string} after {int} ms',
  function (this: SettledSteps, outcome: string, ms: number) {
    this.others.push(answerLater(outcome, ms));
  },
);

Given('a store that has been away for {int} ms', function (this: SettledSteps, awayMs: number) {
  this.awayMs = awayMs;
});

Given(
  'a caller whose first try comes {int} ms after the store went away',
  function (this: SettledSteps, awayMs: number) {
    this.awayMs = awayMs;
  },
);

Then(
  /^the call comes to "([a-z-]+)" within (\d+) ms( and nobody else was asked)?$/,
  async function (this: SettledSteps, expected: string, limitMs: string, alone: string | null) {
    const { outcome, tookMs } = await settle(this);
    assert.equal(outcome, expected);
    assert.ok(tookMs < Number(limitMs), `took ${tookMs} ms`);
    if (alone !== null) assert.equal(this.asked, 0);
  },
);

Then(
  'callers are told to come back after {int} ms',
  function (this: SettledSteps, retryMs: number) {
    assert.equal(storeRetryMs(this.awayMs), retryMs);
  },
);

Then(
  'its fifth try comes more than {int} ms after the store went away',
  function (this: SettledSteps, limitMs: number) {
    let atMs = this.awayMs;
    // The header is in whole seconds.
    for (let each = 1; each < TRIES; each++) atMs += Math.ceil(storeRetryMs(atMs) / 1000) * 1000;
    assert.ok(atMs > limitMs, `${atMs} ms`);
  },
);
