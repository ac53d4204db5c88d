import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { Bundle, BundleHead } from '@zincspan/core';
import { HeadWatch } from '../bundle/head-watch.js';
import {
  OperatorEntry,
  bundleWith,
  headFor,
  operatorKeys,
  signedHead,
  tokenFor,
} from './operator.support.js';

type Answer = Awaited<ReturnType<OperatorEntry['call']>>;

interface OperatorWorld {
  entry: OperatorEntry;
  other: OperatorEntry;
  answer: Answer;
  answers: Answer[];
  bundle: Bundle;
  seen: string[];
}

const ROLLOUTS = '/v1/operator/bundle/rollouts';
const PROPOSALS = '/v1/operator/bundle/proposals';
const PROCESSES = '/v1/operator/processes';

Given('an operator entry', function (this: OperatorWorld) {
  this.entry = new OperatorEntry();
});

Given('two operator entries over one table', function (this: OperatorWorld) {
  this.entry = new OperatorEntry();
  const { store } = this.entry.table;
  this.other = new OperatorEntry({ store, objectStore: this.entry.objectStore });
});

When('an operator proposes accounts {string}', async function (this: OperatorWorld, name: string) {
  const payload = { bundle: bundleWith(name), note: 'first' };
  this.answer = await this.entry.call('POST', PROPOSALS, { payload });
  assert.equal(this.answer.status, 200);
});

async function rollOut(
  entry: OperatorEntry,
  bundle: Bundle,
  version: number,
  key = operatorKeys.bat,
): Promise<Answer> {
  await entry.storeBody(bundle);
  return entry.call('POST', ROLLOUTS, { payload: { head: headFor(bundle, version) }, key });
}

When('two operators sign and roll out the proposal', async function (this: OperatorWorld) {
  const head = signedHead(this.answer.body.head as BundleHead);
  this.answer = await this.entry.call('POST', ROLLOUTS, { payload: { head } });
});

When('one operator signs and rolls out the proposal', async function (this: OperatorWorld) {
  const head = signedHead(this.answer.body.head as BundleHead, [operatorKeys.bat]);
  this.answer = await this.entry.call('POST', ROLLOUTS, { payload: { head } });
});

Then('the operator call answers {int}', function (this: OperatorWorld, status: number) {
  assert.equal(this.answer.status, status, JSON.stringify(this.answer.body));
});

Then(
  'the operator sees version {int} in force at {string} and {string} unreachable',
  async function (this: OperatorWorld, version: number, here: string, away: string) {
    const { body } = await this.entry.call('GET', '/v1/operator/bundle/status');
    const { processes, unreachable } = body as Record<string, Record<string, unknown>[]>;
    assert.deepEqual(
      processes?.map((one) => [one.process, one.version]),
      [[here, version]],
    );
    assert.deepEqual(
      unreachable?.map((one) => one.process),
      [away],
    );
  },
);

Then(
  'the operator finds version {int} by {string} in the history',
  async function (this: OperatorWorld, version: number, by: string) {
    const { body } = await this.entry.call('GET', '/v1/operator/bundle/history?limit=5');
    const [latest] = body.versions as { by: string; head: BundleHead }[];
    assert.deepEqual([latest?.by, latest?.head.version], [by, version]);
  },
);

When('both roll out a bundle as version 1 at once', async function (this: OperatorWorld) {
  this.answers = await Promise.all([
    rollOut(this.entry, bundleWith('tuul'), 1),
    rollOut(this.other, bundleWith('malabar'), 1, operatorKeys.anu),
  ]);
});

Then(
  'one rollout wins and the other is told by whom and what to do',
  function (this: OperatorWorld) {
    const won = this.answers.find(({ status }) => status === 200);
    const lost = this.answers.find(({ status }) => status === 409);
    const { row } = won?.body as { row: { by: string } };
    const { facts, remedy } = lost?.body as { facts: { by: string }; remedy: string };
    assert.equal(facts.by, row.by);
    assert.match(remedy, /bundle diff FILE --against 1/);
  },
);

When(
  /^a bundle is rolled out while the table (.*?) *$/,
  async function (this: OperatorWorld, fault: string) {
    this.bundle = bundleWith('tuul');
    const { faults } = this.entry.table;
    if (fault === 'loses the answer') faults.responsesToLose = 1;
    if (fault === 'loses the write') faults.writesToLose = 1;
    faults.down = fault === 'is down';
    this.answer = await rollOut(this.entry, this.bundle, 1);
    faults.down = false;
  },
);

Then('the rollout can be repeated and is in force', async function (this: OperatorWorld) {
  const again = await rollOut(this.entry, this.bundle, 1);
  assert.equal(again.status, 200);
  assert.equal(this.entry.bundles.keeper.version, 1);
});

When(
  'versions 1 and 2 are rolled out and then version 1 again',
  async function (this: OperatorWorld) {
    await rollOut(this.entry, bundleWith('tuul'), 1);
    await rollOut(this.entry, bundleWith('tuul', 'malabar'), 2);
    this.answer = await rollOut(this.entry, bundleWith('tuul'), 1);
  },
);

Then(
  'the operator is told {string} rolled out version {int}',
  function (this: OperatorWorld, by: string, version: number) {
    const { facts } = this.answer.body as { facts: Record<string, unknown> };
    assert.deepEqual([facts.by, facts.version], [by, version]);
  },
);

