import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import Wreck from '@hapi/wreck';
import { LinkError, type RequestResult } from '@zincspan/core';
import { startRunner } from '@zincspan/stand-ins';
import { closeLater, startGuard, type GuardWorld } from '../test/guard-world.support.js';

interface RequestWorld extends GuardWorld {
  results: Map<string, Promise<RequestResult>>;
}

function idOf(world: RequestWorld, name: string): string {
  return `${world.entry.ctx.self.incarnation}-${name.charCodeAt(0)}`;
}

async function send(world: RequestWorld, name: string, timeLeftMs = 5000): Promise<RequestResult> {
  return world.entry.guard.call('request.run', {
    requestId: idOf(world, name),
    account: 'tuul',
    kind: 'check-out',
    idempotent: false,
    urgent: true,
    timeLeftMs,
    contentType: 'application/json',
    body: Buffer.from(JSON.stringify({ name, serviceMs: 20 })),
  });
}

Given(
  'a guard beside a runner with {int} slots',
  async function (this: RequestWorld, slots: number) {
    await startBoth(this, { slots, announced: slots });
  },
);

Given(
  'a guard beside a runner that has announced {int} of its {int} slots',
  async function (this: RequestWorld, announced: number, slots: number) {
    await startBoth(this, { slots, announced });
  },
);

async function startBoth(
  world: RequestWorld,
  { slots, announced }: { slots: number; announced: number },
): Promise<void> {
  const runner = await startRunner({ slots });
  Object.assign(world, { results: new Map(), runner });
  closeLater(() => runner.close());
  await startGuard(world, { ...runner.runner, slots: announced });
}

Given('a guard without an upstream', async function (this: RequestWorld) {
  this.results = new Map();
  await startGuard(this, undefined, { announceTtlMs: 500 });
});

/** Bounded by the step's own timeout. */
async function untilLinked({ entry }: RequestWorld): Promise<void> {
  try {
    assert.ok(entry.guard);
  } catch {
    await pause(5);
    await untilLinked({ entry } as RequestWorld);
  }
}

Given('the guard without an upstream is linked', async function (this: RequestWorld) {
  await untilLinked(this);
});

Given('the guarded runner cuts its answers', function (this: RequestWorld) {
  this.runner!.faults.cutAnswer = true;
});

Given('the guarded runner is frozen', function (this: RequestWorld) {
  this.runner!.faults.freeze = true;
});

Given('the guarded runner is slow by {int} ms', function (this: RequestWorld, slowMs: number) {
  this.runner!.faults.slowMs = slowMs;
});

Given('the guarded runner is gone', async function (this: RequestWorld) {
  await this.runner!.close();
});

When(
  'an entry sends the guard a request {string}',
  async function (this: RequestWorld, name: string) {
    this.results.set(name, send(this, name));
    await this.results.get(name);
  },
);

When(
  'an entry sends the guard a request {string} with {int} ms left',
  function (this: RequestWorld, name: string, timeLeftMs: number) {
    this.results.set(name, send(this, name, timeLeftMs));
  },
);

When('an entry asks the guard about {string}', async function (this: RequestWorld, name: string) {
  const { incarnation } = this.entry.guard.process;
  const requestId = idOf(this, name);
  const settled = await this.entry.guard.call('request.settle', { requestId, incarnation });
  assert.equal(settled.state, 'never-seen');
});

When(
  'an entry has requests {string} and {string} in progress',
  async function (this: RequestWorld, first: string, second: string) {
    [first, second].forEach((name) => {
      const result = send(this, name);
      // One that is still running when the scenario ends loses its link.
      result.catch(() => {});
      this.results.set(name, result);
    });
    // Calls on one link arrive in order: once this is answered, both are there.
    const { incarnation } = this.entry.guard.process;
    const requestId = idOf(this, second);
    const settled = await this.entry.guard.call('request.settle', { requestId, incarnation });
    assert.equal(settled.state, 'running');
  },
);

