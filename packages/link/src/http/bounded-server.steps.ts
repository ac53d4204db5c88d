import assert from 'node:assert/strict';
import { once } from 'node:events';
import type { ServerResponse } from 'node:http';
import { connect, type AddressInfo, type Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { CountingMetrics } from '@zincspan/core';
import { BoundedServer } from './bounded-server.js';
import { callerLimits } from './http-limits.js';

const BYTES_PER_MB = 1_048_576;
const POLL_MS = 5;
const STATUS_LINE = /HTTP\/1\.1 (\d{3})/g;

interface ServerWorld {
  server: BoundedServer;
  metrics: CountingMetrics;
  sockets: Socket[];
  /** What the last client has read. */
  text: string;
  /** Requests whose handlers were called. */
  handled: number;
  /** Blocks of the last request's body. */
  blocks: number;
  /** Bytes of bodies that the handlers got in this turn of the event loop, and in the turn in which they got most. */
  turnBytes: number;
  mostTurnBytes: number;
  /** Responses that the handlers hold back; undefined: they answer at once. */
  held: ServerResponse[] | undefined;
}

const GET = 'GET / HTTP/1.1\r\nHost: a\r\n\r\n';
const ONE_BYTE_CHUNK = '1\r\nx\r\n';

function post(length: number, sent: number): string {
  const head = `POST / HTTP/1.1\r\nHost: a\r\nContent-Length: ${length}\r\n\r\n`;
  return `${head}${'x'.repeat(sent)}`;
}

const PAYLOADS: Record<string, string> = {
  'a GET request': GET,
  '200 GET requests ahead': GET.repeat(200),
  '2000 GET requests ahead': GET.repeat(2000),
  '20 POST requests ahead': post(2000, 2000).repeat(20),
  'an HTTP/1.0 request without Host': 'GET / HTTP/1.0\r\n\r\n',
  'an HTTP/1.1 request without Host': 'GET / HTTP/1.1\r\n\r\n',
  'a request with an unknown Expect': 'GET / HTTP/1.1\r\nHost: a\r\nExpect: more\r\n\r\n',
  'a body of 262144 bytes byte by byte': `POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n${ONE_BYTE_CHUNK.repeat(262_144)}0\r\n\r\n`,
  'a body of 1000000 bytes at once': post(1_000_000, 1_000_000),
  'all but the end of a body that exceeds 4 MB': post(5_000_000, 4_161_600),
};

function payloadOf(what: string): string {
  const payload = PAYLOADS[what];
  assert.ok(payload, `No payload "${what}".`);
  return payload;
}

/** Polls until it holds; the time-out of the step ends a wait without end. */
async function eventually(holds: () => boolean): Promise<void> {
  while (!holds()) await sleep(POLL_MS);
}

function countTurnBytes(world: ServerWorld, bytes: number): void {
  if (world.turnBytes === 0) setImmediate(() => Object.assign(world, { turnBytes: 0 }));
  const turnBytes = world.turnBytes + bytes;
  Object.assign(world, { turnBytes, mostTurnBytes: Math.max(world.mostTurnBytes, turnBytes) });
}

async function open({ server, sockets }: ServerWorld): Promise<Socket> {
  const { port } = server.address() as AddressInfo;
  const socket = connect({ host: '127.0.0.1', port });
  sockets.push(socket);
  socket.on('error', () => undefined);
  await once(socket, 'connect');
  return socket;
}

async function send(world: ServerWorld, what: string): Promise<Socket> {
  const socket = await open(world);
  socket.write(payloadOf(what));
  return socket;
}

async function sendAndRead(world: ServerWorld, what: string): Promise<void> {
  const socket = await send(world, what);
  const parts: string[] = [];
  Object.assign(world, { text: '' });
  socket.on('data', (bytes) => {
    parts.push(bytes.toString());
    Object.assign(world, { text: parts.join('') });
  });
}

async function readStatuses(world: ServerWorld, count: number): Promise<number[]> {
  const statuses = (): number[] =>
    [...world.text.matchAll(STATUS_LINE)].map(([, status]) => Number(status));
  await eventually(() => statuses().length >= count);
  return statuses();
}

async function assertStatuses(world: ServerWorld, count: number, status: number): Promise<void> {
  const expected = Array.from({ length: count }, () => status);
  assert.deepEqual(await readStatuses(world, count), expected);
}

Given(
  'a bounded server for a process of {int} MB and {int} descriptors',
  async function (this: ServerWorld, memoryMb: number, maxDescriptors: number) {
    Object.assign(this, { sockets: [], text: '', handled: 0, blocks: 0, held: undefined });
    Object.assign(this, { turnBytes: 0, mostTurnBytes: 0 });
    this.metrics = new CountingMetrics();
    const limits = callerLimits({ memoryBytes: memoryMb * BYTES_PER_MB, maxDescriptors });
    this.server = new BoundedServer({ limits, metrics: this.metrics }, (req, res) => {
      let blocks = 0;
      req.on('data', ({ length }: Buffer) => {
        blocks += 1;
        countTurnBytes(this, length);
      });
      req.on('end', () => {
        this.handled += 1;
        this.blocks = blocks;
        if (this.held === undefined) res.end();
        else this.held.push(res);
      });
    });
    this.server.listen(0, '127.0.0.1');
    await once(this.server, 'listening');
  },
);

Given("handlers that don't answer yet", function (this: ServerWorld) {
  this.held = [];
});

Given('{int} idle connections', async function (this: ServerWorld, count: number) {
  await Promise.all(Array.from({ length: count }, () => open(this)));
});

When(/^an HTTP client sends (.+)$/, async function (this: ServerWorld, what: string) {
  await sendAndRead(this, what);
});

When(
  /^(\d+) HTTP clients send (\d+ GET requests ahead)$/,
  async function (this: ServerWorld, clients: string, what: string) {
    await Promise.all(Array.from({ length: Number(clients) }, () => send(this, what)));
  },
);

Then(
  '{int} clients that send a request at once are each answered with {int}',
  async function (this: ServerWorld, count: number, status: number) {
    const sockets = await Promise.all(Array.from({ length: count }, () => open(this)));
    const reads = sockets.map(async (socket) => {
      socket.write(GET);
      const [bytes] = (await once(socket, 'data')) as [Buffer];
      return bytes.toString();
    });
    this.text = (await Promise.all(reads)).join('');
    await assertStatuses(this, count, status);
  },
);

Then(
  'it reads {int} answer(s) with status {int}',
  async function (this: ServerWorld, count: number, status: number) {
    await assertStatuses(this, count, status);
  },
);

Then(
  'the server has kept it in at most {int} blocks',
  async function (this: ServerWorld, blocks: number) {
    await eventually(() => this.handled === 1);
    assert.ok(this.blocks <= blocks, `${this.blocks} blocks`);
  },
);

Then(
  'its handler got at most {int} bytes in a turn of the event loop',
  function (this: ServerWorld, bytes: number) {
    assert.ok(this.mostTurnBytes > 0 && this.mostTurnBytes <= bytes, `${this.mostTurnBytes} bytes`);
  },
);

Then('no connection was closed for a limit', function (this: ServerWorld) {
  const closed = [...this.metrics.counters.keys()].filter((name) => name.startsWith('http.closed'));
  assert.deepEqual(closed, []);
});

Then('the answer says when to try again', function (this: ServerWorld) {
  assert.match(this.text, /\r\nRetry-After: 1\r\n/);
});

Then('the request was not handled', function (this: ServerWorld) {
  assert.equal(this.handled, 0);
});

Then('another client is answered with {int}', async function (this: ServerWorld, status: number) {
  await sendAndRead(this, 'a GET request');
  await assertStatuses(this, 1, status);
});

Then("another client's request is handled", async function (this: ServerWorld) {
  const { handled } = this;
  await send(this, 'a GET request');
  await eventually(() => this.handled > handled);
});

Then('at most {int} requests were handled', function (this: ServerWorld, requests: number) {
  assert.ok(this.handled > 0 && this.handled <= requests, `${this.handled} requests`);
});

Then(
  'the client reads {int} answers with status {int} once the handlers answer',
  async function (this: ServerWorld, count: number, status: number) {
    const { held = [] } = this;
    this.held = undefined;
    held.forEach((res) => res.end());
    await assertStatuses(this, count, status);
  },
);

Then('connections are closed for the limit of memory', async function (this: ServerWorld) {
  await eventually(() => this.metrics.counters.has('http.closed.memory'));
});

Then('an idle connection was closed for the limit of connections', function (this: ServerWorld) {
  assert.equal(this.metrics.counters.get('http.closed.connections'), 1);
});

After(function (this: Partial<ServerWorld>) {
  if (!(this.server instanceof BoundedServer)) return;
  this.sockets?.forEach((socket) => socket.destroy());
  this.server.close();
  this.server.closeAllConnections();
});
