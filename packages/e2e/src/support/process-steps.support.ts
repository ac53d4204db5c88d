/** Steps about planned stops of daemons. */
import { Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import type { E2eWorld } from './e2e-world.support.js';
import { until } from './until.js';

const stops = new WeakMap<E2eWorld, Map<string, Promise<number | null>>>();

When('{word} gets SIGTERM', async function (this: E2eWorld, name: string) {
  const process = this.deployment.process(name);
  const draining = process.line((line) => line.includes('draining'));
  stops.set(this, new Map([...(stops.get(this) ?? []), [name, process.terminate()]]));
  await draining;
});

Then('{word} says that it is not ready', async function (this: E2eWorld, entry: string) {
  await until(`${entry} to turn its readiness`, async () => {
    const { status } = await this.caller('crews').call('GET', `${this.url(entry)}/ready`);
    return status === 503;
  });
  assert.ok(this.deployment.process(entry).running);
});

Then('{word} exits {int}', async function (this: E2eWorld, name: string, code: number) {
  assert.equal(await stops.get(this)?.get(name), code);
});
