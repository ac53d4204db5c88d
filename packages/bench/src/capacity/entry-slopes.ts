/** An entry that owns one failure domain, against the number of guards linked to it. */
import { setTimeout as sleep } from 'node:timers/promises';
import { Deployment, rollOut } from '@zincspan/e2e';
import { sampleUsage } from '../path/process-usage.js';
import {
  FAILURE_DOMAIN,
  TEAMS,
  bundleOf,
  guardSettings,
  headRow,
  platformStats,
  type Cadence,
} from './capacity-deployment.js';
import { GuardFleet, type FleetFigures } from './guard-fleet.js';
import { startLatencies } from './job-load.js';
import { printSlopes, type Point, type Slope } from './slope.js';
import { cpuBeyond, usageOver } from './usage-window.js';

/** Which sizes, and whether bundles and jobs are measured beside idling. */
export interface EntrySlopesOptions {
  cadence: Cadence;
  guards: number[];
  jobs: number;
}

const SETTLE_MS = 3000;
const JOBS_PER_SECOND = 20;
const LOOK_MS = 50;
const GUARDS = 'guards linked';

/** Points by the name of what was measured. */
class Measured {
  readonly #points = new Map<string, Point[]>();

  add(what: string, size: number, value: number): void {
    const points = this.#points.get(what) ?? [];
    points.push([size, value]);
    this.#points.set(what, points);
  }

  slopes(per: string): Slope[] {
    return [...this.#points].map(([what, points]) => ({ what, per, points }));
  }
}

interface Idle {
  cpuPercent: number;
  bytesPerSecond: number;
}

/** Grows a fleet of guards under one real entry and measures at each size. */
export async function measureEntrySlopes(options: EntrySlopesOptions): Promise<void> {
  const { cadence, guards, jobs } = options;
  const { heartbeat } = cadence;
  const deployment = await Deployment.create({
    failureDomains: [FAILURE_DOMAIN],
    entries: 1,
    runners: 0,
    workers: 0,
    settings: { entry: { heartbeat } },
  });
  const measured = new Measured();
  let fleet: GuardFleet | undefined;
  try {
    await deployment.start();
    await rollOut(deployment, bundleOf(TEAMS));
    fleet = new GuardFleet({ settings: guardSettings(deployment, cadence) });
    for (const [n, size] of guards.entries()) {
      await fleet.growTo(size);
      await sleep(SETTLE_MS);
      const bench = { deployment, fleet, measured, size };
      const idle = await measureIdle(bench, cadence.idleMs);
      if (jobs > 0) await measureChange(bench, idle, n + 1);
      if (jobs > 0) await measureJobs(bench, idle, jobs);
    }
  } finally {
    await fleet?.stop();
    await deployment.stop();
  }
  printSlopes(`Entry and owner, ${cadence.name}`, measured.slopes(GUARDS));
}

interface Bench {
  deployment: Deployment;
  fleet: GuardFleet;
  measured: Measured;
  size: number;
}

/** What links cost while nothing happens. Bytes and frames are the links' own counts, both ways. */
async function measureIdle(
  { deployment, fleet, measured, size }: Bench,
  forMs: number,
): Promise<Idle> {
  const { pid } = deployment.process('entry-1');
  const before = await fleet.figures();
  const [usage] = await usageOver([pid], forMs);
  const traffic = perSecond(before, await fleet.figures(), forMs);
  measured.add('entry idle: memory, MB', size, usage!.residentMb);
  measured.add('entry idle: processor, % of a core', size, usage!.cpuPercent);
  measured.add('entry idle: link bytes/s, both ways', size, traffic.bytes);
  measured.add('entry idle: frames/s, both ways', size, traffic.frames);
  return { cpuPercent: usage!.cpuPercent, bytesPerSecond: traffic.bytes };
}

/** One account of 390 changes: until it is in force on the last guard, and what it costs. */
async function measureChange(
  { deployment, fleet, measured, size }: Bench,
  idle: Idle,
  change: number,
): Promise<void> {
  const { pid } = deployment.process('entry-1');
  const usageBefore = sampleUsage(pid);
  const before = await fleet.figures();
  await rollOut(deployment, bundleOf(TEAMS, change));
  const { head, at } = await headRow(deployment);
  let after = await fleet.figures();
  while (after.lowestVersion < head.version) {
    await sleep(LOOK_MS);
    after = await fleet.figures();
  }
  await sleep(SETTLE_MS);
  const usageAfter = sampleUsage(pid);
  const settled = await fleet.figures();
  const idleBytes = (idle.bytesPerSecond * (usageAfter.atMs - usageBefore.atMs)) / 1000;
  measured.add('change of bundle: rollout to last guard, ms', size, after.lastTakenAt - at);
  measured.add('change of bundle: link bytes', size, settled.bytes - before.bytes - idleBytes);
  const cpuMs = cpuBeyond(usageBefore, usageAfter, idle.cpuPercent);
  measured.add('change of bundle: entry processor time, ms', size, cpuMs);
}

/** Urgent jobs on free workers. */
async function measureJobs(
  { deployment, measured, size }: Bench,
  idle: Idle,
  jobs: number,
): Promise<void> {
  const { pid } = deployment.process('entry-1');
  const [url = ''] = deployment.entryUrls;
  const usageBefore = sampleUsage(pid);
  const before = await platformStats(deployment);
  const latencies = await startLatencies(url, { jobs, perSecond: JOBS_PER_SECOND });
  const after = await platformStats(deployment);
  const usageAfter = sampleUsage(pid);
  const seconds = (usageAfter.atMs - usageBefore.atMs) / 1000;
  const cpuMs = cpuBeyond(usageBefore, usageAfter, idle.cpuPercent) / jobs;
  measured.add('job: entry processor time, ms', size, cpuMs);
  measured.add('urgent start p50, ms', size, latencies[Math.floor(jobs * 0.5)] ?? NaN);
  measured.add('urgent start p99, ms', size, latencies[Math.ceil(jobs * 0.99) - 1] ?? NaN);
  // The owner renews its lease and reads the bundle's head once a second.
  const writes = after.writes.total - before.writes.total - seconds;
  const reads = after.reads.total - before.reads.total - seconds;
  measured.add('table writes per job', size, writes / jobs);
  measured.add('table reads per job', size, reads / jobs);
}

function perSecond(
  before: FleetFigures,
  after: FleetFigures,
  ms: number,
): { bytes: number; frames: number } {
  const frames = after.framesIn + after.framesOut - before.framesIn - before.framesOut;
  return { bytes: ((after.bytes - before.bytes) / ms) * 1000, frames: (frames / ms) * 1000 };
}
