import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { ProblemError, problem, type SettleResult } from '@zincspan/core';
import {
  EntryWorld,
  TOKEN,
  announcementOf,
  answered,
  testBundle,
} from '../testing/entry-world.support.js';
import { FakePeer } from '../testing/fake-peer.support.js';
import { KEY_ROWS, answeredRow, keyRowSchema } from './key-row.js';
import { KeySweeper } from './key-sweeper.js';

interface Reply {
  statusCode: number;
  payload: string;
  headers: Record<string, unknown>;
}

interface KeyedWorld {
  here: EntryWorld;
  there: EntryWorld;
  peers: FakePeer[];
  replies: Reply[];
  wallBehindMs: number;
}

interface Sent {
  key?: string;
  deadlineMs?: number;
  payload?: string;
}

async function send(
  world: KeyedWorld,
  at: EntryWorld,
  kind: string,
  { key, deadlineMs = 5000, payload = 'lens 7' }: Sent = {},
): Promise<void> {
  const reply = await at.entry.server.inject({
    method: 'POST',
    url: `/v1/requests/${kind}`,
    headers: {
      authorization: `Bearer ${TOKEN}`,
      'zincspan-deadline-ms': String(deadlineMs),
      ...(key === undefined ? {} : { 'idempotency-key': key }),
    },
    payload,
  });
  world.replies.push(reply);
}

function build(world: EntryWorld): EntryWorld {
  world.bundles.put(testBundle());
  world.build();
  return world;
}

/** Another entry over the same table, linked to the same guard. */
function buildThere(world: KeyedWorld, peer?: FakePeer): void {
  const there = new EntryWorld({ id: 'entry-b' });
  Object.assign(there, { table: world.here.table });
  Object.assign(world, { there: build(there) });
  if (peer === undefined) return;
  there.addRunner('r1', { peer });
  world.peers.push(peer);
}

function last(world: KeyedWorld): Reply {
  const reply = world.replies.at(-1);
  assert.ok(reply);
  return reply;
}

Given('a keyed request path with runners {string}', function (this: KeyedWorld, name: string) {
  const here = build(new EntryWorld());
  const peers = [here.addRunner(name)];
  Object.assign(this, { here, peers, replies: [] });
});

Given(
  'keyed runner {string} answers {string}, then {string}',
  function (this: KeyedWorld, name: string, first: string, second: string) {
    const texts = [first, second];
    this.here.guard(name).answers.set('request.run', () => answered(texts.shift() ?? ''));
  },
);

Given(
  'keyed runner {string} is full once and then answers {string}',
  function (this: KeyedWorld, name: string, text: string) {
    let full = true;
    this.here.guard(name).answers.set('request.run', () => {
      if (!full) return answered(text);
      full = false;
      throw new ProblemError(problem('overloaded', { detail: 'Full.', remedy: 'Come back.' }));
    });
  },
);

Given(
  'keyed runner {string} answers {int} bytes and settles with as many',
  function (this: KeyedWorld, name: string, bytes: number) {
    const result = answered('x'.repeat(bytes));
    const guard = this.here.guard(name);
    guard.answers.set('request.run', () => result);
    guard.answers.set('request.settle', () => ({ state: 'ended', result }));
  },
);

Given(
  'keyed runner {string} answers {string} there',
  function (this: KeyedWorld, name: string, text: string) {
    this.there.guard(name).answers.set('request.run', () => answered(text));
  },
);

Given('the key table is down', function (this: KeyedWorld) {
  this.here.table.faults.down = true;
});

Given('the key table loses the answer of a write', function (this: KeyedWorld) {
  this.here.table.faults.responsesToLose = 1;
});

Given('the key table never answers', function (this: KeyedWorld) {
  Object.assign(this.here.table, { get: () => new Promise(() => {}) });
});

Given('the calendar is {int} hours behind', function (this: KeyedWorld, hours: number) {
  this.wallBehindMs = hours * 3_600_000;
  const { clock } = this.here.ctx;
  clock.wall = () => Date.now() - this.wallBehindMs;
});

