/** What callers hand in on one day: kinds of job as users describe them, drawn from a seed. */
import { submissionSchema, type Demand, type Submission } from '@zincspan/cell';
import { RandomSource } from '../route/random-source.js';

/** A kind of job. Durations in ms. */
export interface JobKind {
  name: string;
  priority: number;
  perSecond: number;
  stretch: number;
  targetLatencyMs: number;
  maxAttempts: number;
  /** Mean number of tasks, and the standard deviation of its logarithm. */
  tasks: { mean: number; spread: number; max: number };
  workMs: { mean: number; spread: number; max: number };
  milliCores: number;
  memoryMb: number;
  /** One of these, each as likely. */
  accelerators: readonly number[];
  /** Standard deviation of the logarithm of an estimate's error, and of tasks' work within a job. */
  estimateError: number;
  uneven: number;
  /** Shares of jobs. */
  gang: number;
  oneRack: number;
  saves: number;
  /** Share of runs that fail by their own fault. */
  fails: number;
}

/** A job that comes in, with what only the simulation knows of it. */
export interface DrawnJob {
  atMs: number;
  kind: JobKind;
  submission: Submission;
  /** By task. */
  workMs: readonly number[];
  /** By task: how many runs fail at their end. */
  failingRuns: readonly number[];
  /** From its acceptance it should take no longer than this. */
  objectiveMs: number;
}

/** Times at which kinds come more often. */
export interface Burst {
  kind: string;
  factor: number;
  fromMs: number;
  forMs: number;
}

const ACCOUNTS = ['account-1', 'account-2', 'account-3', 'account-4'];

/** The service that all workers of a simulated cell belong to. */
export const SIMULATED_SERVICE = 'service';

/** A gang takes at most this share of what all workers, or those of a rack, could take: larger ones hardly ever find room. */
const LARGEST_SHARE = 0.46;
const LARGEST_SHARE_OF_RACK = 0.67;

/** The workers that a day is drawn for. */
export interface DrawnFor {
  workers: number;
  workersPerRack: number;
  capacity: Demand;
}

function mostTasks(
  { workers, workersPerRack, capacity }: DrawnFor,
  demand: Demand,
  onRack: boolean,
): number {
  const perWorker = Math.min(
    Math.floor(capacity.accelerators / demand.accelerators),
    Math.floor(capacity.milliCores / demand.milliCores),
    Math.floor(capacity.memoryMb / demand.memoryMb),
  );
  const most = onRack ? LARGEST_SHARE_OF_RACK * workersPerRack : LARGEST_SHARE * workers;
  return Math.max(1, Math.floor(most * perWorker));
}

/** Steps of the search for arrivals, in ms. */
const STEP_MS = 20;

/** All jobs of a day in the order of their coming. */
export function drawDay({
  seed,
  kinds,
  shape,
  lengthMs,
  bursts,
}: {
  seed: number;
  kinds: readonly JobKind[];
  shape: DrawnFor;
  lengthMs: number;
  bursts: readonly Burst[];
}): DrawnJob[] {
  const random = new RandomSource(seed);
  const jobs: DrawnJob[] = [];
  for (let atMs = 0; atMs < lengthMs; atMs += STEP_MS) {
    for (const kind of kinds) {
      const burst = bursts
        .filter((each) => each.kind === kind.name)
        .filter(({ fromMs, forMs }) => atMs >= fromMs && atMs < fromMs + forMs)
        .reduce((factor, each) => factor * each.factor, 1);
      const isDue = random.uniform() < (kind.perSecond * burst * STEP_MS) / 1000;
      if (isDue) jobs.push(drawJob(random, { kind, shape, atMs, number: jobs.length + 1 }));
    }
  }
  return jobs;
}

function drawJob(
  random: RandomSource,
  { kind, shape, atMs, number }: { kind: JobKind; shape: DrawnFor; atMs: number; number: number },
): DrawnJob {
  const around = ({ mean, spread, max }: { mean: number; spread: number; max: number }): number =>
    Math.min(max, random.logNormal(mean * Math.exp((-spread * spread) / 2), spread));
  const accelerators = random.pick(kind.accelerators);
  const drawn = Math.max(1, Math.round(around(kind.tasks)));
  const jobWorkMs = around(kind.workMs);
  const gang = drawn > 1 && random.uniform() < kind.gang;
  const rackSensitive = gang && random.uniform() < kind.oneRack;
  const { milliCores, memoryMb } = kind;
  const demand = { milliCores, memoryMb, accelerators };
  const tasks = gang ? Math.min(drawn, mostTasks(shape, demand, rackSensitive)) : drawn;
  const workMs = Array.from({ length: tasks }, () =>
    gang ? jobWorkMs : jobWorkMs * random.logNormal(1, kind.uneven),
  );
  const failingRuns = workMs.map(() => (random.uniform() < kind.fails ? 1 : 0));
  const { stretch, targetLatencyMs, priority, maxAttempts } = kind;
  const chainMs = Math.max(...workMs.map((ms, index) => ms * (1 + (failingRuns[index] ?? 0))));
  const submission = submissionSchema.parse({
    id: number.toString(16).padStart(16, '0'),
    queue: kind.name,
    terms: {
      service: SIMULATED_SERVICE,
      priority,
      maxAttempts,
      stretch,
      targetLatencyMs,
      needsAdvice: false,
    },
    account: random.pick(ACCOUNTS),
    spec: '',
    steps: [
      {
        tasks,
        demand,
        estimateMs: Math.round(jobWorkMs * random.logNormal(1, kind.estimateError)),
        after: [],
        gang,
        checkpointing: random.uniform() < kind.saves,
        rackSensitive,
        duplicates: false,
        lasting: false,
        fills: false,
        mayMiss: 0,
      },
    ],
    acceptedAtMs: atMs,
  });
  const objectiveMs = stretch * chainMs + targetLatencyMs;
  return { atMs, kind, submission, workMs, failingRuns, objectiveMs };
}
