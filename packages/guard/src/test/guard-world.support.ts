/** A guard between a fake entry and stand-ins, closed after each scenario. */
import { After } from '@cucumber/cucumber';
import { guardSettingsSchema, type GuardSettings, type Upstream } from '@zincspan/core';
import type { RunnerStandIn, WorkerStandIn } from '@zincspan/stand-ins';
import { Guard } from '../guard.js';
import { DOMAIN, FakeEntry, KEYS, makeContext } from './fake-entry.support.js';

const OPERATOR_KEY = 'A'.repeat(43);

export class GuardWorld {
  entry!: FakeEntry;

  guard!: Guard;

  runner: RunnerStandIn | undefined;

  worker: WorkerStandIn | undefined;

  entryAddress = '';

  lastError: unknown;
}

const closers: (() => Promise<unknown>)[] = [];

After(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

/** Closes something once the scenario is over. */
export function closeLater(close: () => Promise<unknown>): void {
  closers.push(close);
}

/** Starts a fake entry and a guard that dials it, and waits for the first offer if there is an upstream. */
export async function startGuard(
  world: GuardWorld,
  upstream?: Upstream,
  overrides: Partial<GuardSettings> = {},
): Promise<void> {
  const entry = new FakeEntry();
  Object.assign(world, { entry });
  Object.assign(world, { entryAddress: await entry.start() });
  closeLater(() => entry.close());
  await startOneGuard(world, upstream, overrides);
}

/** Starts a guard, for example the successor of one that was stopped. */
export async function startOneGuard(
  world: GuardWorld,
  upstream?: Upstream,
  overrides: Partial<GuardSettings> = {},
): Promise<void> {
  const settings = guardSettingsSchema.parse({
    role: 'guard',
    id: 'guard-1',
    failureDomain: DOMAIN,
    linkKeys: KEYS,
    operators: ['ann', 'bat'].map((name) => ({ name, publicKey: OPERATOR_KEY })),
    heartbeat: { everyMs: 100, silenceMs: 1000 },
    listenHttp: '127.0.0.1:0',
    entries: [{ id: 'entry-1', failureDomain: DOMAIN, address: world.entryAddress }],
    ...(upstream ? { upstream } : {}),
    ...overrides,
  });
  const guard = new Guard({ ctx: makeContext('guard-1', 'guard'), settings });
  Object.assign(world, { guard });
  await guard.start();
  closeLater(() => guard.stop());
  if (upstream) await world.entry.untilReady();
}
