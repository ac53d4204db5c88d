/** Steps about loads: many requests at once, or a stream that goes on while something else happens. */
import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { problemOf, type SentRequest } from '../audit/request-log.js';
import { readRunnerLedger, withdraw } from '../audit/stand-in-calls.js';
import { RequestLoop } from '../load/request-loop.js';
import type { E2eWorld } from './e2e-world.support.js';
import { stateOf } from './faulty-world.support.js';
import { describe, ledgersOf, runnersOf, sendNamed } from './request-steps.support.js';
import { until } from './until.js';

const KINDS = ['match', 'booking'];
const SHOWN = 5;
const SLOTS = 8;
const LONG_MS = 400;

const loops = new WeakMap<E2eWorld, RequestLoop[]>();

/** What was sent under a common deadline. */
const lastBatch = new WeakMap<E2eWorld, SentRequest[]>();

let batches = 0;

/** Sends many at once, spread over the entries, with service times that make answers overtake each other. */
export function sendBatch(
  world: E2eWorld,
  {
    count,
    entries,
    serviceMs,
    deadlineMs,
  }: {
    count: number;
    entries: string[];
    serviceMs: (n: number) => number;
    deadlineMs?: number;
  },
): Promise<SentRequest>[] {
  batches += 1;
  return Array.from({ length: count }, (_, n) =>
    sendNamed(world, {
      account: n % 2 === 0 ? 'crews' : 'weddings',
      kind: KINDS[Math.floor(n / 2) % KINDS.length]!,
      name: `batch-${batches}-${n}`,
      entry: entries[n % entries.length]!,
      serviceMs: serviceMs(n),
      padding: 'x'.repeat((n * 37) % 4000),
      ...(deadlineMs === undefined ? {} : { deadlineMs }),
    }),
  );
}

function entriesOf({ deployment }: E2eWorld): string[] {
  return deployment.layout.entries.map(({ id }) => id);
}

When(
  '{int} requests at once are sent over all entries, the later the shorter',
  async function (this: E2eWorld, count: number) {
    const serviceMs = (n: number): number => Math.max(1, LONG_MS - n * 4);
    await Promise.all(sendBatch(this, { count, entries: entriesOf(this), serviceMs }));
  },
);

When(
  '{int} requests at once are started over all entries',
  function (this: E2eWorld, count: number) {
    sendBatch(this, { count, entries: entriesOf(this), serviceMs: () => 20 });
  },
);

When(
  '{int} requests with {int} ms to their deadline are sent over all entries',
  async function (this: E2eWorld, count: number, deadlineMs: number) {
    const entries = entriesOf(this);
    const batch = sendBatch(this, { count, entries, serviceMs: () => 10, deadlineMs });
    lastBatch.set(this, await Promise.all(batch));
  },
);

Then('overload was told at once, with Retry-After and not run', function (this: E2eWorld) {
  const sent = lastBatch.get(this) ?? [];
  const ofKind = (...kinds: string[]): SentRequest[] =>
    sent.filter((one) => kinds.includes(problemOf(one)?.kind ?? ''));
  const refused = ofKind('overloaded', 'quota-exceeded');
  const waited = ofKind('deadline-passed');
  assert.ok(refused.length > 0 && waited.length > 0, 'Not both refused and accepted ones.');
  refused.forEach((one) => {
    assert.equal(problemOf(one)?.ran, 'not-run', describe(one));
    assert.ok(Number(one.answer?.headers['retry-after']) >= 1, describe(one));
  });
  const firstEnd = Math.min(...waited.map(({ endedAt = 0 }) => endedAt));
  const late = refused.filter(({ endedAt = 0 }) => endedAt > firstEnd);
  assert.deepEqual(late.map(describe).slice(0, SHOWN), [], 'Told only after deadlines had passed.');
});

Then('every runner had all its slots in use', async function (this: E2eWorld) {
  const ledgers = await ledgersOf(this);
  assert.deepEqual(
    ledgers.map(({ maxInUse }) => maxInUse),
    ledgers.map(() => SLOTS),
  );
});

When('requests go on at {word}', function (this: E2eWorld, entry: string) {
  const loop = new RequestLoop({
    send: (name, kind) => sendNamed(this, { kind, name: `${entry}-${name}`, entry, serviceMs: 15 }),
  });
  loop.start();
  loops.set(this, [...(loops.get(this) ?? []), loop]);
});

When('the requests that go on have ended', async function (this: E2eWorld) {
  await Promise.all((loops.get(this) ?? []).map((loop) => loop.stop()));
  loops.delete(this);
});

When('{int} more requests of each have been answered', async function (this: E2eWorld, count) {
  await Promise.all((loops.get(this) ?? []).map((loop) => loop.whenAnswered(Number(count))));
});

When('{word} withdraws from its guard', async function (this: E2eWorld, runner: string) {
  const found = runnersOf(this).find(({ id }) => id === runner);
  await withdraw(found!.vm.upstream);
});

/** What a runner has started by now, once requests in progress are through. */
const starts = new WeakMap<E2eWorld, Map<string, number>>();

async function countStarts(world: E2eWorld, runner: string): Promise<number> {
  const { vm } = runnersOf(world).find(({ id }) => id === runner)!;
  const { entries } = await readRunnerLedger(vm.upstream);
  return entries.reduce((sum, { count }) => sum + count, 0);
}

When('what {word} has started is noted', async function (this: E2eWorld, runner: string) {
  // What the entries sent before is through then; what they send from now on is sent after.
  await stateOf(this).requests.whenPresentEnded();
  const count = await countStarts(this, runner);
  assert.ok(count > 0, `${runner} never had work.`);
  starts.set(this, new Map([...(starts.get(this) ?? []), [runner, count]]));
});

Then('{word} has started nothing since', async function (this: E2eWorld, runner: string) {
  assert.equal(await countStarts(this, runner), starts.get(this)?.get(runner));
});

When('{word} has had work', async function (this: E2eWorld, runner: string) {
  await until(`work at ${runner}`, async () => (await countStarts(this, runner)) > 0);
});
