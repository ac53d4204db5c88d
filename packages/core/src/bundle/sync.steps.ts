import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import fc from 'fast-check';
import type { Bundle } from './bundle.js';
import { account, bundleOf, headOf, keys, SyncProcess, settled } from './bundle.support.js';
import { checkBundle } from './check.js';
import { makeDelta } from './delta.js';
import type { Finding } from '../settings/finding.js';
import type { Peer } from '../message/peer.js';

interface SyncWorld {
  a: SyncProcess;
  b: SyncProcess;
  c: SyncProcess;
  d: SyncProcess;
  forger: Peer;
  fetched: number;
  findings: Finding[];
}

const bundle = bundleOf({ accounts: [account('malabar')] });

Given('bundle processes a, b and c linked in a row', function (this: SyncWorld) {
  this.a = new SyncProcess('a');
  this.b = new SyncProcess('b');
  this.c = new SyncProcess('c');
  this.a.link(this.b);
  this.b.link(this.c);
});

When('bundle process a takes version 1', async function (this: SyncWorld) {
  assert.equal(this.a.sync.offerBundle(headOf(bundle, 1), bundle, 'table'), 'taken');
  await settled();
});

Then('bundle process c has version {int}', function (this: SyncWorld, version: number) {
  assert.equal(this.c.keeper.version, version);
});

When('bundle process d starts with links to all', async function (this: SyncWorld) {
  this.d = new SyncProcess('d');
  this.a.fetches = 0;
  this.c.fetches = 0;
  this.d.link(this.a);
  this.d.link(this.c);
  this.d.links.forEach((peer) => this.d.sync.onPeer(peer));
  await settled();
});

Then('bundle process d has version 1 after one fetch with a body', function (this: SyncWorld) {
  assert.equal(this.d.keeper.version, 1);
  assert.equal(this.d.metrics.counters.get('bundle.taken'), 1);
  assert.equal(this.a.fetches + this.c.fetches, 2);
});

const changed = bundleOf({ accounts: [account('malabar', 2)] });
const changedAgain = bundleOf({ accounts: [account('malabar', 3)] });

Given(
  'all three bundle processes have version 1 and know it of each other',
  async function (this: SyncWorld) {
    const all = [this.a, this.b, this.c];
    this.a.sync.offerBundle(headOf(bundle, 1), bundle, 'table');
    await settled();
    all.forEach((process) => heartbeat(process, all));
    assert.deepEqual(
      all.map(({ keeper }) => keeper.version),
      [1, 1, 1],
    );
    all.forEach((process) => Object.assign(process, { fetches: 0 }));
  },
);

When(
  'bundle process a takes version 2 without a fetch by anyone',
  async function (this: SyncWorld) {
    this.a.sync.offerBundle(headOf(changed, 2), changed, 'table');
    await settled();
    assert.equal(this.a.fetches + this.b.fetches + this.c.fetches, 0);
  },
);

When(
  'bundle process a is pushed a change from version 1 to 3 while it has version 2',
  async function (this: SyncWorld) {
    this.a.sync.offerBundle(headOf(changed, 2), changed, 'table');
    await settled();
    this.b.keeper.offerBundle(headOf(changedAgain, 3), changedAgain);
    const head = headOf(changedAgain, 3);
    const delta = makeDelta({ from: 1, before: bundle, after: changedAgain, head });
    await this.a.answer('bundle.push', { delta }, this.a.links[0]!);
    await settled();
  },
);

Then('bundle process a has version 3 after a fetch', function (this: SyncWorld) {
  assert.equal(this.a.keeper.version, 3);
  assert.equal(this.b.fetches, 1);
  assert.equal(this.a.metrics.counters.get('bundle.refused'), undefined);
});

When(
  'bundle process a is pushed a change to version 2 that one operator signed',
  async function (this: SyncWorld) {
    const head = headOf(changed, 2, [keys.bat]);
    const delta = makeDelta({ from: 1, before: bundle, after: changed, head });
    await this.a.answer('bundle.push', { delta }, this.a.links[0]!);
    await settled();
  },
);

Then('bundle process a still has version 1 and counts a refusal', function (this: SyncWorld) {
  assert.equal(this.a.keeper.version, 1);
  assert.equal(this.a.metrics.counters.get('bundle.refused'), 1);
});

const SIZE = 4;
const anyProcess = fc.nat(SIZE - 1);
const networkEvents = fc.array(
  fc.record({
    type: fc.constantFrom('rollout', 'replay', 'heartbeat', 'lose'),
    at: anyProcess,
  }),
  { maxLength: 20 },
);

const bodyOf = (version: number): Bundle => bundleOf({ drained: [`w${version}`] });

