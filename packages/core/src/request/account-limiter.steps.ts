import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { clientAccountSchema, type ClientAccount } from '../client-account/client-account.js';
import type { Problem } from '../error/problem.js';
import { AccountLimiter } from './account-limiter.js';

interface World {
  limiter: AccountLimiter;
  refused: Problem[];
}

function account(name: string): ClientAccount {
  const tokens = [{ id: 't', sha256: '0'.repeat(64) }];
  return clientAccountSchema.parse({ name, tokens });
}

Given(
  'an account limiter of capacity {int} for accounts {string} and {int} entries',
  function (this: World, capacity: number, names: string, entries: number) {
    this.refused = [];
    this.limiter = new AccountLimiter({ entries: () => entries, capacity });
    this.limiter.setAccounts(names.split(',').map(account));
  },
);

Given(
  'an account limiter of capacity {int} and bound {int} for accounts {string}',
  function (this: World, capacity: number, most: number, names: string) {
    this.refused = [];
    this.limiter = new AccountLimiter({ entries: () => 1, capacity, most });
    this.limiter.setAccounts(names.split(',').map(account));
  },
);

When(
  "the runners' capacity becomes {int} at the limiter",
  function (this: World, capacity: number) {
    this.limiter.setCapacity(capacity);
  },
);

When(
  '{int} requests of account {string} take {int} ms each at the limiter',
  function (this: World, count: number, name: string, ms: number) {
    for (let i = 0; i < count; i += 1) {
      this.limiter.start(name, 0);
      this.limiter.ended(name, ms);
    }
  },
);

When(
  'account {string} asks for {int} requests at the limiter',
  function (this: World, name: string, count: number) {
    for (let i = 0; i < count; i += 1) {
      const answer = this.limiter.start(name, i);
      if (answer.type === 'refused') this.refused.push(answer.problem);
    }
  },
);

When(
  '{int} of account {string} end at the limiter',
  function (this: World, count: number, name: string) {
    for (let i = 0; i < count; i += 1) this.limiter.ended(name, 50);
  },
);

Then(
  'the limiter has {int} in progress for {string}',
  function (this: World, count: number, name: string) {
    assert.equal(this.limiter.inProgress(name), count);
  },
);

Then(
  'the limiter has {int} or fewer in progress for {string}',
  function (this: World, most: number, name: string) {
    assert.ok(this.limiter.inProgress(name) <= most);
  },
);

Then(
  'the limiter refused as {string} with growing times to come back',
  function (this: World, kind: string) {
    const times = this.refused.map(({ retryAfterMs = 0 }) => retryAfterMs);
    assert.ok(this.refused.every((problem) => problem.kind === kind));
    assert.ok((times[times.length - 1] ?? 0) > (times[0] ?? 0));
  },
);

Then("the limiter's refusals name a bound of {int}", function (this: World, bound: number) {
  assert.ok(this.refused.every(({ facts }) => facts?.bound === bound));
});

Then("the limiter's refusals are about {int} ms apart", function (this: World, apart: number) {
  const [first = 0, second = 0] = this.refused.map(({ retryAfterMs = 0 }) => retryAfterMs);
  assert.ok(Math.abs(second - first - apart) <= 0.05 * apart, `${first} ${second}`);
});

Then('an account limiter keeps its counts for any starts and ends', function () {
  const step = fc.record({ name: fc.constantFrom('a', 'b', 'c'), start: fc.boolean() });
  const keepsCounts = fc.property(fc.array(step, { maxLength: 300 }), (steps) => {
    const limiter = new AccountLimiter({ entries: () => 1, capacity: 20 });
    const open = new Map([
      ['a', 0],
      ['b', 0],
      ['c', 0],
    ]);
    steps.forEach(({ name, start }, now) => {
      const before = open.get(name) ?? 0;
      if (start && limiter.start(name, now).type === 'admitted') open.set(name, before + 1);
      if (!start && before > 0) {
        limiter.ended(name, 10);
        open.set(name, before - 1);
      }
      const total = [...open.values()].reduce((a, b) => a + b, 0);
      assert.equal(limiter.inProgress(), total);
      assert.equal(limiter.inProgress(name), open.get(name));
    });
  });
  fc.assert(keepsCounts);
});
