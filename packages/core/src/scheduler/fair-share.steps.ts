import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import { clientAccountSchema } from '../client-account/client-account.js';
import { shapeSchema } from '../gang/shape.js';
import { FairShare, resourcesOf, type Resources } from './fair-share.js';

const HOUR_MS = 3_600_000;
const CAPACITY = { accelerators: 16, cores: 160, memoryMb: 160_000 };
const TOKENS = [{ id: 't', sha256: '0'.repeat(64) }];

class FairShareTrial {
  fairShare = new FairShare({ capacity: CAPACITY });

  now = 0;
}

function use(accelerators: number): Resources {
  return resourcesOf(shapeSchema.parse({ tasks: 1, acceleratorsPerTask: accelerators }));
}

interface World {
  trial: FairShareTrial;
}

Given('fair share with weights {string}', function (this: World, weights: string) {
  this.trial = new FairShareTrial();
  const accounts = weights.split(',').map((text) => {
    const [name, share] = text.split(':');
    return clientAccountSchema.parse({ name, share: Number(share), tokens: TOKENS });
  });
  this.trial.fairShare.setAccounts(accounts);
});

When(
  'account {string} uses {int} accelerators and account {string} uses {int}',
  function (this: World, one: string, first: number, other: string, second: number) {
    this.trial.fairShare.start({ key: '1', account: one, resources: use(first) }, 0);
    this.trial.fairShare.start({ key: '2', account: other, resources: use(second) }, 0);
  },
);

When(
  'account {string} uses {int} accelerators for an hour',
  function (this: World, account: string, accelerators: number) {
    this.trial.fairShare.start({ key: '1', account, resources: use(accelerators) }, 0);
    this.trial.now = HOUR_MS;
    this.trial.fairShare.end('1', this.trial.now);
  },
);

When(
  'account {string} has a quota of {int} and {int} accelerators within its guarantee',
  function (this: World, account: string, quota: number, within: number) {
    this.trial.fairShare.setAllotment(account, quota);
    const charge = { key: '1', account, resources: use(within), withinGuarantee: true };
    this.trial.fairShare.start(charge, 0);
  },
);

Then(
  'fair share puts {string} before {string}',
  function (this: World, one: string, other: string) {
    const before = this.trial.fairShare.priority(one, this.trial.now);
    assert.ok(before < this.trial.fairShare.priority(other, this.trial.now));
  },
);

Then('after {int} hours fair share holds them nearly equal', function (this: World, hours: number) {
  assert.ok(this.trial.fairShare.priority('a', this.trial.now + hours * HOUR_MS) < 1e-5);
});

Then(
  'fair share lets {string} start {int} accelerators but not {int}',
  function (this: World, account: string, most: number, more: number) {
    assert.equal(this.trial.fairShare.mayStart(account, most), true);
    assert.equal(this.trial.fairShare.mayStart(account, more), false);
  },
);

Then('fair share is back at zero after any starts and ends', function () {
  const step = fc.record({
    key: fc.nat(5),
    start: fc.boolean(),
    size: fc.integer({ max: 9, min: 0 }),
  });
  const endsAtZero = fc.property(fc.array(step), (steps) => {
    const fairShare = new FairShare({ capacity: CAPACITY });
    steps.forEach(({ key, start, size }, now) => {
      const charge = { key: `${key}`, account: 'a', resources: use(size) };
      if (start) fairShare.start(charge, now);
      else fairShare.end(`${key}`, now);
      assert.ok(fairShare.counted('a') >= 0);
    });
    for (let key = 0; key <= 5; key += 1) fairShare.end(`${key}`, steps.length);
    assert.equal(fairShare.counted('a'), 0);
    assert.equal(fairShare.overuse('a', []), 0);
  });
  fc.assert(endsAtZero);
});
