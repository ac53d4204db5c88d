/** Steps about requests in progress: sent without waiting, awaited at their runner, and held against ledgers. */
import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import type { RunnerLedger } from '@zincspan/stand-ins';
import { auditRequests } from '../audit/audit-requests.js';
import { problemOf, type SentRequest } from '../audit/request-log.js';
import { readInUse, readRunnerLedger, setFaults } from '../audit/stand-in-calls.js';
import type { UpstreamVm } from '../deployment/machines.js';
import type { E2eWorld } from './e2e-world.support.js';
import { stateOf } from './faulty-world.support.js';
import { until } from './until.js';

/** Kinds of the scenarios' bundle that may run twice. */
const IDEMPOTENT = new Set(['match']);

/** Violations told at most. */
const SHOWN = 5;

/** A request of a scenario. */
export interface NamedRequest {
  account?: string;
  kind: string;
  name: string;
  entry: string;
  serviceMs: number;
  key?: string;
  deadlineMs?: number;
  padding?: string;
}

/** Sends a request and remembers it by its name. */
export function sendNamed(
  world: E2eWorld,
  { account = 'crews', entry, kind, name, ...more }: NamedRequest,
): Promise<SentRequest> {
  const { requests, named } = stateOf(world);
  const sent = requests.send({
    ...more,
    name,
    kind,
    caller: world.caller(account),
    url: world.url(entry),
    idempotent: IDEMPOTENT.has(kind),
  });
  named.set(name, sent);
  return sent;
}

/** Runners of the deployment. */
export function runnersOf({ deployment }: E2eWorld): UpstreamVm[] {
  return deployment.layout.upstreams.filter(({ type }) => type === 'runner');
}

/** Ledgers of all runners. */
export function ledgersOf(world: E2eWorld): Promise<RunnerLedger[]> {
  return Promise.all(runnersOf(world).map(({ vm }) => readRunnerLedger(vm.upstream)));
}

/** The runner that has run the named request; undefined while none has. */
async function findRunner(world: E2eWorld, name: string): Promise<UpstreamVm | undefined> {
  const request = stateOf(world).requests.sent.find((sent) => sent.name === name);
  const ledgers = await ledgersOf(world);
  return runnersOf(world).find((_, n) =>
    ledgers[n]?.entries.some(({ bodyDigest }) => bodyDigest === request?.digest),
  );
}

/** The runner of the named request, awaited. */
export function runnerOf(world: E2eWorld, name: string): Promise<UpstreamVm> {
  return until(`"${name}" to run`, () => findRunner(world, name));
}

async function endOf(world: E2eWorld, name: string): Promise<SentRequest> {
  const sent = stateOf(world).named.get(name);
  assert.ok(sent, `No request "${name}" was sent.`);
  return sent;
}

/** Sends a request and resolves once a runner has started it. */
async function sendUntilRunning(world: E2eWorld, request: NamedRequest): Promise<void> {
  void sendNamed(world, request);
  await runnerOf(world, request.name);
}

When(
  'a {word} named {string} at {word} is in progress for {int} ms',
  async function (this: E2eWorld, kind: string, name: string, entry: string, serviceMs: number) {
    await sendUntilRunning(this, { kind, name, entry, serviceMs });
  },
);

When(
  'a {word} named {string} with key {string} at {word} is in progress for {int} ms',
  async function (
    this: E2eWorld,
    kind: string,
    name: string,
    key: string,
    entry: string,
    serviceMs: number,
  ) {
    await sendUntilRunning(this, { kind, name, key, entry, serviceMs });
  },
);

When(
  'the {word} named {string} with key {string} is repeated at {word} for {int} ms',
  async function (
    this: E2eWorld,
    kind: string,
    name: string,
    key: string,
    entry: string,
    serviceMs: number,
  ) {
    await until('an answer that is not of a store that is away', async () => {
      const sent = await sendNamed(this, { kind, name, key, entry, serviceMs });
      return problemOf(sent)?.kind !== 'store-unavailable';
    });
  },
);

When(
  'a {word} named {string} at {word} is sent for {int} ms',
  function (this: E2eWorld, kind: string, name: string, entry: string, serviceMs: number) {
    void sendNamed(this, { kind, name, entry, serviceMs });
  },
);

When(
  'a {word} named {string} at {word} has {int} ms to its deadline',
  function (this: E2eWorld, kind: string, name: string, entry: string, deadlineMs: number) {
    void sendNamed(this, { kind, name, entry, serviceMs: 10, deadlineMs });
  },
);

