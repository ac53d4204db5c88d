import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { OwnerSteps } from '../owner/owner.steps.js';

interface SweptWorld extends OwnerSteps {
  staying: string;
}

function claimState(world: SweptWorld): string | undefined {
  const { value } = world.store.get(`claims/tuul/${world.staying}`);
  return (value as { state: string } | null)?.state;
}

Then("the submitted job's row is still there", function (this: SweptWorld) {
  assert.ok(this.store.get(`jobs/tuul/${this.job}`).version > 0);
});

Then("the submitted job's row is gone", function (this: SweptWorld) {
  assert.equal(this.store.get(`jobs/tuul/${this.job}`).version, 0);
});

Given(
  'a claim of {string} is held that will stay',
  async function (this: SweptWorld, guarantee: string) {
    await this.http('POST', '/v1/claims', { payload: { guarantee } });
    this.staying = String(this.last.body.id);
    await this.timers.until('it is held', () => claimState(this) === 'held');
  },
);

When('the claim that stays is released after all', async function (this: SweptWorld) {
  await this.http('DELETE', `/v1/claims/${this.staying}`);
});

Then('the row of the claim that stays is still there', function (this: SweptWorld) {
  assert.equal(claimState(this), 'held');
});

Then('the row of the claim that stays is gone', function (this: SweptWorld) {
  assert.equal(claimState(this), undefined);
});

When(
  '{int} ms go by in one leap, and two minutes more',
  async function (this: SweptWorld, ms: number) {
    this.timers.clock.advance(ms);
    await this.timers.pass(120_000);
  },
);

Then('the row of the claim that stays says {string}', function (this: SweptWorld, state: string) {
  assert.equal(claimState(this), state);
});
