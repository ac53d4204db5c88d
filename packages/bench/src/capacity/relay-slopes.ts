/** A guard-sized process that accepts links, as a relay would: what each link costs it. */
import { setTimeout as sleep } from 'node:timers/promises';
import { quietContext } from '@zincspan/core';
import { GUARD_NODE_ARGS } from '@zincspan/e2e';
import { Dialer } from '@zincspan/link';
import { ChildHost } from './child-host.js';
import { SLOW_CADENCE } from './capacity-deployment.js';
import type { RelayFigures, RelaySettings } from './relay-host.js';
import { printSlopes, type Point } from './slope.js';
import { usageOver } from './usage-window.js';

const LINKS = [16, 32, 64, 128];
const SETTLE_MS = 2000;
/** Two heartbeats. */
const WINDOW_MS = 10_000;
const LOOK_MS = 20;
const BATCH = 16;

/** Measures idle links at the cadence of two years' size. */
export async function measureRelaySlopes(): Promise<void> {
  const settings = { key: 'k'.repeat(32), heartbeat: SLOW_CADENCE.heartbeat };
  const relay = new ChildHost<object, RelayFigures>({
    main: './relay-host.js',
    arg: settings,
    nodeArgs: GUARD_NODE_ARGS,
  });
  const dialers: Dialer[] = [];
  const memory: Point[] = [];
  const processor: Point[] = [];
  const bytes: Point[] = [];
  try {
    for (const size of LINKS) {
      await dialUpTo(size, dialers, relay, settings);
      await sleep(SETTLE_MS);
      const before = await relay.ask({});
      const [usage] = await usageOver([relay.pid], WINDOW_MS);
      const after = await relay.ask({});
      memory.push([size, usage!.residentMb]);
      processor.push([size, usage!.cpuPercent]);
      bytes.push([size, (bothWays(after) - bothWays(before)) / (WINDOW_MS / 1000)]);
    }
  } finally {
    dialers.forEach((dialer) => dialer.close());
    await relay.stop();
  }
  const per = 'links accepted';
  printSlopes(`Process with a guard's flags that accepts links, heartbeat 5 s`, [
    { what: 'relay idle: memory, MB', per, points: memory },
    { what: 'relay idle: processor, % of a core', per, points: processor },
    { what: 'relay idle: link bytes/s, both ways', per, points: bytes },
  ]);
}

async function dialUpTo(
  size: number,
  dialers: Dialer[],
  relay: ChildHost<object, RelayFigures>,
  { key, heartbeat }: RelaySettings,
): Promise<void> {
  const { address } = await relay.ask({});
  while (dialers.length < size) {
    for (let n = 0; n < BATCH; n += 1) {
      const ctx = quietContext({ id: `guard-${dialers.length}`, role: 'guard' });
      const dialer = new Dialer({ ctx, address, heartbeat, keys: [key], handlers: {} });
      dialers.push(dialer);
      dialer.start();
    }
    while ((await relay.ask({})).links < dialers.length) await sleep(LOOK_MS);
  }
}

function bothWays({ traffic }: RelayFigures): number {
  return traffic.bytesIn + traffic.bytesOut;
}
