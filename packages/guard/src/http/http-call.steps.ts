import assert from 'node:assert/strict';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { HttpCaller } from './http-call.js';

interface CallWorld {
  server: Server;
  caller: HttpCaller;
  accepted: number;
}

/** Longer than any pause of these scenarios. */
const SERVER_KEEP_ALIVE_MS = 30_000;

async function call({ caller }: CallWorld): Promise<void> {
  const { status } = await caller.call({
    method: 'GET',
    path: '/',
    timeoutMs: 10_000,
    maxBytes: 100,
  });
  assert.equal(status, 200);
}

Given(
  /^an upstream that counts its connections(?:, and answers after (\d+) ms)?$/,
  async function (this: CallWorld, ms: string | null) {
    this.accepted = 0;
    this.server = createServer({ keepAliveTimeout: SERVER_KEEP_ALIVE_MS }, (_, res) => {
      setTimeout(() => res.setHeader('content-length', 2).end('ok'), Number(ms ?? 0));
    });
    this.server.on('connection', () => {
      this.accepted += 1;
    });
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    const { port } = this.server.address() as AddressInfo;
    this.caller = new HttpCaller({ address: `127.0.0.1:${port}`, sockets: 4 });
  },
);

When('it is called twice, {int} ms apart', async function (this: CallWorld, ms: number) {
  await call(this);
  await sleep(ms);
  await call(this);
});

When('it is called once more {int} ms later', async function (this: CallWorld, ms: number) {
  await sleep(ms);
  await call(this);
});

Then('it has accepted {int} connection(s)', function (this: CallWorld, count: number) {
  assert.equal(this.accepted, count);
});

After({ tags: '@upstream-call' }, function (this: Partial<CallWorld>) {
  this.caller?.close();
  this.server?.closeAllConnections();
  this.server?.close();
});
