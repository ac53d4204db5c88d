/**
 * Random faults over separate processes under load: `npm run soak -- --seed N --minutes M`. The seed gives the faults,
 * their targets and their times; how the processes interleave can't be repeated.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import { auditRequests } from '../audit/audit-requests.js';
import {
  readInUse,
  readRunnerLedger,
  readWorkerLedger,
  setFaults,
} from '../audit/stand-in-calls.js';
import { Caller } from '../deployment/caller.js';
import { createAccountToken } from '../deployment/credentials.js';
import { Deployment } from '../deployment/deployment.js';
import { LossyNetwork } from '../deployment/lossy-network.js';
import { rollOut } from '../deployment/rollout.js';
import { until } from '../support/until.js';
import { auditJobs } from './audit-jobs.js';
import { FaultMaker } from './fault-maker.js';
import { scheduleFaults } from './fault-schedule.js';
import { soakBundle } from './soak-bundle.js';
import { SoakLoad } from './soak-load.js';
import { printReport } from './soak-report.js';
import { VersionFalls } from '../audit/version-falls.js';

const SETTLE_MS = 120_000;

const QUICK = { heartbeat: { everyMs: 200, silenceMs: 1000 }, drainMs: 5000 };

const settings = {
  entry: { ...QUICK, owner: { leaseMs: 1000, renewMs: 300 } },
  guard: { ...QUICK, announceTtlMs: 2000, taskLeaseMs: 2000 },
};

async function main(): Promise<void> {
  const { values } = parseArgs({
    options: {
      seed: { type: 'string', default: String(Date.now() % 1_000_000) },
      minutes: { type: 'string', default: '1' },
    },
  });
  const seed = Number(values.seed);
  const lengthMs = Number(values.minutes) * 60_000;
  if (!Number.isInteger(seed) || !(lengthMs > 0)) throw new Error('Usage: --seed N --minutes M');
  const violations = await soak({ seed, lengthMs });
  process.exitCode = violations === 0 ? 0 : 1;
}

async function soak({ seed, lengthMs }: { seed: number; lengthMs: number }): Promise<number> {
  const network = new LossyNetwork();
  const deployment = await Deployment.create({
    failureDomains: ['hall-1', 'hall-2'],
    entries: 3,
    runners: 2,
    workers: 2,
    settings: { ...settings, linkAddress: network.addressFor },
  });
  try {
    await deployment.start();
    return await run({ deployment, network, seed, lengthMs });
  } finally {
    await deployment.stop();
    await network.close();
  }
}

async function run({
  deployment,
  network,
  seed,
  lengthMs,
}: {
  deployment: Deployment;
  network: LossyNetwork;
  seed: number;
  lengthMs: number;
}): Promise<number> {
  const token = createAccountToken('crews');
  let revision = 0;
  const roll = async (drained: string[]): Promise<void> => {
    revision += 1;
    // During an outage the rollout is refused; that is an operation like the others.
    await rollOut(deployment, soakBundle(token, { revision, drained })).catch(() => {});
  };
  await rollOut(deployment, soakBundle(token, { revision }));
  const load = new SoakLoad({ caller: new Caller(token), urls: deployment.entryUrls });
  const falls = new VersionFalls(deployment);
  const faults = new FaultMaker({ deployment, network, rollOut: roll });
  load.start();
  falls.start();
  await strikeAll(faults, scheduleFaults({ seed, lengthMs }));
  await load.stop();
  await roll([]);
  await load.jobs.follow(performance.now() + SETTLE_MS);
  await falls.stop();
  const violations = await audit({ deployment, load, falls });
  printReport({ seed, lengthMs, load, faults, violations });
  return violations.length;
}

async function strikeAll(
  faults: FaultMaker,
  schedule: ReturnType<typeof scheduleFaults>,
): Promise<void> {
  const startedAt = performance.now();
  const hold = async (ms: number): Promise<void> => {
    await sleep(ms);
  };
  await Promise.all(
    schedule.map(async (fault) => {
      await sleep(Math.max(0, startedAt + fault.atMs - performance.now()));
      await faults.strike(fault, hold);
    }),
  );
}

async function audit({
  deployment,
  load,
  falls,
}: {
  deployment: Deployment;
  load: SoakLoad;
  falls: VersionFalls;
}): Promise<string[]> {
  const ofType = (type: string): string[] =>
    deployment.layout.upstreams.filter((one) => one.type === type).map(({ vm }) => vm.upstream);
  const runners = ofType('runner');
  await Promise.all(runners.map((address) => setFaults(address, {})));
  await until('idle runners', async () => {
    const inUse = await Promise.all(runners.map(readInUse));
    return inUse.every((count) => count === 0);
  });
  const runnerLedgers = await Promise.all(runners.map(readRunnerLedger));
  const workerLedgers = await Promise.all(ofType('worker').map(readWorkerLedger));
  return [
    ...auditRequests(load.requests.sent, runnerLedgers),
    ...auditJobs(load.jobs.jobs, workerLedgers),
    ...falls.seen,
  ];
}

await main();
