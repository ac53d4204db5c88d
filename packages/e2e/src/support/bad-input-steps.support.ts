/** Steps about input that no well-behaved peer or caller sends. */
import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { randomBytes } from 'node:crypto';
import { readFileSync } from 'node:fs';
import { connect } from 'node:net';
import { FindingsError, parseJsonc, settingsSchema } from '@zincspan/core';
import Wreck from '@hapi/wreck';
import fc from 'fast-check';
import { join } from 'node:path';
import type { ToldProblem } from '../audit/request-log.js';
import { Caller, type Answer } from '../deployment/caller.js';
import type { E2eWorld } from './e2e-world.support.js';

const CLOSE_MS = 300;
const RUNS = 60;
const SETTINGS_RUNS = 300;
const MB = 1_048_576;

const UPGRADE =
  'GET / HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n' +
  'Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n';

/** A masked binary WebSocket frame of random bytes that promises `length`. */
function frameOf(length: number, sent: number): Buffer {
  const head = Buffer.alloc(14);
  head[0] = 0x82;
  head[1] = 0xff;
  head.writeBigUInt64BE(BigInt(length), 2);
  return Buffer.concat([head, randomBytes(sent)]);
}

/** Things to send to a port; each is followed by the end of the connection. */
function garbage(): (string | Buffer)[][] {
  return [
    [randomBytes(2000)],
    ['POST /v1/requests/match HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\ncut'],
    ['GET /v1/jobs HTTP/1.1\r\nHo'],
    ['POST /v1/upstream HTTP/1.1\r\nHost: a\r\nContent-Length: 9999999999\r\n\r\n{'],
    [UPGRADE, frameOf(200, 200)],
    [UPGRADE, frameOf(1e9, 5000)],
    [UPGRADE, frameOf(500, 20)],
  ];
}

/** Sends to a port and resolves once the connection is over. */
function sendRaw(address: string, parts: (string | Buffer)[]): Promise<void> {
  const [host = '', port] = address.split(':');
  return new Promise((resolve) => {
    const socket = connect(Number(port), host);
    socket.on('error', () => {});
    socket.on('data', () => {});
    socket.once('close', () => resolve());
    parts.forEach((part) => socket.write(part));
    setTimeout(() => socket.destroy(), CLOSE_MS);
  });
}

interface Daemon {
  name: string;
  ports: string[];
}

function daemonsOf({ deployment }: E2eWorld): Daemon[] {
  const { entries, upstreams } = deployment.layout;
  return [
    ...entries.map(({ id, vm }) => ({ name: id, ports: [vm.http, vm.link] })),
    ...upstreams.map(({ id, vm }) => ({ name: `guard-${id}`, ports: [vm.http] })),
  ];
}

When(
  'garbage is sent to every port of every daemon {int} times',
  async function (this: E2eWorld, times: number) {
    const ports = daemonsOf(this).flatMap((daemon) => daemon.ports);
    for (let n = 0; n < times; n += 10) {
      const sent = ports.flatMap((port) => garbage().map((parts) => sendRaw(port, parts)));
      await Promise.all(sent);
    }
  },
);

/** Resident memory in bytes. */
function memoryOf(world: E2eWorld, name: string): number {
  const { pid } = world.deployment.process(name);
  const [, pages = '0'] = readFileSync(`/proc/${pid}/statm`, 'utf8').split(' ');
  return Number(pages) * 4096;
}

const memories = new WeakMap<E2eWorld, Map<string, number>>();

When('memory in use is noted', function (this: E2eWorld) {
  memories.set(this, new Map(daemonsOf(this).map(({ name }) => [name, memoryOf(this, name)])));
});

Then(
  'memory has grown by less than {int} MB in every daemon',
  function (this: E2eWorld, bound: number) {
    const grown = daemonsOf(this)
      .map(({ name }) => ({ name, by: memoryOf(this, name) - memories.get(this)!.get(name)! }))
      .filter(({ by }) => by > bound * MB);
    assert.deepEqual(grown, []);
  },
);

Then('every daemon runs as before', async function (this: E2eWorld) {
  for (const { name, ports } of daemonsOf(this)) {
    const process = this.deployment.process(name);
    assert.ok(process.running, `${name} is gone.`);
    assert.equal(process.lines.filter((line) => line.includes('"msg":"started"')).length, 1);
    const res = await Wreck.request('GET', `http://${ports[0]}/health`, { timeout: 5000 });
    await Wreck.read(res, {});
    assert.equal(res.statusCode, 200, name);
  }
});

When(
  '{word} sends any bytes as a match request to {word}, they come back as they were',
  async function (this: E2eWorld, account: string, entry: string) {
    const url = `${this.url(entry)}/v1/requests/match`;
    const { token } = this.tokens.get(account)!;
    const headers = { authorization: `Bearer ${token}`, 'content-type': 'application/x-any' };
    const property = fc.asyncProperty(fc.uint8Array({ maxLength: 4000 }), async (bytes) => {
      const res = await Wreck.request('POST', url, { headers, payload: Buffer.from(bytes) });
      const body = JSON.parse((await Wreck.read(res, {})).toString()) as { echo: unknown };
      assert.equal(res.statusCode, 200, JSON.stringify(body));
      const text = Buffer.from(bytes).toString('utf8');
      assert.deepEqual(body.echo, jsonOrText(text));
    });
    await fc.assert(property, { numRuns: RUNS });
  },
);

