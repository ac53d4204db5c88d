/** Steps about claims of guaranteed shapes. */
import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import type { E2eWorld } from './e2e-world.support.js';
import { claimShape, entryUrl, release, untilClaimed } from './job-calls.support.js';

const ENTRY = '(the owner|the old owner|the other entry|entry-\\d+)';

/** Limit of the guarantee under which the scenario's claims stand, in ms. */
const limits = new WeakMap<E2eWorld, number>();

Given(
  '{word} is guaranteed {int} task(s) with {int} accelerators within {int} ms',
  async function (
    this: E2eWorld,
    account: string,
    tasks: number,
    acceleratorsPerTask: number,
    withinMs: number,
  ) {
    limits.set(this, withinMs);
    const shape = { tasks, acceleratorsPerTask };
    await this.rollOut({ guarantees: [{ name: 'shape', account, shape, withinMs }] });
  },
);

When(
  new RegExp(`^(\\w+) claims its shape as "(\\S+)" at ${ENTRY}$`),
  async function (this: E2eWorld, account: string, name: string, entry: string) {
    await claimShape(this, { account, name, url: await entryUrl(this, entry) });
  },
);

When(
  new RegExp(`^claim "(\\S+)" is released at ${ENTRY}$`),
  async function (this: E2eWorld, name: string, entry: string) {
    await release(this, name, await entryUrl(this, entry));
  },
);

Then('claim {string} is held in time', async function (this: E2eWorld, name: string) {
  const { state, heldAfterMs = Infinity } = await untilClaimed(this, name);
  assert.equal(state, 'held');
  // The promise itself, not a margin of the test: the guarantee says within which time.
  assert.ok(heldAfterMs <= (limits.get(this) ?? 0), `Held after ${heldAfterMs} ms.`);
});
