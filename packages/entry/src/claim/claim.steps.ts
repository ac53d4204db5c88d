import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { claimRowSchema, jobRowSchema, type ClaimRow, type Reservation } from '@zincspan/core';
import { OwnerSteps } from '../owner/owner.steps.js';
import type { TOKENS } from '../owner/owner-world.support.js';

interface ClaimWorld extends OwnerSteps {
  claim: string;
  /** Jobs that fill the workers. */
  fillers: string[];
  silent: string;
}

type Account = keyof typeof TOKENS;

async function claim(world: ClaimWorld, account: Account, guarantee: string, key?: string) {
  await world.http('POST', '/v1/claims', {
    payload: { guarantee },
    account,
    headers: key === undefined ? {} : { 'idempotency-key': key },
  });
  if (world.last.status < 300) Object.assign(world, { claim: String(world.last.body.id) });
}

function claimRow(world: ClaimWorld): ClaimRow {
  return claimRowSchema.parse(world.store.get(`claims/tuul/${world.claim}`).value);
}

/** Reservations of the claim itself, on guards that can be reached. */
function held(world: ClaimWorld): Reservation[] {
  return [...world.guards.values()]
    .filter(({ closed }) => !closed)
    .flatMap(({ book }) => book.inventory())
    .filter(({ ref, state }) => state === 'held' && ref.key === `claims/tuul/${world.claim}`);
}

function accelerators(world: ClaimWorld): number {
  return held(world).reduce((sum, { member }) => sum + member.accelerators.length, 0);
}

Given(
  'the account {string} fills both workers with checkpointable jobs',
  async function (this: ClaimWorld, account: Account) {
    const payload = { kind: 'render', shape: { tasks: 1, acceleratorsPerTask: 4 } };
    this.fillers = [];
    for (let i = 0; i < 4; i += 1) {
      await this.http('POST', '/v1/jobs', { payload, account });
      this.fillers.push(String(this.last.body.id));
    }
    const running = (): number =>
      [...this.guards.values()].reduce((sum, guard) => sum + guard.count('running'), 0);
    await this.timers.until('all run', () => running() === 4);
  },
);

When(
  'the account {string} claims {string}',
  async function (this: ClaimWorld, account: Account, guarantee: string) {
    await claim(this, account, guarantee);
  },
);

When(
  'the account {string} claims {string} with key {string}',
  async function (this: ClaimWorld, account: Account, guarantee: string, key: string) {
    await claim(this, account, guarantee, key);
  },
);

When('the claim is released', async function (this: ClaimWorld) {
  await this.http('DELETE', `/v1/claims/${this.claim}`);
  assert.equal(this.last.body.state, 'released');
});

When('a worker that holds the claim falls silent for good', function (this: ClaimWorld) {
  this.silent = held(this)[0]?.member.worker ?? '';
  this.guard(this.silent).closed = true;
  this.timers.clock.advance(20_000);
  this.guards.forEach((guard) => {
    if (!guard.closed) this.relink(guard);
  });
  this.entryOf('entry-a').upstreams.expire();
});

When(
  'a job is submitted for {int} accelerators of the claim',
  async function (this: ClaimWorld, count: number) {
    const shape = { tasks: 1, acceleratorsPerTask: count };
    await this.http('POST', '/v1/jobs', { payload: { kind: 'entry', shape, claim: this.claim } });
    this.job = String(this.last.body.id);
  },
);

Then('the claim gets {string}', async function (this: ClaimWorld, state: string) {
  await this.timers.until(`the claim is ${state}`, () => claimRow(this).state === state);
});

Then(
  'the claim holds {int} accelerators on the workers',
  function (this: ClaimWorld, count: number) {
    assert.equal(accelerators(this), count);
  },
);

Then('within the guaranteed time', async function (this: ClaimWorld) {
  await this.http('GET', `/v1/claims/${this.claim}`);
  assert.ok(Number(this.last.body.heldAfterMs) <= 30_000);
});

Then('every evicted job was queued again with its checkpoint', function (this: ClaimWorld) {
  const rows = this.fillers.map((id) =>
    jobRowSchema.parse(this.store.get(`jobs/malabar/${id}`).value),
  );
  const evicted = rows.filter(({ state }) => state === 'queued');
  assert.equal(evicted.length, 2);
  assert.ok(evicted.every(({ checkpoint }) => checkpoint === '["at-1-0"]'));
});

Then('the claim is held by the workers that are left', async function (this: ClaimWorld) {
  await this.timers.until('it is held again', () => accelerators(this) === 8);
  await this.timers.until('its row says so', () => claimRow(this).state === 'held');
});

Then('the submitted job runs inside the claim', function (this: ClaimWorld) {
  const inside = [...this.guards.values()]
    .flatMap(({ book }) => book.inventory())
    .find(({ ref }) => ref.key === `jobs/tuul/${this.job}`);
  assert.equal(inside?.within, `claims/tuul/${this.claim}`);
});
