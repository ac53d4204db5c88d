/** bench:policy: every policy version against every scenario, in one table for each deployment. */
import { malabar, tuul, type Deployment } from './deployment.js';
import { runScenario, type PolicyVersion } from './run-scenario.js';
import { SCENARIOS } from './scenario.js';
import type { Figures } from './tally.js';

/** Options of the command line. */
export interface PolicyBenchOptions {
  seed: number;
  /** Only scenarios, deployments and versions whose names contain these. */
  scenario: string;
  deployment: string;
  versionName: string;
}

const VERSIONS: PolicyVersion[] = [
  { name: 'fifo', policy: { scheduler: 'fifo' } },
  { name: 'contract', policy: {} },
  { name: 'contract w=0', policy: { fragmentationWeight: 0 } },
  { name: 'contract w=1', policy: { fragmentationWeight: 1 } },
];

/** The tenfold deployment is run for the scenarios in which size matters most. */
const TENFOLD_SCENARIOS = ['burst of small', 'burst of large', 'guarantee claims'];

/** Both ends of the weight are shown where they differ most. */
const WEIGHT_SCENARIOS = ['ordinary day', 'burst of large'];

const COLUMNS: [string, (figures: Figures) => string][] = [
  ['urgent p50', (f) => seconds(f.urgentP50)],
  ['urgent p99', (f) => seconds(f.urgentP99)],
  ['in contract', (f) => percent(f.urgentInContract)],
  ['waiting p50', (f) => seconds(f.waitingP50)],
  ['waiting p99', (f) => seconds(f.waitingP99)],
  ['claim p99', (f) => seconds(f.claimP99)],
  ['in time', (f) => f.claimsInTime],
  ['refused (true)', (f) => `${f.refused} (${f.refusedTruly})`],
  ['jobs lost', (f) => String(f.lostJobs)],
  ['evicted', (f) => String(f.evictions)],
  ['work lost', (f) => `${f.workLost.toFixed(1)} h`],
  ['frag mean', (f) => f.fragMean.toFixed(3)],
  ['p95', (f) => f.fragP95.toFixed(2)],
  ['night', (f) => f.fragNight.toFixed(3)],
  ['largest', (f) => f.largestGang.toFixed(1)],
  ['large wait', (f) => seconds(f.largeWait)],
  ['use', (f) => percent(f.utilisation)],
  ['undone', (f) => String(f.unfinished)],
];

/** Runs the bench and prints its tables (Markdown). */
export function benchPolicy({ seed, scenario, deployment, versionName }: PolicyBenchOptions): void {
  const deployments = [tuul(), malabar(), tuul(10)];
  console.log(`Seed ${seed}. Times to completion in seconds; work lost in accelerator-hours.`);
  deployments
    .filter(({ name }) => name.includes(deployment))
    .forEach((one) => benchDeployment(one, { seed, scenario, versionName }));
}

function benchDeployment(
  deployment: Deployment,
  { seed, scenario: part, versionName: wanted }: Omit<PolicyBenchOptions, 'deployment'>,
): void {
  console.log(`\n## ${deployment.name}\n`);
  console.log(`| scenario | policy | ${COLUMNS.map(([name]) => name).join(' | ')} |`);
  console.log(`|---|---|${'---:|'.repeat(COLUMNS.length)}`);
  const isTenfold = deployment.name.endsWith('x10');
  SCENARIOS.filter(({ name }) => name.includes(part))
    .filter(({ name }) => !isTenfold || TENFOLD_SCENARIOS.includes(name))
    .forEach((scenario) =>
      versionsFor(scenario.name, wanted).forEach((version) => {
        const figures = runScenario({ deployment, scenario, version, seed });
        const cells = COLUMNS.map(([, show]) => show(figures));
        console.log(`| ${scenario.name} | ${version.name} | ${cells.join(' | ')} |`);
      }),
    );
}

function versionsFor(scenario: string, wanted: string): PolicyVersion[] {
  return VERSIONS.filter(({ name }) => name.includes(wanted)).filter(
    ({ policy }) => policy.fragmentationWeight === undefined || WEIGHT_SCENARIOS.includes(scenario),
  );
}

function seconds(ms: number): string {
  if (!Number.isFinite(ms)) return 'never';
  return (ms / 1000).toFixed(ms < 10_000 ? 1 : 0);
}

function percent(part: number): string {
  return `${(part * 100).toFixed(1)}%`;
}
