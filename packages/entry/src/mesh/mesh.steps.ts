import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import type { Handlers } from '@zincspan/core';
import { Dialer } from '@zincspan/link';
import type { EntryApp } from '../app.js';
import {
  EntryWorld,
  TOKEN,
  answered,
  testBundle,
  testContext,
  testSettings,
} from '../testing/entry-world.support.js';
import { linkMesh } from './link-mesh.js';

interface MeshWorld {
  entries: Map<string, EntryWorld>;
  dialers: Dialer[];
  steps: string[];
  reply: Promise<{ statusCode: number; payload: string }>;
}

async function startEntry(
  world: MeshWorld,
  id: string,
  { settings = {}, app }: { settings?: object; app?: EntryApp } = {},
): Promise<void> {
  if (world.entries === undefined) Object.assign(world, { entries: new Map(), dialers: [] });
  const made = new EntryWorld({ id });
  made.bundles.put(testBundle());
  made.build({
    settings: { id, ...settings },
    apps: app === undefined ? [] : [() => app],
    links: linkMesh(),
  });
  world.entries.set(id, made);
  await made.entry.start();
}

function entryOf(world: MeshWorld, id: string): EntryWorld {
  const found = world.entries.get(id);
  assert.ok(found);
  return found;
}

/** Links a guard to entry-a and waits until its runner is announced. */
async function addGuard(world: MeshWorld, id: string, handlers: Handlers): Promise<Dialer> {
  const { entry } = entryOf(world, 'entry-a');
  const { linkKeys: keys, heartbeat } = testSettings();
  const self = { ...testContext(id).self, role: 'guard' as const };
  const ctx = { ...testContext(id), self };
  const joined = new Promise<void>((resolve) => {
    entry.upstreams.onChange(({ type }) => type === 'joined' && resolve());
  });
  const upstream = {
    type: 'runner' as const,
    id: 'r1',
    address: '127.0.0.1:1',
    slots: 8,
    connections: 60,
    kinds: [],
  };
  const dialer = new Dialer({
    ctx,
    keys,
    handlers,
    heartbeat,
    address: entry.linkAddress ?? '',
    onPeer: (peer) => {
      const announcement = {
        upstream,
        failureDomain: 'hall',
        guard: id,
        sequence: 1,
        ttlMs: 60_000,
      };
      const { incarnation } = self;
      // A scenario may drop the link under this call.
      peer
        .call('upstream.announce', { ...announcement, incarnation, state: 'ready' })
        .catch(() => undefined);
    },
  });
  world.dialers.push(dialer);
  dialer.start();
  await joined;
  return dialer;
}

After({ tags: '@mesh' }, async function (this: Partial<MeshWorld>) {
  this.dialers?.forEach((dialer) => dialer.close());
  for (const { entry } of this.entries?.values() ?? []) await entry.stop();
});

Given('a linked entry {string}', async function (this: MeshWorld, id: string) {
  await startEntry(this, id);
});

Given(
  'a linked entry {string} that knows {string}',
  async function (this: MeshWorld, id: string, other: string) {
    const address = entryOf(this, other).entry.linkAddress;
    await startEntry(this, id, {
      settings: { entries: [{ id: other, failureDomain: 'hall', address }] },
    });
  },
);

Given(
  'a linked entry {string} with a part that hands over',
  async function (this: MeshWorld, id: string) {
    this.steps = [];
    const note = (step: string) => () => {
      this.steps.push(step);
    };
    const drain = async (): Promise<void> => note('drained')();
    await startEntry(this, id, {
      app: { name: 'test', start: note('started'), drain, stop: note('stopped') },
    });
  },
);

Given(
  'a linked entry {string} with two parts that answer {string} is refused',
  function (this: MeshWorld, id: string, method: string) {
    const made = new EntryWorld({ id });
    const part = (name: string) => () => ({ name, handlers: { [method]: () => ({ ran: 'ran' }) } });
    assert.throws(() => made.build({ apps: [part('a'), part('b')] }), /both answer job.cancel/);
  },
);

Given(
  'a linked guard {string} of a runner that answers {string}',
  async function (this: MeshWorld, id: string, text: string) {
    await addGuard(this, id, { 'request.run': () => answered(text) });
  },
);

Given(
  'a linked guard {string} of a runner that drops the link and then answers {string}',
  async function (this: MeshWorld, id: string, text: string) {
    const dialer = await addGuard(this, id, {
      'request.run': () => {
        dialer.link?.close();
        return answered('never arrives');
      },
      'request.settle': () => ({ state: 'ended', result: answered(text) }),
    });
  },
);

When('a caller of the linked entry requests {string}', function (this: MeshWorld, kind: string) {
  this.reply = entryOf(this, 'entry-a').entry.server.inject({
    method: 'POST',
    url: `/v1/requests/${kind}`,
    headers: { authorization: `Bearer ${TOKEN}` },
    payload: 'lens 7',
  });
});

When('the linked entry drains and stops', async function (this: MeshWorld) {
  const { entry } = entryOf(this, 'entry-a');
  await entry.drain();
  await entry.stop();
  this.entries.clear();
});

Then('the linked caller gets {string}', async function (this: MeshWorld, text: string) {
  const { statusCode, payload } = await this.reply;
  assert.deepEqual([statusCode, payload], [200, text]);
});

Then('both linked entries see each other', async function (this: MeshWorld) {
  const see = async (id: string, other: string): Promise<void> => {
    const { mesh } = entryOf(this, id).entry;
    if (mesh.peer(other) !== undefined) return;
    await new Promise<void>((resolve) => {
      mesh.onPeer(() => resolve());
    });
    assert.ok(mesh.peer(other));
  };
  await Promise.all([see('entry-a', 'entry-b'), see('entry-b', 'entry-a')]);
});

Then('the linked part was started, drained and stopped in that order', function (this: MeshWorld) {
  assert.deepEqual(this.steps, ['started', 'drained', 'stopped']);
});
