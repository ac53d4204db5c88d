import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  ManualClock,
  ProblemError,
  problem,
  type ProblemKind,
  type Kind,
  type RequestEnd,
} from '@zincspan/core';
import { EntryWorld, answered, testBundle } from '../testing/entry-world.support.js';
import { FakePeer, type FakeCall } from '../testing/fake-peer.support.js';
import type { Answer } from './attempt.js';
import { RequestLife } from './request-life.js';
import { RequestRouter } from './request-router.js';
import { RunnerPool } from './runner-pool.js';

/** A pool that tells what was noted. */
class NotingPool extends RunnerPool {
  readonly ends = new Map<string, RequestEnd>();

  readonly copies: { kind: string; won: boolean }[] = [];

  override ended(runner: string, end: RequestEnd): void {
    super.ended(runner, end);
    this.ends.set(runner, end);
  }

  override copyEnded(kind: Kind, { won }: { won: boolean }): void {
    super.copyEnded(kind, { won });
    this.copies.push({ kind: kind.name, won });
  }
}

class CopiesWorld extends EntryWorld {
  readonly clock = new ManualClock();

  pool!: NotingPool;

  life!: RequestLife;

  answer!: Promise<Answer>;

  /** Runner of the first attempt, and the other one. */
  first!: string;

  other!: string;

  kind(name: string): Kind {
    const found = this.bundles.current?.bundle.kinds.find((kind) => kind.name === name);
    assert.ok(found);
    return found;
  }

  makePool(): void {
    const { ctx, bundles, entry } = this;
    this.pool = new NotingPool({ ctx, bundles, upstreams: entry.upstreams, entries: () => 1 });
  }

  run(runner: string): Promise<FakeCall> {
    return this.guard(runner).nextCall('request.run');
  }

  async route(name: string): Promise<void> {
    const { ctx, entry, pool } = this;
    const router = new RequestRouter({ ctx, upstreams: entry.upstreams, pool });
    this.life = new RequestLife({ clock: this.clock, deadlineMs: 60_000 });
    this.answer = router.run(
      {
        requestId: 'request-1',
        account: 'tuul',
        kind: this.kind(name),
        contentType: 'text/plain',
        body: new Uint8Array(),
      },
      { life: this.life },
    );
    this.answer.catch(() => undefined).finally(() => this.life.end());
    this.first = await Promise.race(['r1', 'r2'].map((r) => this.run(r).then(() => r)));
    this.other = this.first === 'r1' ? 'r2' : 'r1';
  }
}

function setUp(world: CopiesWorld, names: string, retryBudget: number): void {
  Object.setPrototypeOf(world, CopiesWorld.prototype);
  Object.assign(world, new CopiesWorld());
  Object.assign(world.ctx, { clock: world.clock });
  world.bundles.put(testBundle({ retryBudget }));
  world.build();
  names.split(', ').forEach((name) => world.addRunner(name));
  world.makePool();
}

function refusal(kind: ProblemKind, ran: 'ran' | 'not-run'): ProblemError {
  return new ProblemError(problem(kind, { detail: 'No.', remedy: 'Another.', ran }));
}

Given('a request router over runners {string}', function (this: CopiesWorld, names: string) {
  setUp(this, names, 1);
});

Given(
  'a request router over runners {string} with a retry budget of {float}',
  function (this: CopiesWorld, names: string, retryBudget: number) {
    setUp(this, names, retryBudget);
  },
);

When('request {string} is routed', async function (this: CopiesWorld, kind: string) {
  await this.route(kind);
});

When(
  'request {string} is routed and its runner falls silent for {int} ms',
  async function (this: CopiesWorld, kind: string, ms: number) {
    await this.route(kind);
    this.clock.advance(ms);
    this.pool.checkSilence();
    assert.deepEqual(this.pool.ejected(), [this.first]);
  },
);

When(
  "the routed request's copy is answered {string}",
  async function (this: CopiesWorld, text: string) {
    (await this.run(this.other)).resolve(answered(text));
  },
);

When(
  "the routed request's first attempt is answered {string}",
  async function (this: CopiesWorld, text: string) {
    (await this.run(this.first)).resolve(answered(text));
  },
);

When(
  "the routed request's copy is refused as {string}",
  async function (this: CopiesWorld, kind: ProblemKind) {
    (await this.run(this.other)).reject(refusal(kind, 'not-run'));
  },
);

When(
  "the routed request's first attempt is refused as {string} after it ran",
  async function (this: CopiesWorld, kind: ProblemKind) {
    (await this.run(this.first)).reject(refusal(kind, 'ran'));
  },
);

When('the deadline of the routed request passes', function (this: CopiesWorld) {
  this.life.end('deadline');
});

When("the routed request's guard comes back as another incarnation", function (this: CopiesWorld) {
  const guard = this.guard(this.first);
  guard.lose();
  const { id } = guard.process;
  this.entry.upstreams.linkUp(new FakePeer({ id, incarnation: `${id}-life-2` }));
});

When(
  "the routed request's guard is linked again and says that it ended with {string}",
  function (this: CopiesWorld, text: string) {
    const guard = this.guard(this.first);
    guard.lose();
    const { id, incarnation } = guard.process;
    const again = new FakePeer({ id, incarnation });
    again.answers.set('request.settle', () => ({ state: 'ended', result: answered(text) }));
    this.entry.upstreams.linkUp(again);
  },
);

When(
  '{int} copies of {string} were answered second',
  function (this: CopiesWorld, count: number, kind: string) {
    for (let i = 0; i < count; i += 1) this.pool.copyEnded(this.kind(kind), { won: false });
  },
);

Then('the routed request has a copy at the other runner', async function (this: CopiesWorld) {
  await this.run(this.other);
});

Then('the routed request ends with {string}', async function (this: CopiesWorld, text: string) {
  assert.equal(Buffer.from((await this.answer).body).toString(), text);
});

Then(
  'the routed request fails with {string}, ran {string}',
  async function (this: CopiesWorld, kind: string, ran: string) {
    await assert.rejects(this.answer, ({ problem: cause }: ProblemError) => {
      assert.deepEqual([cause.kind, cause.ran], [kind, ran]);
      return true;
    });
  },
);

Then("the routed request's first guard is told to cancel it", async function (this: CopiesWorld) {
  await this.guard(this.first).nextCall('request.cancel');
});

Then('the routed request was sent once', function (this: CopiesWorld) {
  assert.equal(this.guard(this.other).count('request.run'), 0);
});

Then(
  'its first runner is noted as {string} after {int} ms',
  function (this: CopiesWorld, how: string, ms: number) {
    assert.deepEqual(this.pool.ends.get(this.first), { kind: 'match', how, ms });
  },
);

Then(
  'the copies of {string} are noted as won: {string}',
  function (this: CopiesWorld, kind: string, won: string) {
    const noted = this.pool.copies.map((copy) => `${copy.kind} ${copy.won}`);
    assert.deepEqual(noted, won === '' ? [] : [`${kind} ${won}`]);
  },
);

Then(
  'the router may copy {int} of {int} requests for {string}',
  function (this: CopiesWorld, allowed: number, count: number, kind: string) {
    for (let i = 0; i < count; i += 1) this.pool.firstAttempt('tuul');
    const answers = Array.from({ length: count }, () =>
      this.pool.mayHedge('tuul', this.kind(kind)),
    );
    assert.equal(answers.filter(Boolean).length, allowed);
  },
);

Then("the router's runners can carry {int} requests", function (this: CopiesWorld, count: number) {
  assert.equal(this.pool.capacity(), count);
});
