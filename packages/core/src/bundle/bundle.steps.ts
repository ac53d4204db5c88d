import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import type { Bundle, BundleHead } from './bundle.js';
import { account, bundleOf, bundles, headOf, keys, operators } from './bundle.support.js';
import { applyDelta, makeDelta } from './delta.js';
import { DrainedWatch } from './drained-watch.js';
import { BundleKeeper, type OfferResult } from './keeper.js';
import { normalizeBundle } from './sections.js';
import { digestBundle } from './section-set.js';

interface KeeperWorld {
  keeper: BundleKeeper;
  bundle: Bundle;
  next: Bundle;
  result: OfferResult;
  told: boolean[];
}

const someHead = headOf(bundleOf(), 1);

Then('bundle deltas applied to their start give their end, whatever the bundles', function () {
  fc.assert(
    fc.property(bundles, bundles, (before, after) => {
      const delta = makeDelta({ from: 1, before, after, head: someHead });
      assert.deepEqual(applyDelta(before, delta), normalizeBundle(after));
    }),
  );
});

Then('bundle digests stay when lists are reversed, whatever the bundle', function () {
  fc.assert(
    fc.property(bundles, (bundle) => {
      const accounts = [...bundle.accounts].reverse();
      const reversed = { ...bundle, accounts, drained: [...bundle.drained].reverse() };
      assert.equal(digestBundle(reversed), digestBundle(bundle));
    }),
  );
});

Then('bundle keepers offered any heads in any order never go back', function () {
  const offers = fc.array(fc.tuple(bundles, fc.integer({ min: 1, max: 6 })), { maxLength: 8 });
  fc.assert(
    fc.property(offers, (list) => {
      const keeper = new BundleKeeper({ operators });
      list.forEach(([bundle, version]) => {
        const before = keeper.current;
        const result = keeper.offerBundle(headOf(bundle, version), bundle);
        if (result === 'taken') assert.ok(version > (before?.head.version ?? 0));
        else assert.equal(keeper.current, before);
        const digest = keeper.current && digestBundle(keeper.current.bundle);
        assert.equal(digest, keeper.current?.head.digest);
      });
    }),
    { numRuns: 50 },
  );
});

Then('bundle keepers answer any earlier version with a delta that leads on', function () {
  const history = fc.array(bundles, { minLength: 1, maxLength: 5 });
  fc.assert(
    fc.property(history, (list) => {
      const keeper = new BundleKeeper({ operators, historySize: 3 });
      const laggards = list.map((bundle, i) => {
        keeper.offerBundle(headOf(bundle, i + 1), bundle);
        const laggard = new BundleKeeper({ operators });
        laggard.offerBundle(headOf(bundle, i + 1), bundle);
        return laggard;
      });
      [new BundleKeeper({ operators }), ...laggards.slice(0, -1)].forEach((laggard) => {
        const delta = keeper.deltaSince(laggard.version);
        assert.equal(delta && laggard.offer(delta), 'taken');
        assert.deepEqual(laggard.current, keeper.current);
      });
    }),
    { numRuns: 30 },
  );
});

Given('a bundle keeper at version {int}', function (this: KeeperWorld, version: number) {
  this.keeper = new BundleKeeper({ operators });
  this.bundle = bundleOf({ accounts: [account('tuul')] });
  this.next = bundleOf({ accounts: [account('tuul', 2)] });
  assert.equal(this.keeper.offerBundle(headOf(this.bundle, version), this.bundle), 'taken');
});

When(
  'bundle version {int} is offered signed by {string}',
  function (this: KeeperWorld, version: number, signers: string) {
    const signedBy = signers.split(', ').map((name) => keys[name as keyof typeof keys]);
    this.result = this.keeper.offerBundle(headOf(this.next, version, signedBy), this.next);
  },
);

