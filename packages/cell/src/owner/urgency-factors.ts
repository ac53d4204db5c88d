/** Computes what the placement order needs to know about each job: work, durations, objective and guarantee. */
import type { StepProgress } from '../job/progress.js';
import { criticalPathMs, type Demand, type Step } from '../job/submission.js';
import type { FleetProfile } from '../placing/fleet-profile.js';
import type { DurationEstimator } from '../placing/duration-estimator.js';
import type { UrgencyFactors } from '../placing/job-urgency.js';
import type { OwnedJob } from './owned-job.js';

/** Weight of the newest job in the moving average of a queue's work. */
const MEAN_WEIGHT = 0.05;

/** Capacity that a task of this step reserves. Tasks that fill leftover capacity reserve no cores. */
export function reservedDemand(step: Step): Demand {
  return step.fills ? { ...step.demand, milliCores: 0 } : step.demand;
}

/** Work of one task of a step, in accelerator-ms; all a job's steps run on workers of its service. */
export type TaskWork = (step: Step) => number;

/** Measures the tasks of a job by what they take of its service's workers, and for how long. */
export function taskWorkOf(
  job: OwnedJob,
  profile: FleetProfile,
  expectedMs: (step: Step) => number,
): TaskWork {
  return (step) =>
    profile.acceleratorEquivalents(job.terms.service, step.demand) * expectedMs(step);
}

/** Work of all steps, each counted once, in accelerator-ms. */
export function totalWork(steps: readonly Step[], taskWork: TaskWork): number {
  return steps.reduce((sum, step) => sum + step.tasks * taskWork(step), 0);
}

/**
 * Expected duration of a task of each step, in ms: as measured for the step's newest finished task; before that, the estimate
 * corrected by the durations of the queue's tasks, as estimates may be off by a factor of three.
 */
export function expectedDurations(
  job: OwnedJob,
  durations: DurationEstimator,
): (step: Step) => number {
  return (step) =>
    job.lastTaskMs(step) ?? durations.expectedMs(job.submission.queue, step.estimateMs);
}

/** Most accelerators that an unhindered job uses at once: those of its widest step. */
export function peakAccelerators(steps: readonly Step[]): number {
  return Math.max(...steps.map(({ tasks, demand }) => tasks * demand.accelerators));
}

/** Moving average of the work per job of each queue. */
export class QueueMeanWork {
  readonly #means = new Map<string, number>();

  record(queue: string, work: number): void {
    const mean = this.#means.get(queue);
    this.#means.set(queue, mean === undefined ? work : mean + MEAN_WEIGHT * (work - mean));
  }

  of(queue: string): number {
    return this.#means.get(queue) ?? 0;
  }
}

/**
 * Objective for the time from a job's acceptance to its completion, in ms, by the present estimates. Failed runs count as part of
 * the work, as in the contract: otherwise a gang that has failed once would count as late and rank after all others.
 */
export function objectiveMs(job: OwnedJob, durations: DurationEstimator, occurrence = 0): number {
  const { submission, terms, progress } = job;
  const expectedMs = expectedDurations(job, durations);
  const steps = progress.occurrences.find(({ index }) => index === occurrence)?.steps ?? [];
  const chainMs = criticalPathMs(
    submission.steps,
    (step, index) => (1 + failedRuns(steps[index])) * expectedMs(step),
  );
  return terms.stretch * chainMs + terms.targetLatencyMs;
}

/** Failed runs that followed each other: those of the gang, or of the task that failed most often. */
function failedRuns(step: StepProgress | undefined): number {
  if (step === undefined) return 0;
  return Math.max(step.failures, ...step.tasks.map(({ failures }) => failures));
}

/** Short form of a step for logs: number of tasks, demand and estimate of each, and constraints. */
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

/** Ranking inputs of one occurrence of a job at this time of day. */
export function urgencyFactorsOf(
  job: OwnedJob,
  {
    isGuaranteed,
    wallMs,
    profile,
    queueMeans,
    durations,
    occurrence,
  }: {
    isGuaranteed: boolean;
    wallMs: number;
    profile: FleetProfile;
    queueMeans: QueueMeanWork;
    durations: DurationEstimator;
    occurrence: number;
  },
): UrgencyFactors {
  const expectedMs = expectedDurations(job, durations);
  const taskWork = taskWorkOf(job, profile, expectedMs);
  const { submission, terms, progress } = job;
  const { schedule, steps } = submission;
  const dueMs =
    schedule === undefined
      ? submission.acceptedAtMs - job.refusedForMs
      : schedule.firstAtMs + occurrence * schedule.everyMs;
  const remaining = progress.occurrences.find(({ index }) => index === occurrence)?.steps ?? [];
  const remainingSteps = steps.filter((_, index) =>
    remaining[index]?.tasks.some(({ done }) => !done),
  );
  const leftWork = steps.reduce((sum, step, index) => {
    const open = remaining[index]?.tasks.filter(({ done }) => !done).length ?? 0;
    return sum + open * taskWork(step);
  }, 0);
  return {
    priority: terms.priority,
    claim: isGuaranteed,
    totalWork: totalWork(steps, taskWork),
    remainingWork: leftWork,
    meanWork: queueMeans.of(submission.queue),
    ageMs: Math.max(0, wallMs - dueMs),
    objectiveMs: objectiveMs(job, durations, occurrence),
    remainingCriticalPathMs: Math.max(0, ...remainingSteps.map(expectedMs)),
  };
}

/**
 * Jobs of priority 0 covered by their accounts' guarantees, in order of acceptance, as long as all of an account's jobs together
 * need no more than is guaranteed.
 */
export function findGuaranteedJobs(
  jobs: readonly OwnedJob[],
  guaranteedOf: (account: string) => number,
): Set<OwnedJob> {
  const used = new Map<string, number>();
  const guaranteedJobs = jobs
    .filter(({ terms, progress }) => terms.priority === 0 && progress.outcome === 'open')
    .sort((a, b) => a.submission.acceptedAtMs - b.submission.acceptedAtMs)
    .filter(({ submission }) => {
      const { account } = submission;
      const needed = (used.get(account) ?? 0) + peakAccelerators(submission.steps);
      if (needed > guaranteedOf(account)) return false;
      used.set(account, needed);
      return true;
    });
  return new Set(guaranteedJobs);
}
