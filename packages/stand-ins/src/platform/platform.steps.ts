import assert from 'node:assert/strict';
import { randomBytes } from 'node:crypto';
import { Given, Then, When } from '@cucumber/cucumber';
import { toProblem, type Problem, type WriteResult } from '@zincspan/core';
import { HttpObjectStore, HttpTable } from '@zincspan/platform';
import { LossyProxy } from '../proxy/lossy-proxy.js';
import type { Silence } from '../proxy/proxy-faults.js';
import { call, closeAfter, type StandInWorld } from '../server/stand-in.support.js';
import { startPlatform, type PlatformStandIn } from './platform.js';

interface PlatformWorld extends StandInWorld {
  platform: PlatformStandIn;
  proxy: LossyProxy;
  table: HttpTable;
  objects: HttpObjectStore;
  writes: (WriteResult | Problem)[];
  object: Buffer;
}

const KEY = 'jobs/tuul/a b%';

function newTable(world: PlatformWorld, totalMs: number): HttpTable {
  const { address } = world.proxy;
  const table = new HttpTable({ address, timeoutMs: 400, totalMs, random: () => 0 });
  closeAfter(world, () => table.close());
  return table;
}

async function write(world: PlatformWorld, key: string): Promise<WriteResult | Problem> {
  return world.table.write([{ key, ifVersion: 0, value: { key } }]).catch(toProblem);
}

function endOf(written: WriteResult | Problem): string {
  return 'outcome' in written ? written.outcome : written.ran;
}

Given(
  'a stand-in platform with a table client through a proxy',
  async function (this: PlatformWorld) {
    this.platform = await startPlatform();
    closeAfter(this, () => this.platform.close());
    this.proxy = new LossyProxy({ to: this.platform.address });
    await this.proxy.start();
    closeAfter(this, () => this.proxy.close());
    this.table = newTable(this, 10_000);
    this.objects = new HttpObjectStore({ address: this.proxy.address });
    closeAfter(this, () => this.objects.close());
  },
);

Given(
  'the stand-in platform is told {string}',
  async function (this: PlatformWorld, faults: string) {
    const url = `http://${this.platform.address}/faults`;
    const { status } = await call('PUT', url, JSON.parse(faults) as object);
    assert.equal(status, 200);
  },
);

Given(
  "the stand-in platform's client gives up after {int} ms",
  function (this: PlatformWorld, totalMs: number) {
    this.table = newTable(this, totalMs);
  },
);

Given("the stand-in platform's client has read a row", async function (this: PlatformWorld) {
  await this.table.get(KEY);
});

When("the stand-in platform's client writes a row", async function (this: PlatformWorld) {
  this.writes = [await write(this, KEY)];
});

When(
  "the stand-in platform's client writes {int} rows at once",
  async function (this: PlatformWorld, count: number) {
    const keys = Array.from({ length: count }, (_, i) => `${KEY}/${i}`);
    this.writes = await Promise.all(keys.map(async (key) => write(this, key)));
  },
);

When(
  'the proxy silences {string} ways of the connections open now',
  function (this: PlatformWorld, directions: Silence) {
    assert.ok(this.proxy.open > 0);
    this.proxy.silenceOpen(directions);
  },
);

When(
  "the stand-in platform's client puts the object {string}",
  async function (this: PlatformWorld, key: string) {
    this.object = randomBytes(100_000);
    await this.objects.put(key, this.object);
  },
);

Then(
  'that write to the stand-in platform ends as {string}',
  function (this: PlatformWorld, end: string) {
    assert.deepEqual(this.writes.map(endOf), [end]);
  },
);

Then('the stand-in platform has {int} rows', async function (this: PlatformWorld, rows: number) {
  const { body } = await call<{ rows: number }>('GET', `http://${this.platform.address}/stats`);
  assert.equal(body.rows, rows);
});

Then(
  'the stand-in platform has a row for each write that ended as written',
  function (this: PlatformWorld) {
    const written = this.writes.filter((result) => endOf(result) === 'written');
    assert.equal(this.platform.rows.size, written.length);
  },
);

Then('the stand-in platform refused some of them', function (this: PlatformWorld) {
  assert.ok(this.writes.some((result) => endOf(result) === 'not-run'));
});

Then(
  "the stand-in platform's client reads version {int}",
  async function (this: PlatformWorld, version: number) {
    assert.equal((await this.table.get(KEY)).version, version);
  },
);

Then(
  "the stand-in platform's client gets the object {string} whole",
  async function (this: PlatformWorld, key: string) {
    assert.deepEqual(await this.objects.get(key), this.object);
  },
);

Then(
  "the stand-in platform's client finds no object {string}",
  async function (this: PlatformWorld, key: string) {
    assert.equal(await this.objects.get(key), undefined);
  },
);

Then(
  'the stand-in platform refuses the faults {string}',
  async function (this: PlatformWorld, faults: string) {
    const url = `http://${this.platform.address}/faults`;
    assert.equal((await call('PUT', url, JSON.parse(faults) as object)).status, 400);
  },
);