When('every runner {word}', async function (this: E2eWorld, fault: string) {
  const faults = { freezes: { freeze: true }, 'cuts-answers': { cutAnswer: true }, heals: {} }[
    fault
  ];
  assert.ok(faults, `No fault "${fault}".`);
  await Promise.all(runnersOf(this).map(({ vm }) => setFaults(vm.upstream, faults)));
});

When('{word} cuts its answers', async function (this: E2eWorld, runner: string) {
  const found = runnersOf(this).find(({ id }) => id === runner);
  await setFaults(found!.vm.upstream, { cutAnswer: true });
});

Then('{string} ends whole', async function (this: E2eWorld, name: string) {
  const { answer, cut } = await endOf(this, name);
  assert.equal(answer?.status, 200, cut?.message ?? JSON.stringify(answer?.body));
  assert.equal((answer.body as { echo: { name: string } }).echo.name, name);
});

Then('{string} ends whole or not run', async function (this: E2eWorld, name: string) {
  const sent = await endOf(this, name);
  if (sent.answer?.status !== 200) assert.equal(problemOf(sent)?.ran, 'not-run', describe(sent));
});

Then(
  '{string} ends as {word} with ran {word}',
  async function (this: E2eWorld, name: string, kind: string, ran: string) {
    const sent = await endOf(this, name);
    const told = problemOf(sent);
    const found = [told?.kind, told?.ran];
    assert.deepEqual(found, [kind, ran], sent.cut?.message ?? JSON.stringify(sent.answer?.body));
  },
);

Then('{string} is cut', async function (this: E2eWorld, name: string) {
  const { answer } = await endOf(this, name);
  assert.equal(answer, undefined);
});

Then('{string} ran {int} time(s)', async function (this: E2eWorld, name: string, times: number) {
  const { digest } = await endOf(this, name);
  const entries = (await ledgersOf(this)).flatMap((ledger) => ledger.entries);
  const counts = entries.filter(({ bodyDigest }) => bodyDigest === digest);
  assert.equal(
    counts.reduce((sum, { count }) => sum + count, 0),
    times,
  );
});

Then('every answer is true to the ledgers', async function (this: E2eWorld) {
  const { requests } = stateOf(this);
  await requests.whenEnded();
  await until('idle runners', async () => {
    const inUse = await Promise.all(runnersOf(this).map(({ vm }) => readInUse(vm.upstream)));
    return inUse.every((count) => count === 0);
  });
  const violations = auditRequests(requests.sent, await ledgersOf(this));
  assert.deepEqual(violations.slice(0, SHOWN), []);
  assert.ok(requests.sent.length > 0);
});

Then('every answer is whole', async function (this: E2eWorld) {
  const { requests } = stateOf(this);
  await requests.whenEnded();
  const others = requests.sent.filter(({ answer }) => answer?.status !== 200);
  assert.deepEqual(others.map(describe).slice(0, SHOWN), []);
});

Then('no answer is short', async function (this: E2eWorld) {
  const { requests } = stateOf(this);
  await requests.whenEnded();
  const cut = requests.sent.filter(({ answer }) => answer === undefined);
  assert.deepEqual(cut.map(describe).slice(0, SHOWN), []);
});

Then('some requests were answered whole', function (this: E2eWorld) {
  const { sent } = stateOf(this).requests;
  const isWhole = ({ answer }: SentRequest): boolean => answer?.status === 200;
  assert.ok(sent.some(isWhole), `None of ${sent.length}: ${summaryOf(sent)}`);
});

/** How many requests came to what, and when the first and the last of them ended. */
function summaryOf(sent: readonly SentRequest[]): string {
  const startedAt = Math.min(...sent.map(({ sentAt }) => sentAt));
  const ends = new Map<string, number[]>();
  sent.forEach((one) => {
    const told = problemOf(one);
    const how = one.cut?.message ?? (told ? `${told.kind}: ${told.detail}` : 'open');
    ends.set(how, [...(ends.get(how) ?? []), (one.endedAt ?? Infinity) - startedAt]);
  });
  return [...ends]
    .map(([how, at]) => `${at.length} ${how} (${Math.min(...at)} to ${Math.max(...at)} ms)`)
    .join('; ');
}

/** A request in a line. */
export function describe(sent: SentRequest): string {
  const { name, answer, cut, url } = sent;
  const told = problemOf(sent);
  const how = told ? `${told.kind}, ${told.ran}: ${told.detail}` : `status ${answer?.status}`;
  return `${name} at ${url}: ${cut?.message ?? how}`;
}
