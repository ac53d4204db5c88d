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
import { MAX_FRAME_BYTES, encodeFrame } from './frame.js';
import { runDialerHandshake } from './handshake.js';
import {
  MAX_CALLS_IN_FLIGHT,
  LINK_KEY,
  OTHER_LINK_KEY,
  closeAfterScenario,
  dial,
  makeTestProcess,
  startServer,
  waitForLinks,
  type LinkWorld,
} from './link-world.support.js';
import { FrameSocket } from './frame-socket.js';
import { totalLinkTraffic } from './traffic.js';

/** For `timeline.read`, `job` selects the outcome; calls with job `shuffle` complete out of order. */
const handlers: Handlers = {
  'process.status': () => ({ status: { say: 'hello' } }),
  'timeline.read': async ({ job, limit }): Promise<MethodRes<'timeline.read'>> => {
    if (job === 'never') await new Promise(() => {});
    if (job === 'refuse') {
      throw new ProblemError(
        problem('draining', { detail: 'Draining.', remedy: 'Call another process.' }),
      );
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

async function callTimelineRead(
  world: LinkWorld,
  job: string,
  limit = 1,
  timeoutMs = 5000,
): Promise<unknown> {
  return world.dialer.link!.call('timeline.read', { job, limit }, { timeoutMs });
}

async function failureKind(call: Promise<unknown>): Promise<string> {
  try {
    await call;
    return 'answered';
  } catch (err) {
    if (err instanceof ProblemError) return err.problem.kind;
    assert.ok(err instanceof LinkError, String(err));
    return err.failure;
  }
}

async function connectProcesses(
  world: LinkWorld,
  dialerKeys = [LINK_KEY],
  serverKeys = [LINK_KEY],
): Promise<void> {
  await startServer(world, handlers, { keys: serverKeys });
  const testProcess = makeTestProcess('guard-1', 'incarnation-a', LINK_KEY, 5);
  const dialer = dial(world, testProcess, { expectId: 'entry-1', keys: dialerKeys });
  Object.assign(world, { dialer, dialerProcess: testProcess, inFlight: Promise.resolve() });
  await Promise.all([waitForLinks(testProcess, 1), waitForLinks(world.serverProcess, 1)]);
}

Given('a link between two processes', async function (this: LinkWorld) {
  await connectProcesses(this);
});

Given(
  'a link whose dialer has a newer key that the server lacks',
  async function (this: LinkWorld) {
    await connectProcesses(this, [OTHER_LINK_KEY, LINK_KEY], [LINK_KEY]);
  },
);

Given('a link server dialled by a process without its key', async function (this: LinkWorld) {
  await startServer(this, handlers);
  dial(this, makeTestProcess('guard-1', 'incarnation-a'), { keys: [OTHER_LINK_KEY] });
});

Given('a link dialer that reaches a server without its key', async function (this: LinkWorld) {
  await startServer(this, handlers);
  const testProcess = makeTestProcess('guard-1', 'incarnation-a');
  this.dialerProcess = testProcess;
  // The fake server accepts any proof, but can't compute a valid MAC itself.
  const { WebSocketServer } = await import('ws');
  const fakeServer = new WebSocketServer({ port: 0, host: '127.0.0.1' });
  closeAfterScenario(() => fakeServer.close());
  await once(fakeServer, 'listening');
  fakeServer.on('connection', (socket) => {
    const nonce = new Uint8Array(32);
    socket.send(encodeFrame({ t: 'link.challenge', nonce }));
    const process: ProcessId = this.serverProcess.ctx.self;
    socket.on('message', () => {
      socket.send(encodeFrame({ t: 'link.welcome', process, key: 0, mac: nonce }));
    });
  });
  const { port } = fakeServer.address() as { port: number };
  dial(this, testProcess, { address: `127.0.0.1:${port}` });
});

Given(/^a link dialer with the address (\S+)$/, async function (this: LinkWorld, address: string) {
  await startServer(this, handlers);
  this.dialerProcess = makeTestProcess('guard-1', 'incarnation-a');
  dial(this, this.dialerProcess, { address });
});

Given('a link dialer that expects a process with another id', async function (this: LinkWorld) {
  await startServer(this, handlers);
  this.dialerProcess = makeTestProcess('guard-1', 'incarnation-a');
  dial(this, this.dialerProcess, { expectId: 'entry-2' });
});

When("the link's connection is cut with a call in flight", function (this: LinkWorld) {
  this.inFlight = failureKind(callTimelineRead(this, 'never'));
  this.proxy.cutOpen();
});

When(
  "the link's connection drops all traffic both ways with a call in flight",
  function (this: LinkWorld) {
    this.proxy.silenceOpen('both');
    this.inFlight = failureKind(callTimelineRead(this, 'never'));
  },
);

When("the link's connection drops the traffic to the server", function (this: LinkWorld) {
  this.proxy.silenceOpen('to-server');
});

When('a newer incarnation of the dialer dials the link server', async function (this: LinkWorld) {
  const testProcess = makeTestProcess('guard-1', 'incarnation-b', LINK_KEY, 6);
  dial(this, testProcess);
  await waitForLinks(testProcess, 1);
});

When(
  'a dialer with the same id but without the key dials the link server',
  function (this: LinkWorld) {
    dial(this, makeTestProcess('guard-1', 'incarnation-b', OTHER_LINK_KEY, 6));
  },
);

When(
  '{int} clients connect to the link server and send nothing',
  async function (this: LinkWorld, count: number) {
    const [host, port] = this.proxy.address.split(':');
    const sockets = Array.from({ length: count }, () => connect(Number(port), host));
    sockets.forEach((socket) => {
      socket.on('error', () => {});
      closeAfterScenario(() => socket.destroy());
    });
    await Promise.all(sockets.map((socket) => once(socket, 'connect')));
  },
);

Given(
  'a link server whose handshakes may take {int} s',
  async function (this: LinkWorld, seconds: number) {
    await startServer(this, handlers, { limits: { handshakeTimeoutMs: seconds * 1000 } });
  },
);

Then('a dialer links to the server', async function (this: LinkWorld) {
  const testProcess = makeTestProcess('guard-1', 'incarnation-a');
  dial(this, testProcess);
  await waitForLinks(testProcess, 1);
});

When(
  'a client sends the link server a message of {int} bytes before it proves itself',
  async function (this: LinkWorld, bytes: number) {
    const ws = new WebSocket(`ws://${this.proxy.address}/`, { perMessageDeflate: false });
    ws.on('error', () => {});
    closeAfterScenario(() => ws.terminate());
    await once(ws, 'open');
    ws.send(new Uint8Array(bytes));
  },
);

/** Proves itself, then says anything at all. */
async function sendRawMessage(world: LinkWorld, bytes: Uint8Array | string): Promise<void> {
  const { ctx } = makeTestProcess('guard-2', 'incarnation-z');
  const ws = new WebSocket(`ws://${world.proxy.address}/`, { perMessageDeflate: false });
  closeAfterScenario(() => ws.terminate());
  await new Promise<void>((resolve) => {
    ws.once('upgrade', ({ socket: transport }) => {
      const socket = new FrameSocket({
        socket: ws,
        transport,
        maxBufferedBytes: 1e9,
        onEnd: () => {},
      });
      runDialerHandshake(socket, { self: ctx.self, bornAt: 0, keys: [LINK_KEY] }, () => {
        socket.setFrameHandler(() => {});
        resolve();
      });
    });
  });
  ws.send(bytes);
}

const HEARTBEAT = encodeFrame({ t: 'link.heartbeat', hlc: [1, 0], bundleVersion: 1 });
const BAD_MESSAGES: Record<string, Uint8Array | string> = {
  oversized: new Uint8Array(MAX_FRAME_BYTES + 1),
  garbled: encodeFrame({ t: 'link.heartbeat', bundleVersion: 'seven' }),
  truncated: HEARTBEAT.subarray(0, HEARTBEAT.byteLength - 3),
  text: 'hello',
};

When(
  /^an authenticated peer sends the link server a message that is (\w+)$/,
  async function (this: LinkWorld, bad: string) {
    await sendRawMessage(this, BAD_MESSAGES[bad]!);
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
    const answers = await Promise.all(
      limits.map((limit) => callTimelineRead(this, 'shuffle', limit)),
    );
    assert.deepEqual(
      answers.map((answer) => (answer as { dropped: number }).dropped),
      limits,
    );
  },
);

Then(
  'a call on the link whose handler reports a problem rejects with {string}',
  async function (this: LinkWorld, kind: string) {
    assert.equal(await failureKind(callTimelineRead(this, 'refuse')), kind);
  },
);

Then(
  'a call on the link with an invalid request rejects with {string}',
  async function (this: LinkWorld, kind: string) {
    assert.equal(await failureKind(callTimelineRead(this, 'x', -1)), kind);
  },
);

Then(
  'a call on the link with a response over the frame limit rejects with {string}',
  async function (this: LinkWorld, kind: string) {
    assert.equal(await failureKind(this.dialer.link!.call('bundle.fetch', { have: 0 })), kind);
  },
);

Then(
  'a call on the link that is never answered rejects with {string}',
  async function (this: LinkWorld, kind: string) {
    assert.equal(await failureKind(callTimelineRead(this, 'never', 1, 50)), kind);
  },
);

Then(
  'one call more than the link allows rejects with {string}',
  async function (this: LinkWorld, kind: string) {
    const calls = Array.from({ length: MAX_CALLS_IN_FLIGHT }, async () =>
      failureKind(callTimelineRead(this, 'never')),
    );
    assert.equal(await failureKind(callTimelineRead(this, 'never')), kind);
    this.dialer.close();
    assert.deepEqual(new Set(await Promise.all(calls)), new Set(['lost']));
  },
);

Then('the call in flight rejects with {string}', async function (this: LinkWorld, kind: string) {
  assert.equal(await this.inFlight, kind);
});

Then('the link comes back on a new connection', async function (this: LinkWorld) {
  await waitForLinks(this.dialerProcess, 2);
  assert.ok(this.proxy.accepted >= 2);
});

Then("the old link's calls reject with {string}", async function (this: LinkWorld, kind: string) {
  const [old] = this.dialerProcess.links;
  assert.equal(await failureKind(old!.call('process.status', {})), kind);
});

Then('both ends of the link count {string}', async function (this: LinkWorld, name: string) {
  // If the dialer reconnects before the server notices the silence, its new link supersedes the old one there.
  const silent = this.dialerProcess.metrics.waitForCounter(name);
  const [atServer] = this.serverProcess.links;
  await Promise.all([silent, atServer!.ended]);
  assert.ok(['silence', 'superseded'].includes(await atServer!.ended));
});

Then("both ends of the link receive the other's bundle version", async function (this: LinkWorld) {
  const versions = await Promise.all([
    once(this.serverProcess.events, 'version'),
    once(this.dialerProcess.events, 'version'),
  ]);
  assert.deepEqual(versions.flat(), [9, 7]);
});

Then(
  "the older incarnation's link is closed as {string}",
  async function (this: LinkWorld, reason: string) {
    assert.equal(await this.serverProcess.links[0]!.ended, reason);
  },
);

Then('the link server counts {string}', async function (this: LinkWorld, name: string) {
  await this.serverProcess.metrics.waitForCounter(name);
});

Then('the link dialer counts {string}', async function (this: LinkWorld, name: string) {
  await this.dialerProcess.metrics.waitForCounter(name);
});

Then(
  'the link dialer counts {string} {int} times',
  async function (this: LinkWorld, name: string, times: number) {
    await this.dialerProcess.metrics.waitForCounter(name, times);
  },
);

Then('the link server has {int} links', function (this: LinkWorld, count: number) {
  assert.equal(this.server.links().length, count);
});

When(
  '{int} calls on the link are answered and the dialer closes it',
  async function (this: LinkWorld, count: number) {
    await Promise.all(
      Array.from({ length: count }, (_, n) => callTimelineRead(this, 'shuffle', n + 1)),
    );
    this.dialer.close();
    await Promise.all(
      [...this.serverProcess.links, ...this.dialerProcess.links].map((l) => l.ended),
    );
  },
);

Then(
  'both ends of the link counted the same frames and bytes to the server',
  function (this: LinkWorld) {
    const { traffic: atDialer } = this.dialerProcess.links[0]!;
    const { traffic: atServer } = this.serverProcess.links[0]!;
    assert.ok(atDialer.framesOut >= 20);
    assert.equal(atServer.framesIn, atDialer.framesOut);
    assert.equal(atServer.bytesIn, atDialer.bytesOut);
    assert.ok(atDialer.bytesOut > atDialer.framesOut);
  },
);

Then("the link server's metrics equal the counts of its link", function (this: LinkWorld) {
  const { ctx, metrics, links } = this.serverProcess;
  const { traffic } = links[0]!;
  assert.deepEqual(totalLinkTraffic(ctx), traffic);
  assert.equal(metrics.counters.get('link.frames.in'), traffic.framesIn);
  assert.equal(metrics.counters.get('link.frames.out'), traffic.framesOut);
  assert.equal(metrics.counters.get('link.bytes.in'), traffic.bytesIn);
  assert.equal(metrics.counters.get('link.bytes.out'), traffic.bytesOut);
});

Then(
  'both ends of the link count {string} with their heartbeats',
  async function (this: LinkWorld, name: string) {
    await Promise.all(
      [this.serverProcess, this.dialerProcess].map((each) => each.metrics.waitForCounter(name)),
    );
    assert.ok(!this.dialer.link!.closed);
  },
);