async function readTable({ ctx, table, objectStore, bundles }: OperatorEntry): Promise<void> {
  const { keeper, sync } = bundles;
  await new HeadWatch({ ctx, table, objectStore, keeper, sync }).read();
}

When(
  'the first rolls out a bundle and the second reads the table',
  async function (this: OperatorWorld) {
    await rollOut(this.entry, bundleWith('tuul'), 1);
    await readTable(this.other);
  },
);

When(
  'versions 1 and 2 are rolled out and the table loses its rows',
  async function (this: OperatorWorld) {
    await rollOut(this.entry, bundleWith('tuul'), 1);
    await rollOut(this.entry, bundleWith('tuul', 'malabar'), 2);
    const { table } = this.entry;
    const rows = await table.scan('bundle');
    await table.write(rows.map(({ key, version }) => ({ key, ifVersion: version, value: null })));
  },
);

When('the operator entry reads the table', function (this: OperatorWorld) {
  return readTable(this.entry);
});

Then(
  'the operator entry counts {string} and keeps version {int}',
  function (this: OperatorWorld, counter: string, version: number) {
    assert.equal(this.entry.ctx.metrics.counters.get(counter), 1);
    assert.equal(this.entry.bundles.keeper.version, version);
  },
);

When('a bundle is rolled out as version {int}', async function (this: OperatorWorld, v: number) {
  this.answer = await rollOut(this.entry, bundleWith('tuul'), v);
});

Then(
  'the second operator entry has version {int}',
  function (this: OperatorWorld, version: number) {
    assert.equal(this.other.bundles.keeper.version, version);
  },
);

const { bat, anu, stranger } = operatorKeys;
const WRONG_TOKENS: Record<string, () => Promise<string>> = {
  'a token for another path': () => tokenFor('GET', '/v1/operator/jobs', {}),
  'a token of a stranger': () => tokenFor('GET', PROCESSES, { key: stranger }),
  "another's name": () => tokenFor('GET', PROCESSES, { key: { ...bat, operator: anu.operator } }),
  'another audience': () => tokenFor('GET', PROCESSES, { claims: { aud: 'elsewhere' } }),
  'a token of an hour': () => tokenFor('GET', PROCESSES, { lifeSeconds: 3600 }),
  'no JWT at all': async () => 'secret',
  'a token used before': () => tokenFor('GET', PROCESSES, {}),
};

When(/^an operator calls with (.*?) *$/, async function (this: OperatorWorld, wrong: string) {
  const token = await WRONG_TOKENS[wrong]!();
  this.answer = await this.entry.call('GET', PROCESSES, { token });
  if (wrong !== 'a token used before') return;
  assert.equal(this.answer.status, 200);
  this.answer = await this.entry.call('GET', PROCESSES, { token });
});

When(
  'an operator proposes a guarantee of 8 accelerators without workers',
  async function (this: OperatorWorld) {
    const shape = { tasks: 1, acceleratorsPerTask: 8 };
    const guarantees = [{ name: 'g', account: 'tuul', shape }];
    const payload = { bundle: { ...bundleWith('tuul'), guarantees } };
    this.answer = await this.entry.call('POST', PROPOSALS, { payload });
  },
);

When(
  'an operator proposes {int} accounts with {int} tokens each',
  async function (this: OperatorWorld, count: number, tokens: number) {
    const digest = (n: number): string => n.toString(16).padStart(64, '0');
    const accounts = Array.from({ length: count }, (_, i) => ({
      name: `account-${i}`,
      tokens: Array.from({ length: tokens }, (_t, j) => ({
        id: `t${j}`,
        sha256: digest(i * tokens + j),
      })),
    }));
    const payload = { bundle: { accounts, kinds: [] } };
    this.answer = await this.entry.call('POST', PROPOSALS, { payload });
  },
);

Then('the operator is told {string}', function (this: OperatorWorld, text: string) {
  assert.ok(String(this.answer.body.detail).includes(text), String(this.answer.body.detail));
});

Given('an operator entry with 7 jobs of 2 accounts', async function (this: OperatorWorld) {
  this.entry = new OperatorEntry();
  const writes = Array.from({ length: 7 }, (_, i) => jobRow(i % 2 ? 'tuul' : 'malabar', `j${i}`));
  await this.entry.table.write(writes);
});

function jobRow(account: string, id: string) {
  const shape = { tasks: 1, acceleratorsPerTask: 1 };
  const value = {
    id,
    account,
    failureDomain: 'ernakulam',
    spec: { kind: 'render', shape },
    digest: 'd',
    state: 'queued',
    attempt: 0,
    term: 0,
    submittedAt: 1,
  };
  return { key: `jobs/${account}/${id}`, ifVersion: 0, value };
}

When('an operator lists jobs 3 at a time', async function (this: OperatorWorld) {
  this.seen = [];
  let after = '';
  do {
    const { body } = await this.entry.call('GET', `/v1/operator/jobs?limit=3${after}`);
    const { jobs, next } = body as { jobs: { id: string }[]; next?: string };
    this.seen.push(...jobs.map(({ id }) => id));
    after = next === undefined ? '' : `&after=${encodeURIComponent(next)}`;
  } while (after !== '');
});

Then('the operator has seen {int} jobs once each', function (this: OperatorWorld, count: number) {
  assert.equal(new Set(this.seen).size, count);
  assert.equal(this.seen.length, count);
});
