import assert from 'node:assert/strict';
import { request as httpRequest } from 'node:http';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { ProblemError, problem, type SettleResult } from '@zincspan/core';
import { EntryWorld, TOKEN, answered, testBundle } from '../testing/entry-world.support.js';
import { FakePeer } from '../testing/fake-peer.support.js';

type Reply = Awaited<ReturnType<EntryWorld['entry']['server']['inject']>>;

export class RequestWorld extends EntryWorld {
  first!: Promise<Reply>;

  last!: Promise<Reply>;

  all: Reply[] = [];

  drained: Promise<void> | undefined;

  earlier: FakePeer | undefined;

  send(kind: string, headers: Record<string, string> = {}): Promise<Reply> {
    return this.entry.server.inject({
      method: 'POST',
      url: `/v1/requests/${kind}`,
      headers: { authorization: `Bearer ${TOKEN}`, ...headers },
      payload: 'lens 7',
    });
  }
}

function setUp(world: RequestWorld, names: string, options = {}): void {
  Object.setPrototypeOf(world, RequestWorld.prototype);
  Object.assign(world, new RequestWorld());
  world.bundles.put(testBundle(options));
  world.build();
  names.split(', ').forEach((name) => world.addRunner(name));
}

function overload(peer: FakePeer, retryAfterMs: number): void {
  peer.answers.set('request.run', () => {
    throw new ProblemError(
      problem('overloaded', { detail: 'Full.', remedy: 'Come back.', retryAfterMs }),
    );
  });
}

/** The same guard on a new link. */
function relink(world: RequestWorld, name: string, settled: SettleResult[]): void {
  const old = world.guard(name);
  const peer = new FakePeer({ id: old.process.id, incarnation: old.process.incarnation });
  const left = [...settled];
  peer.answers.set('request.settle', () => (left.length > 1 ? left.shift() : left[0]));
  world.guards.set(name, peer);
  world.entry.upstreams.linkUp(peer);
}

function settleResult(state: string, text: string): SettleResult {
  if (state === 'ended') return { state, result: answered(text) };
  return { state: state as 'running' | 'never-seen' | 'forgotten' };
}

After({ tags: '@request-path' }, async function (this: Partial<RequestWorld>) {
  if (this.entry?.server.info.started) await this.entry.stop();
});

Given('a request path with runners {string}', function (this: RequestWorld, names: string) {
  setUp(this, names);
});

Given(
  'a request path with runners {string} and a quota of {int}',
  function (this: RequestWorld, names: string, requests: number) {
    setUp(this, names, { requests });
  },
);

Given(
  'a request path with runners {string} and a retry budget of {float}',
  function (this: RequestWorld, names: string, retryBudget: number) {
    setUp(this, names, { retryBudget });
  },
);

Given('request runners {string} are draining', function (this: RequestWorld, names: string) {
  names.split(', ').forEach((name) => {
    this.guard(name).answers.set('request.run', () => {
      throw new ProblemError(problem('draining', { detail: 'It leaves.', remedy: 'Use another.' }));
    });
  });
});

Given(
  'request runner {string} answers {string}',
  function (this: RequestWorld, name: string, text: string) {
    this.guard(name).answers.set('request.run', () => answered(text));
  },
);

Given('requests for {string} were mostly fast', async function (this: RequestWorld, kind: string) {
  this.guards.forEach(({ answers }) => answers.set('request.run', () => answered('proof')));
  for (let i = 0; i < 100; i += 1) await this.send(kind);
  this.guards.forEach((guard) => {
    guard.answers.clear();
    guard.calls.splice(0);
  });
});

When(
  'both request runners have it and the later answers {string}',
  async function (this: RequestWorld, text: string) {
    const [r1, r2] = [this.guard('r1'), this.guard('r2')];
    const calls = [r1.nextCall('request.run'), r2.nextCall('request.run')];
    this.earlier = await Promise.race([calls[0]?.then(() => r1), calls[1]?.then(() => r2)]);
    const [first, second] = await Promise.all(calls);
    (this.earlier === r1 ? second : first)?.resolve(answered(text));
  },
);

Then('the earlier request runner is told to cancel it', async function (this: RequestWorld) {
  await this.earlier?.nextCall('request.cancel');
});

Given(
  'request runner {string} answers {string} of {int} bytes',
  function (this: RequestWorld, name: string, text: string, length: number) {
    this.guard(name).answers.set('request.run', () => answered(text, length));
  },
);

Given(
  'request runner {string} is overloaded for {int} ms',
  function (this: RequestWorld, name: string, ms: number) {
    overload(this.guard(name), ms);
  },
);

Given(
  'the request link to {string} fails before it sends',
  function (this: RequestWorld, name: string) {
    this.guard(name).refusesToSend = true;
  },
);

When('a caller requests {string}', function (this: RequestWorld, kind: string) {
  this.last = this.send(kind);
});

When(
  'a caller requests {string} {int} times',
  async function (this: RequestWorld, kind: string, times: number) {
    this.all = await Promise.all(Array.from({ length: times }, () => this.send(kind)));
  },
);

Then('each request answers {int}', function (this: RequestWorld, status: number) {
  assert.deepEqual(
    this.all.map(({ statusCode }) => statusCode),
    this.all.map(() => status),
  );
});

When('a stranger requests {string}', function (this: RequestWorld, kind: string) {
  this.last = this.send(kind, { authorization: 'Bearer someone' });
});

