import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect } from 'node:net';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  LinkError,
  ProblemError,
  problem,
  type Handlers,
  type MethodRes,
  type ProcessId,
} from '@zincspan/core';
import { WebSocket } from 'ws';
import { MAX_FRAME_BYTES, encode } from './frame.js';
import { respond } from './handshake.js';
import {
  CALLS_IN_FLIGHT,
  KEY,
  OTHER_KEY,
  closeLater,
  dial,
  makeParty,
  startServer,
  untilLinks,
  type LinkWorld,
} from './link-world.support.js';
import { FrameSocket } from './socket.js';
import { linkTraffic } from './traffic.js';

/** `job` names what the answer is to be; bodies that shuffle answer in any order. */
const handlers: Handlers = {
  'process.status': () => ({ status: { say: 'hello' } }),
  'timeline.read': async ({ job, limit }): Promise<MethodRes<'timeline.read'>> => {
    if (job === 'never') await new Promise(() => {});
    if (job === 'refuse') {
      throw new ProblemError(problem('draining', { detail: 'Leaving.', remedy: 'Go elsewhere.' }));
    }
    for (let turns = limit % 7; turns > 0; turns -= 1) {
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
    return { events: [], dropped: limit };
  },
  'bundle.fetch': () => ({ delta: 'x'.repeat(MAX_FRAME_BYTES) }) as never,
};

async function ask(world: LinkWorld, job: string, limit = 1, timeoutMs = 5000): Promise<unknown> {
  return world.dialer.link!.call('timeline.read', { job, limit }, { timeoutMs });
}

async function kindOf(call: Promise<unknown>): Promise<string> {
  try {
    await call;
    return 'answered';
  } catch (err) {
    if (err instanceof ProblemError) return err.problem.kind;
    assert.ok(err instanceof LinkError, String(err));
    return err.failure;
  }
}

async function link(world: LinkWorld, dialerKeys = [KEY], serverKeys = [KEY]): Promise<void> {
  await startServer(world, handlers, serverKeys);
  const party = makeParty('guard-1', 'incarnation-a', KEY, 5);
  const dialer = dial(world, party, { expectId: 'entry-1', keys: dialerKeys });
  Object.assign(world, { dialer, dialerParty: party, inFlight: Promise.resolve() });
  await Promise.all([untilLinks(party, 1), untilLinks(world.serverParty, 1)]);
}

Given('a link between two processes', async function (this: LinkWorld) {
  await link(this);
});

Given(
  'a link whose dialer has a newer key that the server lacks',
  async function (this: LinkWorld) {
    await link(this, [OTHER_KEY, KEY], [KEY]);
  },
);

Given('a link server that a dialer without its key dials', async function (this: LinkWorld) {
  await startServer(this, handlers);
  dial(this, makeParty('guard-1', 'incarnation-a'), { keys: [OTHER_KEY] });
});

Given('a link dialer that reaches an impostor', async function (this: LinkWorld) {
  await startServer(this, handlers);
  const party = makeParty('guard-1', 'incarnation-a');
  this.dialerParty = party;
  // It takes any proof, but can't make one.
  const { WebSocketServer } = await import('ws');
  const impostor = new WebSocketServer({ port: 0, host: '127.0.0.1' });
  closeLater(() => impostor.close());
  await once(impostor, 'listening');
  impostor.on('connection', (socket) => {
    const nonce = new Uint8Array(32);
    socket.send(encode({ t: 'link.challenge', nonce }));
    const process: ProcessId = this.serverParty.ctx.self;
    socket.on('message', () => {
      socket.send(encode({ t: 'link.welcome', process, key: 0, mac: nonce }));
    });
  });
  const { port } = impostor.address() as { port: number };
  dial(this, party, { address: `127.0.0.1:${port}` });
});

Given('a link dialer that expects another process', async function (this: LinkWorld) {
  await startServer(this, handlers);
  this.dialerParty = makeParty('guard-1', 'incarnation-a');
  dial(this, this.dialerParty, { expectId: 'entry-2' });
});

When("the link's connection is cut with a call in flight", function (this: LinkWorld) {
  this.inFlight = kindOf(ask(this, 'never'));
  this.proxy.cutOpen();
});

When("the link's connection swallows everything with a call in flight", function (this: LinkWorld) {
  this.proxy.silenceOpen('both');
  this.inFlight = kindOf(ask(this, 'never'));
});

When("the link's connection swallows what goes to the server", function (this: LinkWorld) {
  this.proxy.silenceOpen('to-server');
});

When('a newer incarnation of the dialer dials the link server', async function (this: LinkWorld) {
  const party = makeParty('guard-1', 'incarnation-b', KEY, 6);
  dial(this, party);
  await untilLinks(party, 1);
});

When('a dialer of the same name without the key dials the link server', function (this: LinkWorld) {
  dial(this, makeParty('guard-1', 'incarnation-b', OTHER_KEY, 6));
});

When(
  '{int} strangers connect to the link server and say nothing',
  async function (this: LinkWorld, count: number) {
    const [host, port] = this.proxy.address.split(':');
    const sockets = Array.from({ length: count }, () => connect(Number(port), host));
    sockets.forEach((socket) => {
      socket.on('error', () => {});
      closeLater(() => socket.destroy());
    });
    await Promise.all(sockets.map((socket) => once(socket, 'connect')));
  },
);

/** Proves itself, then says anything at all. */
async function sendRaw(world: LinkWorld, bytes: Uint8Array | string): Promise<void> {
  const { ctx } = makeParty('guard-2', 'incarnation-z');
  const ws = new WebSocket(`ws://${world.proxy.address}/`, { perMessageDeflate: false });
  closeLater(() => ws.terminate());
  await new Promise<void>((resolve) => {
    ws.once('upgrade', ({ socket: transport }) => {
      const socket = new FrameSocket({
        socket: ws,
        transport,
        outgoingBytes: 1e9,
        onEnd: () => {},
      });
      respond(socket, { self: ctx.self, bornAt: 0, keys: [KEY] }, () => {
        socket.receive(() => {});
        resolve();
      });
    });
  });
  ws.send(bytes);
}

const HEARTBEAT = encode({ t: 'link.heartbeat', hlc: [1, 0], bundleVersion: 1 });
const BAD: Record<string, Uint8Array | string> = {
  oversized: new Uint8Array(MAX_FRAME_BYTES + 1),
  garbled: encode({ t: 'link.heartbeat', bundleVersion: 'seven' }),
  truncated: HEARTBEAT.subarray(0, HEARTBEAT.byteLength - 3),
  text: 'hello',
};

When(
  /^a proved peer sends the link server a frame that is (\w+)$/,
  async function (this: LinkWorld, bad: string) {
    await sendRaw(this, BAD[bad]!);
  },
);

Then('a call on the link answers {string}', async function (this: LinkWorld, say: string) {
  const { status } = await this.dialer.link!.call('process.status', {});
  assert.equal(status.say, say);
});

Then(
  '{int} calls on the link, answered in any order, each get their own answer',
  async function (this: LinkWorld, count: number) {
    const limits = Array.from({ length: count }, (_, index) => index + 1);
    const answers = await Promise.all(limits.map((limit) => ask(this, 'shuffle', limit)));
    assert.deepEqual(
      answers.map((answer) => (answer as { dropped: number }).dropped),
      limits,
    );
  },
);

Then(
  'a call on the link that is refused rejects with {string}',
  async function (this: LinkWorld, kind: string) {
    assert.equal(await kindOf(ask(this, 'refuse')), kind);
  },
);

Then(
  'a garbled call on the link rejects with {string}',
  async function (this: LinkWorld, kind: string) {
    assert.equal(await kindOf(ask(this, 'x', -1)), kind);
  },
);

Then(
  'a call on the link that answers too much rejects with {string}',
  async function (this: LinkWorld, kind: string) {
    assert.equal(await kindOf(this.dialer.link!.call('bundle.fetch', { have: 0 })), kind);
  },
);

Then(
  'a call on the link that is never answered rejects with {string}',
  async function (this: LinkWorld, kind: string) {
    assert.equal(await kindOf(ask(this, 'never', 1, 50)), kind);
  },
);

Then(
  'one call more than the link allows rejects with {string}',
  async function (this: LinkWorld, kind: string) {
    const calls = Array.from({ length: CALLS_IN_FLIGHT }, async () => kindOf(ask(this, 'never')));
    assert.equal(await kindOf(ask(this, 'never')), kind);
    this.dialer.close();
    assert.deepEqual(new Set(await Promise.all(calls)), new Set(['lost']));
  },
);

Then('the call in flight rejects with {string}', async function (this: LinkWorld, kind: string) {
  assert.equal(await this.inFlight, kind);
});

Then('the link comes back on a new connection', async function (this: LinkWorld) {
  await untilLinks(this.dialerParty, 2);
  assert.ok(this.proxy.accepted >= 2);
});

Then("the old link's calls reject with {string}", async function (this: LinkWorld, kind: string) {
  const [old] = this.dialerParty.links;
  assert.equal(await kindOf(old!.call('process.status', {})), kind);
});

Then('both ends of the link count {string}', async function (this: LinkWorld, name: string) {
  // A dialer that is back first supersedes the silent link at the server.
  const silent = this.dialerParty.metrics.until(name);
  const [atServer] = this.serverParty.links;
  await Promise.all([silent, atServer!.ended]);
  assert.ok(['silence', 'superseded'].includes(await atServer!.ended));
});

Then("the link tells both ends the other's bundle version", async function (this: LinkWorld) {
  const versions = await Promise.all([
    once(this.serverParty.events, 'version'),
    once(this.dialerParty.events, 'version'),
  ]);
  assert.deepEqual(versions.flat(), [9, 7]);
});

Then(
  "the older incarnation's link is closed as {string}",
  async function (this: LinkWorld, reason: string) {
    assert.equal(await this.serverParty.links[0]!.ended, reason);
  },
);

Then('the link server counts {string}', async function (this: LinkWorld, name: string) {
  await this.serverParty.metrics.until(name);
});

Then('the link dialer counts {string}', async function (this: LinkWorld, name: string) {
  await this.dialerParty.metrics.until(name);
});

Then('the link server has {int} links', function (this: LinkWorld, count: number) {
  assert.equal(this.server.links().length, count);
});

When(
  '{int} calls on the link are answered and the dialer closes it',
  async function (this: LinkWorld, count: number) {
    await Promise.all(Array.from({ length: count }, (_, n) => ask(this, 'shuffle', n + 1)));
    this.dialer.close();
    await Promise.all([...this.serverParty.links, ...this.dialerParty.links].map((l) => l.ended));
  },
);

Then(
  'both ends of the link counted the same frames and bytes to the server',
  function (this: LinkWorld) {
    const { traffic: atDialer } = this.dialerParty.links[0]!;
    const { traffic: atServer } = this.serverParty.links[0]!;
    assert.ok(atDialer.framesOut >= 20);
    assert.equal(atServer.framesIn, atDialer.framesOut);
    assert.equal(atServer.bytesIn, atDialer.bytesOut);
    assert.ok(atDialer.bytesOut > atDialer.framesOut);
  },
);

Then("the link server's metrics hold what its link counted", function (this: LinkWorld) {
  const { ctx, metrics, links } = this.serverParty;
  const { traffic } = links[0]!;
  assert.deepEqual(linkTraffic(ctx), traffic);
  assert.equal(metrics.counters.get('link.frames.in'), traffic.framesIn);
  assert.equal(metrics.counters.get('link.frames.out'), traffic.framesOut);
  assert.equal(metrics.counters.get('link.bytes.in'), traffic.bytesIn);
  assert.equal(metrics.counters.get('link.bytes.out'), traffic.bytesOut);
});

Then(
  'both ends of the link count {string} with their heartbeats',
  async function (this: LinkWorld, name: string) {
    await Promise.all([this.serverParty, this.dialerParty].map((each) => each.metrics.until(name)));
    assert.ok(!this.dialer.link!.closed);
  },
);
