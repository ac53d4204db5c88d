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
  result: WriteResult | Problem;
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
  'a table client with room for {int} concurrent calls and {int} queued',
  function (this: TableWorld, concurrency: number, maxQueued: number) {
    newTable(this, { concurrency, maxQueued, totalMs: 400 });
  },
);

Given(
  'a table client with a call timeout of {int} ms',
  function (this: TableWorld, totalMs: number) {
    newTable(this, { totalMs });
  },
);

Given(
  'a table client whose circuit breaker opens after {int} failures',
  function (this: TableWorld, failureThreshold: number) {
    newTable(this, { failureThreshold, openMs: 600_000 });
  },
);

Given(
  'a table client with room for {int} concurrent calls whose circuit breaker opens after {int} failures',
  function (this: TableWorld, concurrency: number, failureThreshold: number) {
    newTable(this, { concurrency, failureThreshold, totalMs: 1500 });
  },
);

Given(
  /^the scripted store handles (writes|reads) with "(.*)"$/,
  function (this: TableWorld, operation: 'writes' | 'reads', faults: string) {
    this.store![operation] = faults.split(',') as ScriptAction[];
  },
);

Given(
  'the scripted store handles outcome queries with {string}',
  function (this: TableWorld, fault: ScriptAction) {
    this.store!.statusQuery = fault;
  },
);

Given('the scripted store is closed', function (this: TableWorld) {
  this.store!.close();
});

When('the table client writes a row', async function (this: TableWorld) {
  const writes = [{ key: KEY, ifVersion: 0, value: { state: 'queued' } }];
  this.result = await this.tables![0]!.write(writes).catch(toProblem);
});

When('the table client writes the same row twice at once', async function (this: TableWorld) {
  const write = { key: KEY, ifVersion: 0, value: 1 };
  this.result = await this.tables![0]!.write([write, write]).catch(toProblem);
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

When('the held writes reach the scripted store', function (this: TableWorld) {
  this.store!.applyHeldWrites();
});

Then(
  "the result of the table client's write is {string}",
  function (this: TableWorld, expected: string) {
    const { result } = this;
    if ('outcome' in result) assert.equal(result.outcome, expected);
    else assert.equal(result.kind === 'store-unavailable' ? result.ran : result.kind, expected);
  },
);

Then("the table client's read finds version {int}", function (this: TableWorld, version: number) {
  assert.deepEqual(this.read, { key: KEY, version, value: null });
});

Then(
  'the scripted store has the row at version {int}',
  function (this: TableWorld, version: number) {
    assert.equal(this.store!.rows.get(KEY).version, version);
  },
);

Then('every attempt of the table client had the same write id', function (this: TableWorld) {
  assert.equal(new Set(this.store!.writeIds).size, 1);
});

Then("the table client's error has a retry delay", function (this: TableWorld) {
  assert.ok('retryAfterMs' in this.result && this.result.retryAfterMs! > 0);
});

Then('the scripted store received {int} calls', function (this: TableWorld, calls: number) {
  assert.equal(this.store!.requestCount, calls);
});

Then(
  'the table client rejects the last read before the others end',
  async function (this: TableWorld) {
    const first = await Promise.race(this.reads.map(async (read, i) => read.then(() => i)));
    assert.equal(first, this.reads.length - 1);
  },
);

Then(
  'the table client rejects the second write first because its last calls failed',
  async function (this: TableWorld) {
    const first = (await Promise.race(this.writes)) as Problem;
    assert.equal(first, await this.writes[1]);
    assert.match(first.detail, /its last calls failed/);
  },
);

Then(
  'all reads of the table client fail with {string}',
  async function (this: TableWorld, kind: string) {
    const failures = await Promise.all(this.reads);
    failures.forEach((failure) => assert.equal((failure as Problem).kind, kind));
  },
);
