/** bench:capacity: slopes of each role's cost, from which docs/CAPACITY.md is worked out. */
import { availableParallelism, loadavg, totalmem } from 'node:os';
import { measureBundleSlopes } from './bundle-slopes.js';
import { DEFAULT_CADENCE, SLOW_CADENCE } from './capacity-deployment.js';
import { measureEntrySlopes } from './entry-slopes.js';
import { measureGuardSlopes } from './guard-slopes.js';
import { measureRelaySlopes } from './relay-slopes.js';
import { measureTableSlopes } from './table-slopes.js';
import { measureTakeover } from './takeover.js';

/** Options of the command line. */
export interface CapacityBenchOptions {
  /** Smaller sizes and shorter measurements. */
  quick: boolean;
  /** Only measurements whose name contains this. */
  only: string;
}

const FULL = { guards: [25, 50, 100, 200, 400], jobs: 100, takeovers: 5 };
const QUICK = { guards: [10, 20, 40, 80], jobs: 40, takeovers: 2 };
const GB = 1_073_741_824;

/** Runs the measurements one after the other and prints Markdown tables. */
export async function benchCapacity({ quick, only }: CapacityBenchOptions): Promise<void> {
  const { guards, jobs, takeovers } = quick ? QUICK : FULL;
  const measurements: [string, () => Promise<void>][] = [
    ['bundle', measureBundleSlopes],
    ['table', measureTableSlopes],
    ['takeover', () => measureTakeover({ times: takeovers })],
    ['relay', measureRelaySlopes],
    ['guard', measureGuards],
    ['entry', () => measureEntrySlopes({ cadence: DEFAULT_CADENCE, guards, jobs })],
    ['entry-slow', () => measureEntrySlopes({ cadence: SLOW_CADENCE, guards, jobs: 0 })],
  ];
  console.log(
    `${availableParallelism()} cores, ${Math.round(totalmem() / GB)} GB, Node ${process.version}${quick ? ', quick' : ''}`,
  );
  for (const [name, measure] of measurements.filter(([each]) => each.includes(only))) {
    const before = loadavg()[0] ?? 0;
    const start = performance.now();
    await measure();
    const seconds = Math.round((performance.now() - start) / 1000);
    const after = loadavg()[0] ?? 0;
    console.log(
      `\n${name}: ${seconds} s; load average ${before.toFixed(1)} before, ${after.toFixed(1)} after.`,
    );
  }
}

/** Both cadences side by side: their processes idle nearly all the time. */
async function measureGuards(): Promise<void> {
  await Promise.all([
    measureGuardSlopes({ cadence: DEFAULT_CADENCE, bundles: true }),
    measureGuardSlopes({ cadence: SLOW_CADENCE, bundles: false }),
  ]);
}