function jsonOrText(text: string): unknown {
  try {
    return JSON.parse(text);
  } catch {
    return text;
  }
}

/** Mostly wrong, now and then right in parts. */
const jobBodies = fc.oneof(
  fc.jsonValue(),
  fc.record(
    {
      kind: fc.oneof(fc.constantFrom('proof', 'entry', 'match'), fc.string()),
      shape: fc.oneof(
        fc.jsonValue(),
        fc.record({ tasks: fc.integer(), acceleratorsPerTask: fc.integer({ max: 16 }) }),
      ),
      params: fc.oneof(fc.jsonValue(), fc.constant({ runMs: 10 })),
      extra: fc.jsonValue(),
    },
    { requiredKeys: ['kind', 'shape'] },
  ),
);

When(
  '{word} sends any JSON as a job to {word}, it is accepted whole or refused as not run',
  async function (this: E2eWorld, account: string, entry: string) {
    const url = `${this.url(entry)}/v1/jobs`;
    const accepted: string[] = [];
    const property = fc.asyncProperty(jobBodies, async (body) => {
      const answer = await this.caller(account).call('POST', url, { body });
      if (answer.status === 202) {
        accepted.push((answer.body as { id: string }).id);
        return;
      }
      checkRefusal(answer);
    });
    await fc.assert(property, { numRuns: RUNS });
    const { body } = await this.caller(account).call('GET', `${url}?limit=500`);
    const listed = (body as { jobs: { id: string }[] }).jobs.map(({ id }) => id);
    assert.deepEqual(listed.sort(), accepted.sort());
  },
);

function checkRefusal({ status, body }: Answer): void {
  const { ran, remedy, detail } = body as ToldProblem;
  assert.ok(status >= 400 && status < 500, `${status}: ${detail}`);
  assert.equal(ran, 'not-run', detail);
  assert.ok(remedy, detail);
}

When(
  'a booking of {int} bytes is refused as {word} at {word}',
  async function (this: E2eWorld, bytes: number, kind: string, entry: string) {
    const url = `${this.url(entry)}/v1/requests/booking`;
    const answer = await this.caller('crews').call('POST', url, { body: 'x'.repeat(bytes) });
    checkRefusal(answer);
    assert.equal((answer.body as ToldProblem).kind, kind);
  },
);

Then(
  '{word} neither sees nor cancels job {string} at {word}',
  async function (this: E2eWorld, account: string, name: string, entry: string) {
    const base = `${this.url(entry)}/v1/jobs`;
    const one = `${base}/${this.id(name)}`;
    const other = this.caller(account);
    const answers = await Promise.all([
      other.call('GET', one),
      other.call('GET', `${one}/wait?timeoutMs=100`),
      other.call('POST', `${one}/cancel`),
      other.call('DELETE', one),
    ]);
    assert.deepEqual(
      answers.map(({ status }) => status),
      [404, 404, 404, 404],
    );
    const { body } = await other.call('GET', base);
    assert.deepEqual((body as { jobs: unknown[] }).jobs, []);
  },
);

Then('wrong tokens are refused at every route of {word}', async function (this: E2eWorld, entry) {
  const url = this.url(String(entry));
  const calls = [
    ['POST', '/v1/requests/booking'],
    ['POST', '/v1/jobs'],
    ['GET', '/v1/jobs'],
    ['POST', '/v1/claims'],
    ['POST', '/v1/upstreams'],
    ['GET', '/v1/operator/processes'],
    ['POST', '/v1/operator/bundle/proposals'],
    ['POST', '/v1/operator/bundle/rollouts'],
  ] as const;
  const property = fc.asyncProperty(
    fc.constantFrom(...calls),
    fc.base64String({ maxLength: 80 }),
    async ([method, path], token) => {
      const stranger = new Caller({ token });
      const answer = await stranger.call(method, `${url}${path}`, { body: {} });
      assert.equal(answer.status, 401, JSON.stringify(answer.body));
      checkRefusal(answer);
    },
  );
  await fc.assert(property, { numRuns: RUNS });
});

Then(
  'any field of the settings gone wrong is refused with its name and a remedy',
  function (this: E2eWorld) {
    const file = join(this.deployment.directory, 'entry-1.jsonc');
    const settings = JSON.parse(readFileSync(file, 'utf8').replace(/^\/\/.*\n/, '')) as object;
    const property = fc.property(
      fc.constantFrom(...Object.keys(settings)),
      fc.oneof(fc.constant(null), fc.double(), fc.constant('?'), fc.constant({ odd: 1 })),
      (field, value) => {
        const text = JSON.stringify({ ...settings, [field]: value });
        assert.throws(
          () => parseJsonc(text, settingsSchema),
          (err) => {
            assert.ok(err instanceof FindingsError);
            const { path, remedy } = err.findings[0]!;
            return path.startsWith(field) && remedy.length > 0;
          },
        );
      },
    );
    fc.assert(property, { numRuns: SETTINGS_RUNS });
  },
);