When(
  'an entry has request {string} in progress as the link is cut',
  async function (this: RequestWorld, name: string) {
    const result = send(this, name);
    await this.entry.guard.call('process.status', {}).catch(() => {});
    this.entry.announcements.length = 0;
    this.entry.guard.close('overflow');
    await assert.rejects(result, LinkError);
    await this.entry.untilReady();
  },
);

When(
  'an entry sends the guard a burst of {int} requests',
  async function (this: RequestWorld, count: number) {
    const names = Array.from({ length: count }, (_, index) => String.fromCharCode(65 + index));
    const results = await Promise.all(names.map((name) => send(this, name)));
    assert.ok(results.every(({ outcome }) => outcome === 'answered'));
  },
);

When('an entry cancels {string}', async function (this: RequestWorld, name: string) {
  await this.entry.guard.call('request.cancel', { requestId: idOf(this, name) });
});

When('the guard is drained', async function (this: RequestWorld) {
  await this.guard.drain();
});

When('a runner announces itself to the guard', async function (this: RequestWorld) {
  this.runner = await startRunner({ guard: this.guard.address });
  await this.entry.untilReady();
});

When('a runner announces itself to the guard once', async function (this: RequestWorld) {
  const { address } = this.guard;
  const body = JSON.stringify({
    ...{ type: 'runner', id: 'runner-9', address: '127.0.0.1:1', slots: 1, connections: 1 },
  });
  const res = await Wreck.request('POST', `http://${address}/v1/upstream`, { payload: body });
  assert.equal(res.statusCode, 204);
  await this.entry.untilReady();
});

Given('the guarded runner announces {int} slot(s)', async function (this: RequestWorld, slots) {
  const payload = JSON.stringify({ ...this.runner!.runner, slots });
  const url = `http://${this.guard.address}/v1/upstream`;
  const res = await Wreck.request('POST', url, { payload });
  assert.equal(res.statusCode, 204);
});

Then(
  'the runner is busy with {int} requests at once',
  async function (this: RequestWorld, count: number) {
    // Bounded by the step's own timeout.
    while (this.runner!.ledger().maxInUse < count) await pause(5);
  },
);

When('the runner withdraws from the guard', async function (this: RequestWorld) {
  await this.runner!.close();
});

Then(
  'the answer to {string} is whole and is its own',
  async function (this: RequestWorld, name: string) {
    const result = await this.results.get(name)!;
    assert.ok(result.outcome === 'answered', JSON.stringify(result));
    assert.equal(result.length, result.body.byteLength);
    const answer = JSON.parse(Buffer.from(result.body).toString()) as { requestId: string };
    assert.equal(answer.requestId, idOf(this, name));
  },
);

Then(
  'request {string} failed as {string}, ran {string}',
  async function (this: RequestWorld, name: string, kind: string, ran: string) {
    const result = await this.results.get(name)!;
    assert.ok(result.outcome === 'problem', JSON.stringify(result));
    assert.deepEqual([result.problem.kind, result.problem.ran], [kind, ran]);
  },
);

Then(
  'the guard tells on the next link that {string} ended',
  async function (this: RequestWorld, name: string) {
    const { guard } = this.entry;
    const { incarnation } = guard.process;
    const ask = async () =>
      guard.call('request.settle', { requestId: idOf(this, name), incarnation });
    let settled = await ask();
    while (settled.state === 'running') settled = await ask();
    assert.ok(settled.state === 'ended' && settled.result.outcome === 'answered');
  },
);

Then('the runner was never overrun with {int} slots', function (this: RequestWorld, slots: number) {
  const { maxInUse, maxConnections, violations } = this.runner!.ledger();
  assert.equal(violations, 0);
  assert.ok(maxInUse <= slots && maxConnections <= slots);
});

Then(
  'the runner ran {string} {int} times',
  function (this: RequestWorld, name: string, times: number) {
    const id = idOf(this, name);
    const entry = this.runner!.ledger().entries.find(({ requestId }) => requestId === id);
    assert.equal(entry?.count ?? 0, times);
  },
);

Then(
  'the entry was told that the upstream is {string}',
  async function (this: RequestWorld, state: 'draining' | 'withdrawn') {
    await this.entry.untilTold(state);
  },
);
