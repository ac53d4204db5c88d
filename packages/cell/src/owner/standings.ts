/** What the order of placing needs to know of each job. */
import type { StepProgress } from '../job/progress.js';
import { criticalPathMs, type Demand, type Step } from '../job/submission.js';
import type { DurationEstimator } from '../placing/duration-estimator.js';
import type { UrgencyFactors } from '../placing/job-urgency.js';
import type { OwnedJob } from './owned-job.js';

/** Cores that count as one accelerator in a job's work: the platform's own weight. */
const MILLI_CORES_PER_ACCELERATOR = 8000;

/** Jobs of a queue whose mean work is remembered: the weight of the newest. */
const MEAN_WEIGHT = 0.05;

/** Room that a task of this step takes: what fills the rest isn't counted in cores. */
export function roomDemand(step: Step): Demand {
  return step.fills ? { ...step.demand, milliCores: 0 } : step.demand;
}

/** Accelerators of a demand, cores counted along. */
export function acceleratorsOf({ accelerators, milliCores }: Demand): number {
  return accelerators + milliCores / MILLI_CORES_PER_ACCELERATOR;
}

/** Accelerator-milliseconds of one task that takes this long. */
function taskWork({ demand }: Step, durationMs: number): number {
  return acceleratorsOf(demand) * durationMs;
}

/** Accelerator-milliseconds of all steps once. */
export function totalWork(steps: readonly Step[], expectedMs: (step: Step) => number): number {
  return steps.reduce((sum, step) => sum + step.tasks * taskWork(step, expectedMs(step)), 0);
}

/**
 * How long a task of each step of the job is expected to take, in ms: as long as one of that step took, and before that
 * what the queue's tasks make of its estimate, which may be off by a factor of three.
 */
export function durationsOf(job: OwnedJob, durations: DurationEstimator): (step: Step) => number {
  return (step) => job.tookMs(step) ?? durations.expectedMs(job.submission.queue, step.estimateMs);
}

/** Most accelerators that the job uses at once if it runs unhindered: those of its widest step. */
export function acceleratorsNeeded(steps: readonly Step[]): number {
  return Math.max(...steps.map(({ tasks, demand }) => tasks * demand.accelerators));
}

/** Mean work of each queue's jobs, over those seen lately. */
export class QueueMeans {
  readonly #means = new Map<string, number>();

  note(queue: string, work: number): void {
    const mean = this.#means.get(queue);
    this.#means.set(queue, mean === undefined ? work : mean + MEAN_WEIGHT * (work - mean));
  }

  of(queue: string): number {
    return this.#means.get(queue) ?? 0;
  }
}

/**
 * From its acceptance a job should take no longer than this, as far as can be told, in ms. Runs that failed count as part of
 * its work, as in the contract: otherwise a gang that has failed once counts as late and comes after all others.
 */
export function objectiveMs(job: OwnedJob, durations: DurationEstimator, occurrence = 0): number {
  const { submission, terms, progress } = job;
  const expectedMs = durationsOf(job, durations);
  const steps = progress.occurrences.find(({ index }) => index === occurrence)?.steps ?? [];
  const chainMs = criticalPathMs(
    submission.steps,
    (step, index) => (1 + failedRuns(steps[index])) * expectedMs(step),
  );
  return terms.stretch * chainMs + terms.targetLatencyMs;
}

/** One after the other, of the gang or of the task that failed most often. */
function failedRuns(step: StepProgress | undefined): number {
  if (step === undefined) return 0;
  return Math.max(step.failures, ...step.tasks.map(({ failures }) => failures));
}

/** A step in short, for logs: tasks, what each takes, and what restricts it. */
export function describeStep({ tasks, demand, estimateMs, ...step }: Step): string {
  const marks = [
    step.gang ? 'gang' : '',
    step.rackSensitive ? 'one-rack' : '',
    step.preferredRack === undefined ? '' : `near-${step.preferredRack}`,
    step.requiredLabel === undefined ? '' : `on-${step.requiredLabel}`,
    step.maxPerWorker === undefined ? '' : `apart-${step.maxPerWorker}`,
    step.checkpointing ? 'saves' : '',
    step.lasting ? 'lasts' : '',
    step.fills ? 'fills' : '',
  ].filter((mark) => mark !== '');
  return [`${tasks}x${demand.accelerators}acc/${estimateMs}ms`, ...marks].join('+');
}

/** Where a job stands at this time of day. */
export function standingOf(
  job: OwnedJob,
  {
    claim,
    wallMs,
    means,
    durations,
    occurrence,
  }: {
    claim: boolean;
    wallMs: number;
    means: QueueMeans;
    durations: DurationEstimator;
    occurrence: number;
  },
): UrgencyFactors {
  const expectedMs = durationsOf(job, durations);
  const { submission, terms, progress } = job;
  const { schedule, steps } = submission;
  const dueMs =
    schedule === undefined
      ? submission.acceptedAtMs
      : schedule.firstAtMs + occurrence * schedule.everyMs;
  const left = progress.occurrences.find(({ index }) => index === occurrence)?.steps ?? [];
  const leftSteps = steps.filter((_, index) => left[index]?.tasks.some(({ done }) => !done));
  const leftWork = steps.reduce((sum, step, index) => {
    const open = left[index]?.tasks.filter(({ done }) => !done).length ?? 0;
    return sum + open * taskWork(step, expectedMs(step));
  }, 0);
  return {
    priority: terms.priority,
    claim,
    totalWork: totalWork(steps, expectedMs),
    remainingWork: leftWork,
    meanWork: means.of(submission.queue),
    ageMs: Math.max(0, wallMs - dueMs),
    objectiveMs: objectiveMs(job, durations, occurrence),
    remainingCriticalPathMs: Math.max(0, ...leftSteps.map(expectedMs)),
  };
}

/**
 * Jobs of priority 0 that their accounts' guarantees cover: in the order of their acceptance, as long as all of them
 * together need no more than is guaranteed.
 */
export function findClaims(
  jobs: readonly OwnedJob[],
  guaranteedOf: (account: string) => number,
): Set<OwnedJob> {
  const used = new Map<string, number>();
  const claims = jobs
    .filter(({ terms, progress }) => terms.priority === 0 && progress.outcome === 'open')
    .sort((a, b) => a.submission.acceptedAtMs - b.submission.acceptedAtMs)
    .filter(({ submission }) => {
      const { account } = submission;
      const needed = (used.get(account) ?? 0) + acceleratorsNeeded(submission.steps);
      if (needed > guaranteedOf(account)) return false;
      used.set(account, needed);
      return true;
    });
  return new Set(claims);
}
