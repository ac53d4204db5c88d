/** Steps that make faults on guards, entries and their links. */
import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import type { Silence } from '@zincspan/stand-ins';
import { upstreamsAt, versionsAt } from '../audit/entry-view.js';
import type { VmProcess } from '../deployment/vm-process.js';
import type { E2eWorld } from './e2e-world.support.js';
import { stateOf, untilLinked } from './faulty-world.support.js';
import { runnerOf } from './request-steps.support.js';
import { until } from './until.js';

async function guardOf(world: E2eWorld, name: string): Promise<VmProcess> {
  const { id } = await runnerOf(world, name);
  return world.deployment.process(`guard-${id}`);
}

When('the guard that has {string} is killed', async function (this: E2eWorld, name: string) {
  await (await guardOf(this, name)).kill();
});

When('the guard that has {string} is started again', async function (this: E2eWorld, name: string) {
  await this.deployment.startGuard(await runnerOf(this, name));
  await untilLinked(this);
});

When('the guard that has {string} is frozen', async function (this: E2eWorld, name: string) {
  (await guardOf(this, name)).freeze();
});

When('the guard that has {string} is resumed', async function (this: E2eWorld, name: string) {
  (await guardOf(this, name)).resume();
});

When('no entry is linked to the guard that has {string}', async function (this: E2eWorld, name) {
  const { id } = await runnerOf(this, String(name));
  await Promise.all(
    this.deployment.layout.entries.map((entry) =>
      until(`${entry.id} to drop its link`, async () => {
        const upstreams = await upstreamsAt(this.deployment, entry.id);
        return !upstreams.some(({ upstream, linked }) => upstream.id === id && linked);
      }),
    ),
  );
});

When('the links of the guard that has {string} are cut', async function (this: E2eWorld, name) {
  stateOf(this).network.cut((await guardOf(this, String(name))).name);
});

When(
  'the links of the guard that has {string} go silent {word}',
  async function (this: E2eWorld, name: string, directions: string) {
    stateOf(this).network.silence((await guardOf(this, name)).name, directions as Silence);
  },
);

When('all links go silent {word}', function (this: E2eWorld, directions: string) {
  const { network } = stateOf(this);
  this.deployment.layout.entries.forEach(({ id }) => {
    network.silence(id, directions as Silence);
  });
});

When('all links are delayed by {int} ms', function (this: E2eWorld, delayMs: number) {
  stateOf(this).network.delay(delayMs);
});

When('the entries lose each other', async function (this: E2eWorld) {
  const entries = this.deployment.layout.entries.map(({ id }) => id);
  stateOf(this).network.part(entries);
  await Promise.all(
    entries.map((entry) =>
      until(`${entry} to be alone`, async () => {
        const reached = [...(await versionsAt(this.deployment, entry)).keys()];
        return !reached.some((other) => other !== entry && entries.includes(other));
      }),
    ),
  );
});

When('all links are cut', function (this: E2eWorld) {
  const { network } = stateOf(this);
  this.deployment.layout.entries.forEach(({ id }) => network.cut(id));
});

When('{word} comes up again', async function (this: E2eWorld, process: string) {
  const { entries, upstreams } = this.deployment.layout;
  const entry = entries.find(({ id }) => id === process);
  const upstream = upstreams.find(({ id }) => `guard-${id}` === process);
  if (entry) await this.deployment.startEntry(entry);
  else if (upstream) await this.deployment.startGuard(upstream);
  else assert.fail(`Nothing is named "${process}".`);
});

Then('all upstreams get work from all entries again', async function (this: E2eWorld) {
  await untilLinked(this);
});
