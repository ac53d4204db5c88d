import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { toProblem, type Problem, type Row, type WriteResult } from '@zincspan/core';
import { HttpTable } from './http-table.js';
import { ScriptedStore, type ScriptAction } from './scripted-store.support.js';
import type { StoreOptions } from './store-options.js';

interface TableWorld {
  store?: ScriptedStore;
  storeAddress: string;
  tables?: HttpTable[];
  written: WriteResult | Problem;
  read: Row | Problem;
  reads: Promise<Row | Problem>[];
  writes: Promise<WriteResult | Problem>[];
}

const KEY = 'jobs/tuul/a b%';

function newTable(world: TableWorld, options: Partial<StoreOptions> = {}): void {
  const table = new HttpTable({
    address: world.storeAddress,
    timeoutMs: 400,
    totalMs: 10_000,
    backoffMs: 1,
    random: () => 0,
    ...options,
  });
  world.tables!.unshift(table);
}

After({ tags: '@table-client' }, function (this: TableWorld) {
  this.tables?.forEach((table) => table.close());
  this.store?.close();
});

Given('a table client of a scripted store', async function (this: TableWorld) {
  this.store = new ScriptedStore();
  this.storeAddress = await this.store.start();
  this.tables = [];
  newTable(this);
});

Given(
  'a table client with room for {int} calls and {int} waiting',
  function (this: TableWorld, concurrency: number, waiting: number) {
    newTable(this, { concurrency, maxQueued: waiting, totalMs: 400 });
  },
);

Given('a table client that gives up after {int} ms', function (this: TableWorld, totalMs: number) {
  newTable(this, { totalMs });
});

Given(
  'a table client that leaves a store alone after {int} failures',
  function (this: TableWorld, failuresToOpen: number) {
    newTable(this, { failureThreshold: failuresToOpen, openMs: 600_000 });
  },
);

Given(
  'a table client with room for {int} calls that leaves a store alone after {int} failures',
  function (this: TableWorld, concurrency: number, failuresToOpen: number) {
    newTable(this, { concurrency, failureThreshold: failuresToOpen, totalMs: 1500 });
  },
);

Given(
  /^the scripted store meets (writes|reads) with "(.*)"$/,
  function (this: TableWorld, sort: 'writes' | 'reads', faults: string) {
    this.store![sort] = faults.split(',') as ScriptAction[];
  },
);

Given(
  'the scripted store meets settling with {string}',
  function (this: TableWorld, fault: ScriptAction) {
    this.store!.statusQuery = fault;
  },
);

Given('the scripted store is gone', function (this: TableWorld) {
  this.store!.close();
});

When('the table client writes a row', async function (this: TableWorld) {
  const writes = [{ key: KEY, ifVersion: 0, value: { state: 'queued' } }];
  this.written = await this.tables![0]!.write(writes).catch(toProblem);
});

When('the table client writes the same row twice at once', async function (this: TableWorld) {
  const write = { key: KEY, ifVersion: 0, value: 1 };
  this.written = await this.tables![0]!.write([write, write]).catch(toProblem);
});

When('the table client reads a row', async function (this: TableWorld) {
  this.read = await this.tables![0]!.get(KEY).catch(toProblem);
});

When('the table client starts {int} reads', function (this: TableWorld, count: number) {
  this.reads = Array.from({ length: count }, async () =>
    this.tables![0]!.get(KEY).catch(toProblem),
  );
});

When('the table client starts {int} writes', function (this: TableWorld, count: number) {
  this.writes = Array.from({ length: count }, async (_, i) =>
    this.tables![0]!.write([{ key: `${KEY}/${i}`, ifVersion: 0, value: i }]).catch(toProblem),
  );
});

When("the scripted store's held writes arrive", function (this: TableWorld) {
  this.store!.applyHeldWrites();
});

Then("the table client's write ends as {string}", function (this: TableWorld, end: string) {
  const { written } = this;
  if ('outcome' in written) assert.equal(written.outcome, end);
  else assert.equal(written.kind === 'store-unavailable' ? written.ran : written.kind, end);
});

Then("the table client's read finds version {int}", function (this: TableWorld, version: number) {
  assert.deepEqual(this.read, { key: KEY, version, value: null });
});

Then(
  'the scripted store has the row at version {int}',
  function (this: TableWorld, version: number) {
    assert.equal(this.store!.rows.get(KEY).version, version);
  },
);

Then('every attempt of the table client bore the same write id', function (this: TableWorld) {
  assert.equal(new Set(this.store!.writeIds).size, 1);
});

Then('the table client tells when to come back', function (this: TableWorld) {
  assert.ok('retryAfterMs' in this.written && this.written.retryAfterMs! > 0);
});

Then('the scripted store got {int} calls', function (this: TableWorld, calls: number) {
  assert.equal(this.store!.requestCount, calls);
});

Then(
  'the table client refuses one of them before the others end',
  async function (this: TableWorld) {
    const first = await Promise.race(this.reads.map(async (read, i) => read.then(() => i)));
    assert.equal(first, this.reads.length - 1);
  },
);

Then(
  'the table client ends the second first, as its last calls failed',
  async function (this: TableWorld) {
    const first = (await Promise.race(this.writes)) as Problem;
    assert.equal(first, await this.writes[1]);
    assert.match(first.detail, /its last calls failed/);
  },
);

Then(
  "the table client's reads all end as {string}",
  async function (this: TableWorld, kind: string) {
    const ends = await Promise.all(this.reads);
    ends.forEach((end) => assert.equal((end as Problem).kind, kind));
  },
);