/** Every peer of a process tells it the version that it has, or `extra` more than that. */
function heartbeat(to: SyncProcess, all: SyncProcess[], extra = 0): void {
  to.links.forEach((peer) => {
    const version = all.find(({ id }) => id === peer.process.id)?.keeper.version ?? 0;
    to.sync.onVersion(peer, version + extra);
  });
}

Then(
  'bundle processes on any network converge on the newest version once it is quiet',
  async function () {
    const property = fc.asyncProperty(networkEvents, async (events) => {
      const all = Array.from({ length: SIZE }, (_, i) => new SyncProcess(`p${i}`));
      all.slice(1).forEach((process, i) => process.link(all[i]!));
      let newest = 0;
      for (const { type, at } of events) {
        const process = all[at]!;
        const before = all.map(({ keeper }) => keeper.version);
        if (type === 'lose') process.loseNext = 2;
        if (type === 'heartbeat') heartbeat(process, all, at % 2);
        if (type === 'replay') process.sync.offerBundle(headOf(bodyOf(1), 1), bodyOf(1), 'replay');
        if (type === 'rollout') {
          newest += 1;
          const body = bodyOf(newest);
          process.sync.offerBundle(headOf(body, newest), body, 'rollout');
        }
        if (type !== 'lose') await settled();
        all.forEach(({ keeper }, i) => assert.ok(keeper.version >= before[i]!));
      }
      // Quiet: no message is lost any more, those that were to be lost next included.
      all.forEach((process) => Object.assign(process, { loseNext: 0 }));
      for (let round = 0; round < SIZE + 2; round += 1) {
        all.forEach((process) => heartbeat(process, all));
        await settled();
      }
      const highest = Math.max(...all.map(({ keeper }) => keeper.version));
      assert.ok(highest >= newest);
      all.forEach(({ keeper }) => assert.equal(keeper.version, highest));
    });
    await fc.assert(property, { numRuns: 100 });
  },
);

Given('a bundle process whose peer tells a version with a forged body', function (this: SyncWorld) {
  this.d = new SyncProcess('d');
  this.fetched = 0;
  const forged = { from: 0, head: headOf(bundle, 1), set: [], remove: [] };
  this.forger = {
    process: { id: 'forger', role: 'entry', incarnation: 'forger-1', failureDomain: 'x' },
    closed: false,
    call: async () => {
      this.fetched += 1;
      return { delta: forged };
    },
  } as unknown as Peer;
});

When(
  "the peer's bundle version rides on {int} heartbeats",
  async function (this: SyncWorld, heartbeats: number) {
    for (let i = 0; i < heartbeats; i += 1) {
      this.d.sync.onVersion(this.forger, 1);
      await settled();
    }
  },
);

Then('the forged bundle was fetched once', function (this: SyncWorld) {
  assert.equal(this.fetched, 1);
  assert.equal(this.d.keeper.version, 0);
});

const urgentJob = { name: 'render', path: 'job', urgency: 'waiting', idempotent: true };
const match = { name: 'match', path: 'request', urgency: 'waiting', idempotent: true };
const shape = { tasks: 2, acceleratorsPerTask: 8 };
const guarantee = { name: 'g', account: 'a', shape };
const FAULTS: Record<string, object> = {
  'two accounts of one name': {
    accounts: [account('a'), { ...(account('b') as object), name: 'a' }],
  },
  'one token in two accounts': {
    accounts: [account('a'), { ...(account('a') as object), name: 'b' }],
  },
  'an urgent kind without a contract': { kinds: [{ ...match, urgency: 'urgent' }] },
  'a request that can be checkpointed': { kinds: [{ ...match, checkpointable: true }] },
  'a checkpointable job that runs once': {
    kinds: [{ ...urgentJob, idempotent: false, checkpointable: true }],
  },
  'a guarantee of an account not there': { guarantees: [guarantee] },
  'guarantees too large with a loss': { accounts: [account('a')], guarantees: [guarantee] },
  "guarantees too large for what's left": {
    accounts: [account('a')],
    guarantees: [{ ...guarantee, shape: { ...shape, tasks: 1 } }],
    drained: ['w1'],
  },
};
const workers = ['w1', 'w2'].map((id) => ({
  type: 'worker' as const,
  id,
  address: '127.0.0.1:1',
  rack: 'r',
  rackPosition: 0,
  cores: 32,
  memoryMb: 65_536,
  accelerators: 8,
}));

When(/^the bundle is checked with (.*)$/, function (this: SyncWorld, fault: string) {
  this.findings = checkBundle(bundleOf(FAULTS[fault.trim()]), workers);
});

Then('the bundle finding is at {string}', function (this: SyncWorld, path: string) {
  assert.ok(this.findings.some((finding) => finding.path === path));
});
