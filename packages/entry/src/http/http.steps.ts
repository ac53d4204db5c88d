import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { EntryWorld, TOKEN, testBundle, testSettings } from '../testing/entry-world.support.js';
import { upstreamToken } from './auth.js';

interface HttpWorld {
  made: EntryWorld;
  entry: EntryWorld['entry'];
  res: { statusCode: number; payload: string; headers: Record<string, unknown> };
  raw: string;
}

const RUNNER = { type: 'runner', id: 'r9', address: '127.0.0.1:1', slots: 8, connections: 60 };

function setUp(world: HttpWorld, { bundle = true, limits = {} } = {}): void {
  const made = new EntryWorld();
  if (bundle) made.bundles.put(testBundle());
  const fails = {
    name: 'fails',
    routes: (server: EntryWorld['entry']['server']) =>
      server.route({
        method: 'GET',
        path: '/test/fails',
        handler: () => {
          throw new TypeError('A fault of the code.');
        },
      }),
  };
  made.build({ settings: { limits }, apps: [() => fails] });
  Object.assign(world, { made, entry: made.entry });
}

async function send(
  world: HttpWorld,
  line: string,
  { token = TOKEN, payload }: { token?: string; payload?: string | object } = {},
): Promise<void> {
  const [method = 'GET', url = '/'] = line.split(' ');
  const headers = { authorization: `Bearer ${token}` };
  const res = await world.entry.server.inject({
    method,
    url,
    headers,
    ...(payload === undefined ? {} : { payload }),
  });
  Object.assign(world, { res });
}

function asUpstream(): string {
  return upstreamToken(testSettings().linkKeys[0] ?? '');
}

After({ tags: '@entry-http' }, async function (this: HttpWorld) {
  if (this.entry.server.info.started) await this.entry.stop();
});

Given("an entry's HTTP server", function (this: HttpWorld) {
  setUp(this);
});

Given("an entry's HTTP server that takes {int} bytes", function (this: HttpWorld, bytes: number) {
  setUp(this, { limits: { bodyBytes: bytes } });
});

Given("an entry's HTTP server without a bundle", function (this: HttpWorld) {
  setUp(this, { bundle: false });
});

Given("an entry's HTTP server that listens", async function (this: HttpWorld) {
  setUp(this);
  await this.entry.start();
});

When('the HTTP server gets {string}', async function (this: HttpWorld, line: string) {
  await send(this, line);
});

When(
  'the HTTP server gets {string} with {int} bytes',
  async function (this: HttpWorld, line: string, bytes: number) {
    await send(this, line, { payload: 'x'.repeat(bytes) });
  },
);

When(
  'the HTTP server gets {string} of an upstream with body {string}',
  async function (this: HttpWorld, line: string, payload: string) {
    await send(this, line, { token: asUpstream(), payload });
  },
);

When(
  'the HTTP server gets {string} of an upstream with a runner',
  async function (this: HttpWorld, line: string) {
    await send(this, line, { token: asUpstream(), payload: RUNNER });
  },
);

When(
  'the HTTP server gets {int} bytes of headers',
  async function (this: HttpWorld, bytes: number) {
    const { port } = this.entry.server.info;
    const socket = connect(Number(port), '127.0.0.1');
    socket.write(`GET /health HTTP/1.1\r\nHost: a\r\nX-Long: ${'x'.repeat(bytes)}\r\n\r\n`);
    const chunks: Buffer[] = [];
    for await (const chunk of socket) chunks.push(chunk as Buffer);
    this.raw = Buffer.concat(chunks).toString();
  },
);

When('a bundle is put in force at the HTTP server', function (this: HttpWorld) {
  this.made.bundles.put(testBundle());
});

When('a bundle without that token is put in force at the HTTP server', function (this: HttpWorld) {
  const bundle = testBundle();
  bundle.accounts.forEach((account) => Object.assign(account, { tokens: [] }));
  this.made.bundles.put(bundle, 2);
});

When("the HTTP server's entry drains", async function (this: HttpWorld) {
  await this.entry.drain();
});

Then('the HTTP answer has status {int}', function (this: HttpWorld, status: number) {
  assert.equal(this.res.statusCode, status, this.res.payload);
});

Then(
  'the HTTP answer is problem {string} with status {int}',
  function (this: HttpWorld, kind: string, status: number) {
    const { payload, statusCode, headers } = this.res;
    const body = JSON.parse(payload) as Record<string, unknown>;
    assert.deepEqual([body.kind, statusCode, body.status], [kind, status, status], payload);
    assert.equal(body.type, `urn:zincspan:problem:${kind}`);
    assert.match(String(headers['content-type']), /^application\/problem\+json/);
    assert.ok(body.remedy);
    assert.equal(body.ran, kind === 'internal' ? 'unknown' : 'not-run');
  },
);

Then(
  'the HTTP connection is answered with status {int} and closed',
  function (this: HttpWorld, status: number) {
    assert.match(this.raw, new RegExp(`^HTTP/1.1 ${status} `));
  },
);

Then("the HTTP server's entry lists the runner as unguarded", function (this: HttpWorld) {
  const { membership } = this.entry.status() as { membership: { unguarded: string[] } };
  assert.deepEqual(membership.unguarded, [RUNNER.id]);
});
