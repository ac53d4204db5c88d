import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { jobSpecSchema } from '../job/job.js';
import { QueueOrder, type OrderInputs, type QueueTraits } from './queue-order.js';
import type { QueuedJob } from './scheduler.js';

const HOUR_MS = 3_600_000;
const SHAPE = { tasks: 1, acceleratorsPerTask: 1 };
const TRAITS: Record<string, QueueTraits> = {
  match: { urgent: true, withinMs: 30_000 },
  proof: { urgent: true, withinMs: 90_000 },
  index: { urgent: false },
};

class QueueTrial {
  overuse = new Map<string, number>();

  queue!: QueueOrder;

  now = 100;

  tookMs = 0;
}

function makeQueue(overuse: Map<string, number>): QueueOrder {
  const inputs: OrderInputs = {
    traits: (kind) => TRAITS[kind] ?? { urgent: false },
    runMs: () => 10_000,
    priority: (account) => account.length / 100,
    overuse: (account) => overuse.get(account) ?? 1,
  };
  return new QueueOrder({ inputs });
}

/** A job by `account/kind/submittedAt`, which is its key too. */
function job(key: string): QueuedJob {
  const [account = '', kind = '', at = '0'] = key.split('/');
  const spec = jobSpecSchema.parse({ kind, shape: SHAPE });
  return { key, account, spec, submittedAt: Number.parseInt(at, 10), attempt: 0 };
}

function inOrder({ queue, now }: QueueTrial): string[] {
  return [...queue.inOrder(now)].map(({ key }) => key);
}

interface World {
  trial: QueueTrial;
}

Given('a queue order', function (this: World) {
  this.trial = new QueueTrial();
  this.trial.queue = makeQueue(this.trial.overuse);
});

When('these jobs wait: {string}', function (this: World, keys: string) {
  keys.split(', ').forEach((key) => this.trial.queue.add(job(key)));
});

When(
  'account {string} uses {int} times its part and submits {int} urgent jobs first',
  function (this: World, account: string, times: number, count: number) {
    this.trial.overuse.set(account, times);
    for (let i = 0; i < count; i += 1) this.trial.queue.add(job(`${account}/match/0${i}`));
  },
);

When('account {string} submits one urgent job', function (this: World, account: string) {
  this.trial.queue.add(job(`${account}/match/100`));
});

When(
  'a waiting job has waited {int} hours and {int} urgent jobs come',
  function (this: World, hours: number, count: number) {
    this.trial.now = hours * HOUR_MS;
    this.trial.queue.add(job('w/index/0'));
    for (let i = 0; i < count; i += 1) this.trial.queue.add(job(`a/match/${this.trial.now - i}`));
  },
);

When('the job {string} is taken out and queued again', function (this: World, key: string) {
  this.trial.queue.remove([key]);
  this.trial.queue.add(job(key));
});

When(
  '{int} jobs wait and all but {int} are cancelled at once',
  function (this: World, count: number, kept: number) {
    const keys = Array.from({ length: count }, (_, i) => `a/index/${i}`);
    keys.forEach((key) => this.trial.queue.add(job(key)));
    const startedAt = performance.now();
    this.trial.queue.remove(keys.slice(kept));
    assert.equal(inOrder(this.trial).length, kept);
    this.trial.tookMs = performance.now() - startedAt;
  },
);

Then('queue order is {string}', function (this: World, keys: string) {
  assert.deepEqual(inOrder(this.trial), keys.split(', '));
});

Then('queue order starts with the job of {string}', function (this: World, account: string) {
  assert.equal(inOrder(this.trial)[0]?.split('/')[0], account);
});

Then(
  'queue order has {int} jobs left within {int} ms',
  function (this: World, count: number, mostMs: number) {
    assert.equal(this.trial.queue.count('a'), count);
    assert.ok(this.trial.tookMs < mostMs, `took ${this.trial.tookMs} ms`);
  },
);

Then('queue order agrees with a full sort for any adds and removals', function () {
  const step = fc.record({
    account: fc.constantFrom('a', 'bb', 'ccc'),
    kind: fc.constantFrom('match', 'proof', 'index'),
    at: fc.nat(30),
    add: fc.boolean(),
  });
  const agrees = fc.property(fc.array(step, { maxLength: 60 }), (steps) => {
    const queue = makeQueue(new Map([['bb', 1.5]]));
    const waiting = new Map<string, QueuedJob>();
    steps.forEach(({ account, kind, at, add }) => {
      const key = `${account}/${kind}/${at}`;
      if (add) {
        waiting.set(key, job(key));
        queue.add(job(key));
      } else {
        waiting.delete(key);
        queue.remove([key]);
      }
    });
    const order = [...queue.inOrder(1000)].map(({ key }) => key);
    assert.deepEqual([...order].sort(), [...waiting.keys()].sort());
    const rank = ({ account, spec, submittedAt }: QueuedJob): number => {
      if (spec.kind === 'index') return 1e9 + (account.length / 100) * HOUR_MS + submittedAt;
      return submittedAt + (TRAITS[spec.kind]?.withinMs ?? 0) + (account === 'bb' ? 15_000 : 0);
    };
    const ranks = order.map((key) => rank(waiting.get(key) as QueuedJob));
    ranks.forEach((value, i) => assert.ok(i === 0 || value >= (ranks[i - 1] as number) - 1e-6));
  });
  fc.assert(agrees);
});
