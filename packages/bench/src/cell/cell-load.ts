/** What callers hand in on one day: kinds of job as users describe them, drawn from a seed. */
import { submissionSchema, type Demand, type Step, type Submission } from '@zincspan/cell';
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
  /** Share of jobs with a second step, after the first and drawn like it. */
  secondStep?: number;
  /** Share of tasks (of jobs, for gangs) that take `LONG_FACTOR` times as long as the others. */
  long?: number;
}

/** Work of a step that only the simulation knows, by task. */
export interface DrawnStep {
  workMs: readonly number[];
  /** How many runs fail at their end. */
  failingRuns: readonly number[];
}

/** A job that comes in, with what only the simulation knows of it. */
export interface DrawnJob {
  atMs: number;
  kind: JobKind;
  submission: Submission;
  /** What the simulation knows of each step. */
  steps: readonly DrawnStep[];
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

/** How much longer an inherently long task takes than the others of its step. */
const LONG_FACTOR = 7;

/** Arrivals rise and fall by this share of their mean within a period. */
export interface ArrivalWave {
  amplitude: number;
  periodMs: number;
}

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
  accounts = ACCOUNTS,
  wave,
}: {
  seed: number;
  kinds: readonly JobKind[];
  shape: DrawnFor;
  lengthMs: number;
  bursts: readonly Burst[];
  /** Each job's is one of these; names that stand here several times are larger accounts. */
  accounts?: readonly string[] | undefined;
  wave?: ArrivalWave | undefined;
}): DrawnJob[] {
  const random = new RandomSource(seed);
  const phase = wave === undefined ? 0 : random.uniform();
  const jobs: DrawnJob[] = [];
  for (let atMs = 0; atMs < lengthMs; atMs += STEP_MS) {
    for (const kind of kinds) {
      const burst = bursts
        .filter((each) => each.kind === kind.name)
        .filter(({ fromMs, forMs }) => atMs >= fromMs && atMs < fromMs + forMs)
        .reduce((factor, each) => factor * each.factor, 1);
      const rate = kind.perSecond * burst * waveFactor(wave, atMs, phase);
      if (random.uniform() >= (rate * STEP_MS) / 1000) continue;
      jobs.push(drawJob(random, { kind, shape, atMs, number: jobs.length + 1, accounts }));
    }
  }
  return jobs;
}

function waveFactor(wave: ArrivalWave | undefined, atMs: number, phase: number): number {
  if (wave === undefined) return 1;
  return 1 + wave.amplitude * Math.sin(2 * Math.PI * (atMs / wave.periodMs + phase));
}

function drawJob(
  random: RandomSource,
  {
    kind,
    shape,
    atMs,
    number,
    accounts,
  }: {
    kind: JobKind;
    shape: DrawnFor;
    atMs: number;
    number: number;
    accounts: readonly string[];
  },
): DrawnJob {
  const { stretch, targetLatencyMs, priority, maxAttempts, secondStep = 0 } = kind;
  const count = secondStep > 0 && random.uniform() < secondStep ? 2 : 1;
  const drawn = Array.from({ length: count }, () => drawStep(random, kind, shape));
  const chainMs = drawn.reduce((sum, { known }) => sum + longestMs(known), 0);
  const account = random.pick(accounts);
  const steps = drawn.map(({ step, usualMs }, index) => ({
    ...step,
    estimateMs: Math.round(usualMs * random.logNormal(1, kind.estimateError)),
    checkpointing: random.uniform() < kind.saves,
    after: index > 0 ? [index - 1] : [],
  }));
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
    account,
    spec: '',
    steps,
    acceptedAtMs: atMs,
  });
  const objectiveMs = stretch * chainMs + targetLatencyMs;
  return { atMs, kind, submission, steps: drawn.map(({ known }) => known), objectiveMs };
}

/** Time that a step takes on usual workers if all its tasks start at once and again where they fail. */
function longestMs({ workMs, failingRuns }: DrawnStep): number {
  return Math.max(...workMs.map((ms, index) => ms * (1 + (failingRuns[index] ?? 0))));
}

function drawStep(
  random: RandomSource,
  kind: JobKind,
  shape: DrawnFor,
): {
  step: Omit<Step, 'after' | 'estimateMs' | 'checkpointing'>;
  known: DrawnStep;
  /** Duration that estimates are drawn around. */
  usualMs: number;
} {
  const around = ({ mean, spread, max }: { mean: number; spread: number; max: number }): number =>
    Math.min(max, random.logNormal(mean * Math.exp((-spread * spread) / 2), spread));
  const accelerators = random.pick(kind.accelerators);
  const drawn = Math.max(1, Math.round(around(kind.tasks)));
  const stepWorkMs = around(kind.workMs);
  const gang = drawn > 1 && random.uniform() < kind.gang;
  const rackSensitive = gang && random.uniform() < kind.oneRack;
  const { milliCores, memoryMb, long = 0 } = kind;
  const demand = { milliCores, memoryMb, accelerators };
  const tasks = gang ? Math.min(drawn, mostTasks(shape, demand, rackSensitive)) : drawn;
  // Bounded, as the owner takes a run for stalled whose next percent is more than 1.8 s away.
  const perhapsLong = (ms: number): number =>
    long > 0 && random.uniform() < long ? LONG_FACTOR * Math.min(ms, kind.workMs.max) : ms;
  const gangMs = gang ? perhapsLong(stepWorkMs) : 0;
  const workMs = Array.from({ length: tasks }, () =>
    gang ? gangMs : perhapsLong(stepWorkMs * random.logNormal(1, kind.uneven)),
  );
  const failingRuns = workMs.map(() => (random.uniform() < kind.fails ? 1 : 0));
  const step = {
    tasks,
    demand,
    gang,
    rackSensitive,
    duplicates: false,
    lasting: false,
    fills: false,
    mayMiss: 0,
  };
  return { step, known: { workMs, failingRuns }, usualMs: stepWorkMs };
}