const TAMPERINGS: Record<string, (world: KeeperWorld) => [BundleHead, Bundle]> = {
  'a raised version': ({ next }) => [{ ...headOf(next, 3), version: 4 }, next],
  'another note': ({ next }) => [{ ...headOf(next, 4), note: 'quiet' }, next],
  'another body': ({ next, bundle }) => [headOf(next, 4), bundle],
  'an old version': ({ next }) => [headOf(next, 2), next],
  'the same version': ({ bundle }) => [headOf(bundle, 3), bundle],
  'the same version and another body': ({ next }) => [headOf(next, 3), next],
};

When(/^a bundle head is offered with (.*)$/, function (this: KeeperWorld, tampering: string) {
  const tampered = TAMPERINGS[tampering]?.(this);
  if (tampered) {
    this.result = this.keeper.offerBundle(...tampered);
    return;
  }
  const head = headOf(this.next, 4);
  this.result = this.keeper.offer({ from: 2, head, set: [], remove: [] });
});

Given('a bundle keeper whose settings list one key under two names', function (this: KeeperWorld) {
  const { publicKey } = keys.bat;
  this.keeper = new BundleKeeper({ operators: [...operators, { name: 'twin', publicKey }] });
  this.next = bundleOf();
});

When('bundle version 1 is offered signed by both names', function (this: KeeperWorld) {
  const signers = [keys.bat, { ...keys.bat, operator: 'twin' }];
  this.result = this.keeper.offerBundle(headOf(this.next, 1, signers), this.next);
});

Then('the bundle offer is {string}', function (this: KeeperWorld, result: string) {
  const got = typeof this.result === 'object' ? this.result.refused.kind : this.result;
  assert.equal(got, result);
});

Then('the bundle version in force is {int}', function (this: KeeperWorld, version: number) {
  assert.equal(this.keeper.version, version);
});

Given('a bundle of 390 accounts in force', function (this: KeeperWorld) {
  const accounts = Array.from({ length: 390 }, (_, i) => account(`account-${i}`));
  this.bundle = bundleOf({ accounts });
  this.keeper = new BundleKeeper({ operators });
  this.keeper.offerBundle(headOf(this.bundle, 1), this.bundle);
});

When('the bundle changes one account', function (this: KeeperWorld) {
  const [first, ...rest] = this.bundle.accounts;
  assert.ok(first);
  this.next = { ...this.bundle, accounts: [{ ...first, share: 7 }, ...rest] };
  assert.equal(this.keeper.offerBundle(headOf(this.next, 2), this.next), 'taken');
});

Then('the bundle delta is under {int} bytes', function (this: KeeperWorld, limit: number) {
  assert.ok(JSON.stringify(this.keeper.deltaSince(1)).length < limit);
});

function takeDrained(world: KeeperWorld, drained: string[], version: number): void {
  const bundle = bundleOf({ drained });
  assert.equal(world.keeper.offerBundle(headOf(bundle, version), bundle), 'taken');
}

When(
  /^a guard of "(.*)" follows bundles that drain (.*)$/,
  function (this: KeeperWorld, id: string, list: string) {
    this.told = [];
    const onChange = (drained: boolean): number => this.told.push(drained);
    const watch = new DrainedWatch({ keeper: this.keeper, upstream: () => id, onChange });
    const names = list.split(', then ').map((name) => name.replaceAll('"', ''));
    names.forEach((name, i) => takeDrained(this, [name], i + 2));
    watch.stop();
    takeDrained(this, [], 9);
  },
);

When(
  'a guard learns that it guards {string} after a bundle that drains {string}',
  function (this: KeeperWorld, id: string, drained: string) {
    this.told = [];
    let upstream: string | undefined;
    const onChange = (on: boolean): number => this.told.push(on);
    const watch = new DrainedWatch({ keeper: this.keeper, upstream: () => upstream, onChange });
    takeDrained(this, [drained], 2);
    upstream = id;
    watch.check();
    watch.check();
  },
);

Then('the guard was told {string}', function (this: KeeperWorld, told: string) {
  assert.equal(this.told.join(', '), told);
});