When(
  'a caller requests {string} within {int} ms',
  function (this: RequestWorld, kind: string, ms: number) {
    this.last = this.send(kind, { 'zincspan-deadline-ms': String(ms) });
  },
);

When('a caller starts to request {string}', async function (this: RequestWorld, kind: string) {
  this.first = this.send(kind);
  this.last = this.first;
  await this.guard('r1').nextCall('request.run');
});

When(
  'a caller requests {string} over the network and leaves once it was sent',
  async function (this: RequestWorld, kind: string) {
    await this.entry.start();
    const req = httpRequest(`${this.entry.server.info.uri}/v1/requests/${kind}`, {
      method: 'POST',
      headers: { authorization: `Bearer ${TOKEN}` },
    });
    req.on('error', () => {});
    req.end('lens 7');
    await this.guard('r1').nextCall('request.run');
    req.destroy();
  },
);

When(
  'the request link to {string} breaks once it was sent',
  async function (this: RequestWorld, name: string) {
    await this.guard(name).nextCall('request.run');
    this.guard(name).lose();
  },
);

When(
  'request guard {string} is linked again and settles {string} with {string}',
  function (this: RequestWorld, name: string, state: string, text: string) {
    relink(this, name, [settleResult(state, text)]);
  },
);

When(
  'request guard {string} is linked again and settles {string}, then {string} with {string}',
  function (this: RequestWorld, name: string, state: string, next: string, text: string) {
    relink(this, name, [settleResult(state, ''), settleResult(next, text)]);
  },
);

When(
  'request guard {string} comes back as another incarnation',
  function (this: RequestWorld, name: string) {
    const { id } = this.guard(name).process;
    this.entry.upstreams.linkUp(new FakePeer({ id, incarnation: `${id}-life-2` }));
  },
);

When(
  'request runner {string} joins and answers {string}',
  function (this: RequestWorld, name: string, answer: string) {
    this.addRunner(name, { answer });
  },
);

When(
  'request runner {string} joins and is overloaded for {int} ms',
  function (this: RequestWorld, name: string, ms: number) {
    overload(this.addRunner(name), ms);
  },
);

When('request upstream {string} expires', function (this: RequestWorld, name: string) {
  const member = this.entry.upstreams.get(name);
  assert.ok(member);
  member.expiresAt = 0;
  this.entry.upstreams.expire();
});

When('the request path drains once it was sent', async function (this: RequestWorld) {
  await this.guard('r1').nextCall('request.run');
  this.drained = this.entry.drain();
});

When(
  'request runner {string} answers its request with {string}',
  async function (this: RequestWorld, name: string, text: string) {
    (await this.guard(name).nextCall('request.run')).resolve(answered(text));
  },
);

Then(
  'the request answers {int} with {string}',
  async function (this: RequestWorld, status: number, text: string) {
    const res = await this.last;
    assert.equal(res.statusCode, status, res.payload);
    assert.equal(res.payload, text);
  },
);

Then(
  'the first request answers {int} with {string}',
  async function (this: RequestWorld, status: number, text: string) {
    const res = await this.first;
    assert.deepEqual([res.statusCode, res.payload], [status, text]);
  },
);

Then(
  "the request's answer has type {string} and a request id",
  async function (this: RequestWorld, type: string) {
    const { headers } = await this.last;
    assert.equal(headers['content-type'], type);
    assert.match(String(headers['zincspan-request-id']), /^entry-a-life-1-\d+$/);
  },
);

Then(
  'the request is refused with {string}, status {int}, ran {string}',
  async function (this: RequestWorld, kind: string, status: number, ran: string) {
    const res = await this.last;
    const body = JSON.parse(res.payload) as Record<string, unknown>;
    assert.deepEqual([body.kind, res.statusCode, body.ran], [kind, status, ran], res.payload);
    assert.equal(body.type, `urn:zincspan:problem:${kind}`);
    assert.match(String(res.headers['content-type']), /^application\/problem\+json/);
  },
);

Then(
  "the request's refusal names a bound of {int} and when to come back",
  async function (this: RequestWorld, bound: number) {
    const res = await this.last;
    const { facts } = JSON.parse(res.payload) as { facts: { bound: number } };
    assert.equal(facts.bound, bound);
    assert.ok(Number(res.headers['retry-after']) >= 1);
  },
);

Then(
  'the request may be sent again after {int} s',
  async function (this: RequestWorld, seconds: number) {
    assert.equal((await this.last).headers['retry-after'], String(seconds));
  },
);

Then(
  'request guard {string} is told to cancel it',
  async function (this: RequestWorld, name: string) {
    const guard = this.guard(name);
    const cancel = await guard.nextCall('request.cancel');
    const run = await guard.nextCall('request.run');
    assert.equal(
      (cancel.req as { requestId: string }).requestId,
      (run.req as { requestId: string }).requestId,
    );
  },
);

Then('request runner {string} ran nothing', function (this: RequestWorld, name: string) {
  assert.equal(this.guard(name).count('request.run'), 0);
});

Then('the request path is not ready', async function (this: RequestWorld) {
  const res = await this.entry.server.inject('/ready');
  assert.equal(res.statusCode, 503);
});

Then('the request path has drained', async function (this: RequestWorld) {
  await this.drained;
  const left = this.ctx.timeline.read().find(({ type }) => type === 'entry.drained');
  assert.equal(left?.detail.left, 0);
});
