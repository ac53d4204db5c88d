/** A real guard process against the entries it links to, and against the accounts of the bundle. */
import { setTimeout as sleep } from 'node:timers/promises';
import { Deployment, rollOut, type VmProcess } from '@zincspan/e2e';
import { startWorker, type WorkerStandIn } from '@zincspan/stand-ins';
import {
  FAILURE_DOMAIN,
  bundleOf,
  guardSettings,
  platformStats,
  startGuard,
  type Cadence,
} from './capacity-deployment.js';
import { printSlopes, type Point, type Slope } from './slope.js';
import { usageOver } from './usage-window.js';

const ENTRIES = [1, 2, 4, 8];
const ACCOUNTS = [50, 100, 200, 390];
const SETTLE_MS = 4000;
const TABLE_MS = 5000;
const MEMORY_MS = 2000;

/** Whether bundles are rolled out and the platform's calls are counted too. */
export interface GuardSlopesOptions {
  cadence: Cadence;
  bundles: boolean;
}

/** Measures guards with 1, 2, 4 and 8 entries, and the platform's reads with 8 entries. */
export async function measureGuardSlopes(options: GuardSlopesOptions): Promise<void> {
  const { cadence, bundles } = options;
  const { heartbeat, idleMs } = cadence;
  const deployment = await Deployment.create({
    failureDomains: [FAILURE_DOMAIN],
    entries: Math.max(...ENTRIES),
    runners: 0,
    workers: 0,
    settings: { entry: { heartbeat } },
  });
  const workers = await Promise.all(ENTRIES.map((n) => startWorker({ id: `worker-${n}` })));
  const guards: VmProcess[] = [];
  try {
    await deployment.startPlatform();
    const reads = bundles ? await startEntries(deployment) : await startAll(deployment);
    guards.push(...(await startGuards(deployment, cadence, workers)));
    await sleep(SETTLE_MS);
    const slopes = await measureIdle(guards, idleMs);
    const more = bundles ? [...reads, ...(await measureAccounts(deployment, guards))] : [];
    printSlopes(`Guard, ${cadence.name}`, [...slopes, ...more]);
  } finally {
    await Promise.all(guards.map((guard) => guard.kill()));
    await deployment.stop();
    await Promise.all(workers.map((worker) => worker.kill()));
  }
}

/** Starts the entries step by step; what they read and write while idle. */
async function startEntries(deployment: Deployment): Promise<Slope[]> {
  const reads: Point[] = [];
  const writes: Point[] = [];
  let started = 0;
  for (const size of ENTRIES) {
    const more = deployment.layout.entries.slice(started, size);
    await Promise.all(more.map((entry) => deployment.startEntry(entry)));
    started = size;
    await sleep(SETTLE_MS);
    const before = await platformStats(deployment);
    await sleep(TABLE_MS);
    const after = await platformStats(deployment);
    const perSecond = 1000 / TABLE_MS;
    reads.push([size, (after.reads.total - before.reads.total) * perSecond]);
    writes.push([size, (after.writes.total - before.writes.total) * perSecond]);
  }
  const per = 'entries, 1 failure domain';
  return [
    { what: 'table reads/s, idle', per, points: reads },
    { what: 'table writes/s, idle', per, points: writes },
  ];
}

async function startAll(deployment: Deployment): Promise<Slope[]> {
  await Promise.all(deployment.layout.entries.map((entry) => deployment.startEntry(entry)));
  await sleep(SETTLE_MS);
  return [];
}

function startGuards(
  deployment: Deployment,
  cadence: Cadence,
  workers: WorkerStandIn[],
): Promise<VmProcess[]> {
  return Promise.all(
    ENTRIES.map((entries, n) =>
      startGuard(deployment, `guard-${entries}`, {
        ...guardSettings(deployment, cadence, entries),
        upstream: workers[n]!.worker,
      }),
    ),
  );
}

async function measureIdle(guards: VmProcess[], idleMs: number): Promise<Slope[]> {
  const usages = await usageOver(
    guards.map(({ pid }) => pid),
    idleMs,
  );
  const against = (read: (usage: (typeof usages)[number]) => number): Point[] =>
    usages.map((usage, n) => [ENTRIES[n]!, read(usage)]);
  const per = 'entries linked';
  return [
    { what: 'guard idle: memory, MB', per, points: against(({ residentMb }) => residentMb) },
    { what: 'guard idle: processor, % of a core', per, points: against((u) => u.cpuPercent) },
    {
      what: 'guard idle: bytes/s through all sockets and files',
      per,
      points: against(({ bytesPerSecond }) => bytesPerSecond),
    },
  ];
}

/** Memory of the guard with one entry and of an entry, with growing bundles in force. */
async function measureAccounts(deployment: Deployment, [guard]: VmProcess[]): Promise<Slope[]> {
  const atGuard: Point[] = [];
  const atEntry: Point[] = [];
  const pids = [guard!.pid, deployment.process('entry-1').pid];
  for (const accounts of ACCOUNTS) {
    await rollOut(deployment, bundleOf(accounts));
    await sleep(SETTLE_MS / 2);
    const [ofGuard, ofEntry] = await usageOver(pids, MEMORY_MS);
    atGuard.push([accounts, ofGuard!.residentMb]);
    atEntry.push([accounts, ofEntry!.residentMb]);
  }
  const per = 'accounts of the bundle';
  return [
    { what: 'guard with a bundle: memory, MB', per, points: atGuard },
    { what: 'entry with a bundle: memory, MB', per, points: atEntry },
  ];
}
