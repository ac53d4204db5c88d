/** Command line of the benches: one command for each. */
import { cac } from 'cac';
import { benchCapacity, type CapacityBenchOptions } from './capacity/capacity-bench.js';
import { benchCell, type CellBenchOptions } from './cell/cell-bench.js';
import { benchPath, type PathBenchOptions } from './path/path-bench.js';
import { benchDecide, type DecideBenchOptions } from './decide/decide-bench.js';
import { benchPolicy, type PolicyBenchOptions } from './policy/policy-bench.js';
import { benchRoute, type RouteBenchOptions } from './route/route-bench.js';

const cli = cac('bench');

cli
  .command('route', 'Requests to runners: every policy version against every scenario')
  .option('--seed <seed>', 'Seed of the callers and runners', { default: 1 })
  .option('--scenario <text>', 'Only scenarios whose name contains this', { default: '' })
  .action((options: RouteBenchOptions) => benchRoute(options));

cli
  .command('policy', 'Jobs on workers: every policy version against every scenario')
  .option('--seed <seed>', 'Seed of the submissions', { default: 1 })
  .option('--scenario <text>', 'Only scenarios whose name contains this', { default: '' })
  .option('--deployment <text>', 'Only deployments whose name contains this', { default: '' })
  .option('--version-name <text>', 'Only policy versions whose name contains this', { default: '' })
  .action((options: PolicyBenchOptions) => benchPolicy(options));

cli
  .command(
    'cell',
    "Job graphs on a cell: the owner's own decisions against loads and failing workers",
  )
  .option('--seed <seed>', 'First seed of the days', { default: 1 })
  .option('--days <count>', 'Days of each load and scenario', { default: 20 })
  .option('--load <text>', 'Only loads whose name contains this', { default: '' })
  .option('--scenario <text>', 'Only scenarios whose name contains this', { default: '' })
  .option('--off <parts>', 'Parts of the policy to switch off, such as capacityFit,admission', {
    default: '',
  })
  .action((options: CellBenchOptions) => benchCell(options));

cli
  .command(
    'path',
    'Requests through entry and guard against the runner directly, and the cost of each role',
  )
  .option('--seconds <s>', 'Length of each measurement', { default: 15 })
  .action((options: PathBenchOptions) => benchPath(options));

cli
  .command('decide', 'What one decision costs at growing sizes')
  .option('--seed <seed>', 'Seed of the events', { default: 1 })
  .option('--events <count>', 'Events measured at each size', { default: 2000 })
  .option('--workers <count>', 'Only sizes of this many workers', { default: 0 })
  .action((options: DecideBenchOptions) => benchDecide(options));

cli
  .command('capacity', 'What each role costs at growing sizes, for docs/CAPACITY.md')
  .option('--quick', 'Smaller sizes and shorter measurements', { default: false })
  .option('--only <text>', 'Only measurements whose name contains this', { default: '' })
  .action((options: CapacityBenchOptions) => benchCapacity(options));

cli.help();
cli.parse();
