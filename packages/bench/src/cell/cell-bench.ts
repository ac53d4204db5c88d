/** `bench:cell`: how many jobs meet their objectives under loads and faults, by the owner's own decisions. */
import { cellPolicySchema, type CellPolicy } from '@zincspan/cell';
import { quantile } from 'simple-statistics';
import { RandomSource } from '../route/random-source.js';
import { drawDay, type DrawnJob } from './cell-load.js';
import type { CellLoad } from './cell-kinds.js';
import { CELL_LOADS, CELL_SCENARIOS, DAY_MS, type CellScenario } from './cell-scenarios.js';
import { SimulatedCell, type DayResult, type PlayedJob } from './simulated-cell.js';
import type { WorkerFault } from './simulated-worker.js';

/** Which days are played. */
export interface CellBenchOptions {
  seed: number;
  days: number;
  load: string;
  scenario: string;
  /** Names of the policy's parts to switch off, separated by commas. */
  off: string;
}

/** Once no more jobs come the cell has this long to finish them, in ms. */
const FINISH_MS = 40_000;

/** Of a kind, over all days of a scenario. */
export interface KindFigures {
  jobs: number;
  /** Shares of its jobs. */
  inObjective: number;
  /** Between one and `LATE_LIMIT_OBJECTIVES` objectives. */
  late: number;
  undone: number;
  /** Time from acceptance to the end over the objective. */
  p50: number;
  p99: number;
}

/** A job that takes longer than this many objectives is of no use. */
const LATE_LIMIT_OBJECTIVES = 3;

/** Length of the interval of arrivals that is served worst, in ms. */
const WORST_INTERVAL_MS = 2000;

/** Intervals and accounts with fewer jobs say nothing about how they are served. */
const MIN_JOBS = 3;

/** Policy with these parts switched off, by names separated by commas. */
export function policyWithout(off: string): CellPolicy {
  const names = off.split(',').filter((name) => name !== '');
  return cellPolicySchema.parse(Object.fromEntries(names.map((name) => [name, 'off'])));
}

/** Plays one day. */
export function playDay(
  load: CellLoad,
  scenario: CellScenario,
  seed: number,
  policy = policyWithout(''),
): DayResult {
  const { kinds, shape, accounts, wave, finishMs = FINISH_MS } = load;
  const { bursts } = scenario;
  const jobs = drawDay({ seed, kinds, shape, lengthMs: DAY_MS, bursts, accounts, wave });
  const random = new RandomSource(seed);
  const faults = new Map<number, WorkerFault[]>();
  scenario.faults.forEach(({ workers, times = 1, everyMs = 0, ...fault }) => {
    for (let each = 0; each < workers; each++) {
      const index = Math.floor(random.uniform() * load.shape.workers);
      const repeated = Array.from({ length: times }, (_, time) => ({
        ...fault,
        fromMs: fault.fromMs + time * everyMs,
      }));
      faults.set(index, [...(faults.get(index) ?? []), ...repeated]);
    }
  });
  return new SimulatedCell({ ...shape, policy }).play(jobs, faults, DAY_MS + finishMs);
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
    late: share(ratios.filter((ratio) => ratio > 1 && ratio <= LATE_LIMIT_OBJECTIVES).length),
    undone: share(jobs.filter(({ tookMs }) => tookMs === undefined).length),
    p50: ratios.length === 0 ? 0 : quantile(ratios, 0.5),
    p99: ratios.length === 0 ? 0 : quantile(ratios, 0.99),
  };
}

/** Means over days of the shares in their objectives: of all jobs, and of the worst-served queue, account and interval of a day. */
export function dayFigures(results: readonly DayResult[]): Record<string, number> {
  const mean = (of: (day: DayResult) => number): number =>
    results.reduce((sum, day) => sum + of(day), 0) / Math.max(1, results.length);
  return {
    all: mean(({ jobs }) => shareInObjective(jobs)),
    queue: mean((day) => worstShare(day, ({ job }) => job.kind.name)),
    account: mean((day) => worstShare(day, ({ job }) => job.submission.account)),
    interval: mean((day) => worstShare(day, ({ job }) => Math.floor(job.atMs / WORST_INTERVAL_MS))),
  };
}

function worstShare({ jobs }: DayResult, keyOf: (job: PlayedJob) => string | number): number {
  const groups = new Map<string | number, PlayedJob[]>();
  jobs.forEach((job) => groups.set(keyOf(job), [...(groups.get(keyOf(job)) ?? []), job]));
  const large = [...groups.values()].filter(({ length }) => length >= MIN_JOBS);
  return Math.min(1, ...large.map(shareInObjective));
}

function shareInObjective(jobs: readonly PlayedJob[]): number {
  const inTime = jobs.filter(({ job, tookMs }) => (tookMs ?? Infinity) <= job.objectiveMs);
  return jobs.length === 0 ? 1 : inTime.length / jobs.length;
}

/** Prints a line for each kind of each load and scenario. */
export function benchCell({ seed, days, load, scenario, off }: CellBenchOptions): void {
  const policy = policyWithout(off);
  say(
    'load      scenario             kind      jobs  in objective   late  undone   p50   p99  thrown away',
  );
  CELL_LOADS.filter(({ name }) => name.includes(load)).forEach((each) => {
    CELL_SCENARIOS.filter(({ name }) => name.includes(scenario)).forEach((one) => {
      const results = Array.from({ length: days }, (_, day) =>
        playDay(each, one, seed + day, policy),
      );
      const thrownAway = results.reduce((sum, result) => sum + result.thrownAway, 0) / days;
      each.kinds.forEach((kind) => {
        const figures = figuresOf(results, (job) => job.kind === kind);
        say(lineOf([each.name, one.name, kind.name], figures, thrownAway));
      });
      const { all = 0, queue = 0, account = 0, interval = 0 } = dayFigures(results);
      say(
        `${each.name.padEnd(9)} ${one.name.padEnd(20)} in objective: all ${all.toFixed(3)}, worst queue ` +
          `${queue.toFixed(3)}, worst account ${account.toFixed(3)}, worst 2 s ${interval.toFixed(3)}`,
      );
      const passMs = results.flatMap((result) => result.passMs);
      say(
        `${each.name.padEnd(9)} ${one.name.padEnd(20)} ${passMs.length} passes, ms: ` +
          `p50 ${quantile(passMs, 0.5).toFixed(2)} p99 ${quantile(passMs, 0.99).toFixed(2)}`,
      );
    });
  });
}

function lineOf(names: readonly string[], figures: KindFigures, thrownAway: number): string {
  const { jobs, inObjective, late, undone, p50, p99 } = figures;
  const [load = '', scenario = '', kind = ''] = names;
  return [
    load.padEnd(9),
    scenario.padEnd(20),
    kind.padEnd(8),
    String(jobs).padStart(5),
    inObjective.toFixed(3).padStart(13),
    late.toFixed(3).padStart(7),
    undone.toFixed(3).padStart(7),
    p50.toFixed(2).padStart(5),
    p99.toFixed(2).padStart(5),
    thrownAway.toFixed(0).padStart(12),
  ].join(' ');
}

function say(line: string): void {
  console.log(line);
}
