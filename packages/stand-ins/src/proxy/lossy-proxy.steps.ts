import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { Given, Then, When } from '@cucumber/cucumber';
import { closeAfter, type StandInWorld } from '../server/stand-in.support.js';
import { LossyProxy } from './lossy-proxy.js';
import type { Silence } from './proxy-faults.js';

interface ProxyWorld extends StandInWorld {
  proxy: LossyProxy;
  client: Socket;
  echoed: string;
}

async function dial(world: ProxyWorld): Promise<Socket> {
  const { port } = new URL(`http://${world.proxy.address}`);
  const client = connect(Number(port), '127.0.0.1');
  client.on('error', () => {});
  closeAfter(world, () => client.destroy());
  // The echo of a greeting shows that the proxy is connected all the way.
  client.write('.');
  await once(client, 'data');
  return client;
}

Given('an echo server behind a lossy proxy', async function (this: ProxyWorld) {
  this.echoed = '';
  const server = createServer((socket) => {
    socket.on('error', () => {});
    socket.on('data', (bytes) => {
      this.echoed += bytes.toString();
      socket.write(bytes);
    });
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  closeAfter(this, () => server.close());
  this.proxy = new LossyProxy({ to: `127.0.0.1:${(server.address() as AddressInfo).port}` });
  await this.proxy.start();
  closeAfter(this, () => this.proxy.close());
  this.client = await dial(this);
});

When(
  "the lossy proxy's client sends {string} under a delay of {int} ms",
  async function (this: ProxyWorld, text: string, delayMs: number) {
    this.proxy.faults.delayMs = delayMs;
    this.client.write(text);
  },
);

When(
  'the lossy proxy silences {string} on its open connections',
  function (this: ProxyWorld, directions: Silence) {
    this.proxy.silenceOpen(directions);
  },
);

When("the lossy proxy's client dials anew", async function (this: ProxyWorld) {
  this.client = await dial(this);
});

When('the lossy proxy cuts its open connections', function (this: ProxyWorld) {
  this.proxy.cutOpen();
});

Then("the lossy proxy's client receives {string}", async function (this: ProxyWorld, text: string) {
  let received = '';
  while (received.length < text.length) {
    const [bytes] = (await once(this.client, 'data')) as [Buffer];
    received += bytes.toString();
  }
  assert.equal(received, text);
});

Then("the lossy proxy's echo server got {string}", function (this: ProxyWorld, text: string) {
  assert.equal(this.echoed.replaceAll('.', ''), text);
});

Then('the lossy proxy has {int} connections open', function (this: ProxyWorld, open: number) {
  assert.equal(this.proxy.open, open);
});

Then("the lossy proxy's client is closed", async function (this: ProxyWorld) {
  if (!this.client.closed) await once(this.client, 'close');
});
