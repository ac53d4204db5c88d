import assert from 'node:assert/strict';
import { createSocket, type Socket } from 'node:dgram';
import { once } from 'node:events';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { entrySettingsSchema, type Settings } from '@zincspan/core';
import { StatsdMetrics } from './statsd-metrics.js';

interface World {
  collector: Socket;
  datagrams: string[];
  metrics: StatsdMetrics;
}

function settingsWith(collector: string): Settings {
  return entrySettingsSchema.parse({
    role: 'entry',
    id: 'entry-a',
    failureDomain: 'hall',
    linkKeys: ['k'.repeat(32)],
    operators: ['ana', 'bat'].map((name) => ({ name, publicKey: 'A'.repeat(43) })),
    listenHttp: '127.0.0.1:0',
    listenLink: '127.0.0.1:0',
    failureDomains: ['hall'],
    table: { address: '127.0.0.1:1' },
    objectStore: { address: '127.0.0.1:1' },
    metrics: { address: collector },
  });
}

/** Figures so far, one a line. */
function figures({ datagrams }: World): string[] {
  return datagrams.flatMap((text) => text.split('\n')).filter((line) => line !== '');
}

async function untilFigures(world: World, count: number): Promise<void> {
  while (figures(world).length < count) await once(world.collector, 'message');
}

After({ tags: '@statsd-metrics' }, function (this: World) {
  this.collector.close();
});

Given('a collector of figures and metrics that send to it', async function (this: World) {
  this.datagrams = [];
  this.collector = createSocket('udp4');
  this.collector.on('message', (bytes) => this.datagrams.push(bytes.toString()));
  this.collector.bind(0, '127.0.0.1');
  await once(this.collector, 'listening');
  this.metrics = new StatsdMetrics(settingsWith(`127.0.0.1:${this.collector.address().port}`));
});

When(
  'the metrics count {string} {int} times and close',
  function (this: World, name: string, times: number) {
    for (let i = 0; i < times; i += 1) this.metrics.count(name);
    this.metrics.close();
  },
);

When(
  'the metrics time {string} at {int} ms and close',
  function (this: World, name: string, ms: number) {
    this.metrics.timing(name, ms);
    this.metrics.close();
  },
);

Then(
  'the collector gets {int} figures in at most {int} datagrams',
  async function (this: World, count: number, most: number) {
    await untilFigures(this, count);
    assert.equal(figures(this).length, count);
    assert.ok(this.datagrams.length <= most, `${this.datagrams.length}`);
  },
);

Then('the collector gets only {string}', async function (this: World, figure: string) {
  await untilFigures(this, 1);
  const named = figures(this).map((line) => line.split('|#')[0]);
  assert.deepEqual(named, [figure]);
});

Then(
  'the metrics keep {int} of {string} and {int} of {string}',
  function (this: World, a: number, nameA: string, b: number, nameB: string) {
    const { counters } = this.metrics;
    assert.deepEqual([counters.get(nameA), counters.get(nameB)], [a, b]);
  },
);