When(
  /^a keyed "([^"]*)" is (?:sent|repeated) with key "([^"]*)"$/,
  async function (this: KeyedWorld, kind: string, key: string) {
    await send(this, this.here, kind, { key });
  },
);

When(
  'a keyed {string} is sent with key {string} and {int} ms',
  async function (this: KeyedWorld, kind: string, key: string, deadlineMs: number) {
    await send(this, this.here, kind, { key, deadlineMs });
  },
);

When(
  'a keyed {string} is repeated there with key {string}',
  async function (this: KeyedWorld, kind: string, key: string) {
    await send(this, this.there, kind, { key });
  },
);

When(
  'a keyed {string} of something else is sent with key {string}',
  async function (this: KeyedWorld, kind: string, key: string) {
    await send(this, this.here, kind, { key, payload: 'lens 8' });
  },
);

When('a keyed {string} is sent without a key', async function (this: KeyedWorld, kind: string) {
  await send(this, this.here, kind);
});

When(
  'a keyed {string} with key {string} loses its caller while it runs',
  async function (this: KeyedWorld, kind: string, key: string) {
    const sent = send(this, this.here, kind, { key, deadlineMs: 50 });
    await this.here.guard('r1').nextCall('request.run');
    await sent;
    assert.equal(last(this).statusCode, 504);
    assert.equal(this.here.guard('r1').count('request.cancel'), 0);
  },
);

When(
  'its guard settles {string} with {string} at another entry',
  function (this: KeyedWorld, state: string, text: string) {
    const { id, incarnation } = this.here.guard('r1').process;
    const peer = new FakePeer({ id, incarnation });
    const settled: SettleResult =
      state === 'ended'
        ? { state, result: answered(text) }
        : { state: state as 'never-seen' | 'running' };
    peer.answers.set('request.settle', () => settled);
    buildThere(this, peer);
  },
);

When(
  'its guard settles "never-seen" at another entry just as another try gets {string} and it drains',
  function (this: KeyedWorld, text: string) {
    const { id, incarnation } = this.here.guard('r1').process;
    const peer = new FakePeer({ id, incarnation });
    peer.answers.set('request.settle', async () => {
      const [row] = await this.here.table.scan(KEY_ROWS);
      assert.ok(row);
      const value = answeredRow(keyRowSchema.parse(row.value), {
        status: 200,
        contentType: 'text/plain',
        body: new Uint8Array(Buffer.from(text)),
      });
      await this.here.table.write([{ key: row.key, ifVersion: row.version, value }]);
      this.there.entry.upstreams.announce(
        { ...announcementOf('r1', peer), sequence: 2, state: 'draining' },
        peer,
      );
      return { state: 'never-seen' };
    });
    buildThere(this, peer);
  },
);

Given(
  'keyed runner {string} bars the id, and {string} joins and answers {string}',
  function (this: KeyedWorld, name: string, other: string, text: string) {
    this.here.guard(name).answers.set('request.run', () => {
      this.here.addRunner(other, { answer: text });
      throw new ProblemError(problem('conflict', { detail: 'Barred.', remedy: 'Use another id.' }));
    });
  },
);

When('its guard restarts at another entry', function (this: KeyedWorld) {
  const { id } = this.here.guard('r1').process;
  buildThere(this, new FakePeer({ id, incarnation: `${id}-life-2` }));
});

When('another entry knows no guard', function (this: KeyedWorld) {
  buildThere(this);
});

When('the calendar is right again and the keys are swept', async function (this: KeyedWorld) {
  const { ctx, table } = this.here;
  assert.equal((await table.scan(KEY_ROWS)).length, 1);
  this.wallBehindMs = 0;
  await new KeySweeper({ ctx, table, isMyTurn: () => true }).sweepPage();
});

Then('no key is left', async function (this: KeyedWorld) {
  assert.deepEqual(await this.here.table.scan(KEY_ROWS), []);
});

Then('the keyed answer is {string}', function (this: KeyedWorld, text: string) {
  const { statusCode, payload } = last(this);
  assert.deepEqual([statusCode, payload], [200, text]);
});

Then('the keyed answer has {int} bytes', function (this: KeyedWorld, bytes: number) {
  assert.deepEqual([last(this).statusCode, last(this).payload.length], [200, bytes]);
});

Then(
  'both keyed answers are {string} with one request id',
  function (this: KeyedWorld, text: string) {
    const [first, second] = this.replies;
    assert.deepEqual([first?.payload, second?.payload], [text, text]);
    assert.equal(first?.headers['zincspan-request-id'], second?.headers['zincspan-request-id']);
  },
);

Then(
  'the keyed request is refused with {string}, ran {string}',
  function (this: KeyedWorld, kind: string, ran: string) {
    const body = JSON.parse(last(this).payload) as { kind: string; ran: string };
    assert.deepEqual([body.kind, body.ran], [kind, ran], last(this).payload);
  },
);

Then(/^keyed runners ran (\d+) requests?$/, function (this: KeyedWorld, ran: string) {
  const total = this.peers.reduce((sum, peer) => sum + peer.count('request.run'), 0);
  assert.equal(total, Number(ran));
});
