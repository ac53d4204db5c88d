import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { claimRowSchema, type ClaimRow } from '@zincspan/core';
import { TwoDomains } from '../job/lost-failure-domain.steps.js';
import { ownerBundle } from '../owner/owner-world.support.js';

interface CopiesWorld extends TwoDomains {
  claims: string[];
}

function claimRows(world: CopiesWorld): ClaimRow[] {
  return world.claims.map((id) => claimRowSchema.parse(world.store.get(`claims/tuul/${id}`).value));
}

async function claimThrough(world: CopiesWorld, entry: string, guarantee: string): Promise<void> {
  await world.http('POST', '/v1/claims', { payload: { guarantee }, entry });
  assert.ok(world.last.status < 300, JSON.stringify(world.last.body));
  Object.assign(world, { claims: [...(world.claims ?? []), String(world.last.body.id)] });
}

async function untilHeld(world: CopiesWorld): Promise<void> {
  await world.timers.until('all claims are held', () =>
    claimRows(world).every(({ state }) => state === 'held'),
  );
}

Given(
  'the guarantee {string} has {int} copies',
  function (this: CopiesWorld, name: string, count: number) {
    const bundle = ownerBundle();
    const guarantees = bundle.guarantees.map((each) =>
      each.name === name ? { ...each, count } : each,
    );
    this.bundles.put({ ...bundle, guarantees }, 2);
  },
);

When(
  /^(\d+) claims? of "(\w+)" (?:is|are) made through the entry that owns neither$/,
  async function (this: CopiesWorld, count: string, guarantee: string) {
    for (let i = 0; i < Number(count); i += 1) await claimThrough(this, 'entry-b', guarantee);
  },
);

When('the workers {string} of the copy are lost', async function (this: CopiesWorld, ids: string) {
  this.lose(ids);
  await this.heard();
});

Then('no guarantee was found broken by the owner', function (this: CopiesWorld) {
  const { counters } = this.entryOf('entry-a').ctx.metrics;
  assert.equal(counters.get('decision.guarantee-broken') ?? 0, 0);
});

Then(
  'one claim of {string} is held in each of {string} and {string}',
  async function (this: CopiesWorld, guarantee: string, one: string, two: string) {
    await untilHeld(this);
    const rows = claimRows(this);
    assert.ok(rows.every((row) => row.guarantee === guarantee));
    assert.deepEqual(rows.map(({ failureDomain }) => failureDomain).sort(), [one, two].sort());
  },
);

Then(
  'the claim of {string} is held by the worker {string}',
  async function (this: CopiesWorld, guarantee: string, worker: string) {
    await untilHeld(this);
    assert.equal(claimRows(this)[0]?.guarantee, guarantee);
    assert.equal(this.guard(worker).count('held'), 2);
  },
);
