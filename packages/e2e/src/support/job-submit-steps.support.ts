/** Steps that submit jobs. A table of jobs has a row each, parameters of its tasks included. */
import { Then, When, type DataTable } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import type { E2eWorld } from './e2e-world.support.js';
import { entryUrl, submit, untilFinal } from './job-calls.support.js';
import { eventually } from './processes.support.js';

const ENTRY = '(the owner|the old owner|the other entry|entry-\\d+)';

When(
  new RegExp(`^(\\w+) submits to ${ENTRY}:$`),
  async function (this: E2eWorld, account: string, entry: string, table: DataTable) {
    const url = await entryUrl(this, entry);
    for (const line of table.hashes()) {
      const answer = await submit(this, { account, url, line });
      assert.equal(answer.status, 202, JSON.stringify(answer.body));
    }
  },
);

When(
  new RegExp(`^(\\w+) tries to submit to ${ENTRY}:$`),
  async function (this: E2eWorld, account: string, entry: string, table: DataTable) {
    const url = await entryUrl(this, entry);
    for (const line of table.hashes()) await submit(this, { account, url, line });
  },
);

When(
  new RegExp(`^(\\w+) submits (\\d+) jobs like this to ${ENTRY}:$`),
  async function (this: E2eWorld, account: string, count: string, entry: string, table: DataTable) {
    const [line] = table.hashes();
    const url = await entryUrl(this, entry);
    const names = Array.from({ length: Number(count) }, (_, n) => `${line?.name}-${n + 1}`);
    const answers = await Promise.all(
      names.map((name) => submit(this, { account, url, line: { ...line, name } })),
    );
    answers.forEach(({ status, body }) => assert.equal(status, 202, JSON.stringify(body)));
  },
);

When(
  new RegExp(`^(\\w+) submits to ${ENTRY} until it is refused as "(\\S+)":$`),
  async function (this: E2eWorld, account: string, entry: string, kind: string, table: DataTable) {
    const [line] = table.hashes();
    const url = await entryUrl(this, entry);
    let tries = 0;
    await eventually(async () => {
      tries += 1;
      const name = `${line?.name}-${tries}`;
      const { status, body } = await submit(this, { account, url, line: { ...line, name } });
      this.answers.set('refusal', { status, headers: {}, body });
      return (body as { kind?: string }).kind === kind;
    });
  },
);

When(
  new RegExp(`^(\\w+) submits to ${ENTRY} until it is accepted:$`),
  async function (this: E2eWorld, account: string, entry: string, table: DataTable) {
    const [line = {}] = table.hashes();
    const url = await entryUrl(this, entry);
    await eventually(async () => {
      const { status, body } = await submit(this, { account, url, line });
      if (status === 202) return true;
      const { ran, retryAfterMs = 0 } = body as { ran: string; retryAfterMs?: number };
      assert.equal(ran, 'not-run', JSON.stringify(body));
      await pause(retryAfterMs);
      return false;
    });
  },
);

Then(
  'the refusal names {string} and {string}',
  function (this: E2eWorld, one: string, two: string) {
    const { status, body } = this.answer('refusal');
    const { detail, ran } = body as { detail: string; ran: string };
    assert.ok(status >= 400 && status < 500, String(status));
    assert.equal(ran, 'not-run');
    assert.ok(detail.includes(one) && detail.includes(two), detail);
  },
);

When(
  new RegExp(`^(\\w+) submits (\\d+) jobs like this to ${ENTRY}, come what may:$`),
  async function (this: E2eWorld, account: string, count: string, entry: string, table: DataTable) {
    const [line] = table.hashes();
    const url = await entryUrl(this, entry);
    const names = Array.from({ length: Number(count) }, (_, n) => `${line?.name}-${n + 1}`);
    await Promise.all(names.map((name) => submit(this, { account, url, line: { ...line, name } })));
  },
);

Then('{string} and {string} are one job', function (this: E2eWorld, one: string, two: string) {
  assert.equal(this.id(one), this.id(two));
});

Then(
  '{string} is refused as {string}, {string}',
  function (this: E2eWorld, name: string, kind: string, ran: string) {
    const body = this.answer(name).body as { kind: string; ran: string };
    assert.deepEqual([body.kind, body.ran], [kind, ran], JSON.stringify(body));
  },
);

When(
  new RegExp(`^(\\w+) submits (\\d+) times (\\d+) jobs like this to ${ENTRY}:$`),
  async function (
    this: E2eWorld,
    account: string,
    times: string,
    count: string,
    entry: string,
    table: DataTable,
  ) {
    const [line] = table.hashes();
    const url = await entryUrl(this, entry);
    for (let time = 1; time <= Number(times); time += 1) {
      const names = Array.from(
        { length: Number(count) },
        (_, n) => `${line?.name}-${time}-${n + 1}`,
      );
      await Promise.all(
        names.map(async (name) => {
          await submit(this, { account, url, line: { ...line, name } });
          await untilFinal(this, name);
        }),
      );
    }
  },
);
