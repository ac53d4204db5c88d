/** `bench:cell`: how many jobs meet their objectives under loads and faults, by the owner's own decisions. */
import { quantile } from 'simple-statistics';
import { RandomSource } from '../route/random-source.js';
import { drawDay, type DrawnJob } from './cell-load.js';
import {
  CELL_LOADS,
  CELL_SCENARIOS,
  DAY_MS,
  type CellLoad,
  type CellScenario,
} from './cell-scenarios.js';
import { SimulatedCell, type DayResult } from './simulated-cell.js';
import type { WorkerFault } from './simulated-worker.js';

/** Which days are played. */
export interface CellBenchOptions {
  seed: number;
  days: number;
  load: string;
  scenario: string;
}

/** Once no more jobs come the cell has this long to finish them, in ms. */
const FINISH_MS = 40_000;

/** Of a kind, over all days of a scenario. */
export interface KindFigures {
  jobs: number;
  /** Shares of its jobs. */
  inObjective: number;
  undone: number;
  /** Time from acceptance to the end over the objective. */
  p50: number;
  p99: number;
}

/** Plays one day. */
export function playDay(load: CellLoad, scenario: CellScenario, seed: number): DayResult {
  const { kinds, shape } = load;
  const jobs = drawDay({ seed, kinds, shape, lengthMs: DAY_MS, bursts: scenario.bursts });
  const random = new RandomSource(seed);
  const faults = new Map<number, WorkerFault[]>();
  scenario.faults.forEach(({ workers, ...fault }) => {
    for (let each = 0; each < workers; each++) {
      const index = Math.floor(random.uniform() * load.shape.workers);
      faults.set(index, [...(faults.get(index) ?? []), fault]);
    }
  });
  return new SimulatedCell(load.shape).play(jobs, faults, DAY_MS + FINISH_MS);
}

/** Figures of one kind. */
export function figuresOf(
  results: readonly DayResult[],
  isOf: (job: DrawnJob) => boolean,
): KindFigures {
  const jobs = results.flatMap((day) => day.jobs).filter(({ job }) => isOf(job));
  const ratios = jobs.map(({ job, tookMs }) => (tookMs ?? Infinity) / job.objectiveMs);
  const share = (count: number): number => (jobs.length === 0 ? 1 : count / jobs.length);
  return {
    jobs: jobs.length,
    inObjective: share(ratios.filter((ratio) => ratio <= 1).length),
    undone: share(jobs.filter(({ tookMs }) => tookMs === undefined).length),
    p50: ratios.length === 0 ? 0 : quantile(ratios, 0.5),
    p99: ratios.length === 0 ? 0 : quantile(ratios, 0.99),
  };
}

/** Prints a line for each kind of each load and scenario. */
export function benchCell({ seed, days, load, scenario }: CellBenchOptions): void {
  say(
    'load      scenario             kind      jobs  in objective  undone   p50   p99  thrown away',
  );
  CELL_LOADS.filter(({ name }) => name.includes(load)).forEach((each) => {
    CELL_SCENARIOS.filter(({ name }) => name.includes(scenario)).forEach((one) => {
      const results = Array.from({ length: days }, (_, day) => playDay(each, one, seed + day));
      const thrownAway = results.reduce((sum, result) => sum + result.thrownAway, 0) / days;
      each.kinds.forEach((kind) => {
        const figures = figuresOf(results, (job) => job.kind === kind);
        say(lineOf([each.name, one.name, kind.name], figures, thrownAway));
      });
      const passMs = results.flatMap((result) => result.passMs);
      say(
        `${each.name.padEnd(9)} ${one.name.padEnd(20)} ${passMs.length} passes, ms: ` +
          `p50 ${quantile(passMs, 0.5).toFixed(2)} p99 ${quantile(passMs, 0.99).toFixed(2)}`,
      );
    });
  });
}

function lineOf(names: readonly string[], figures: KindFigures, thrownAway: number): string {
  const { jobs, inObjective, undone, p50, p99 } = figures;
  const [load = '', scenario = '', kind = ''] = names;
  return [
    load.padEnd(9),
    scenario.padEnd(20),
    kind.padEnd(8),
    String(jobs).padStart(5),
    inObjective.toFixed(3).padStart(13),
    undone.toFixed(3).padStart(7),
    p50.toFixed(2).padStart(5),
    p99.toFixed(2).padStart(5),
    thrownAway.toFixed(0).padStart(12),
  ].join(' ');
}

function say(line: string): void {
  console.log(line);
}
