/**
 * Order in which jobs are placed: highest value per remaining accelerator-second first. Accelerators are scarce, small urgent
 * jobs arrive among long ones, and a job that is too late to be of use loses nothing more by waiting.
 */

/** Properties of a waiting job that determine its urgency. Times in ms. */
export interface UrgencyFactors {
  /** 0 is the most urgent. */
  priority: number;
  /** Within its account's guarantee, so it must start. */
  claim: boolean;
  /** Accelerator-milliseconds of all its tasks, and of those that aren't done yet. */
  totalWork: number;
  remainingWork: number;
  /** Mean of `totalWork` over the jobs of its queue. */
  meanWork: number;
  /** Time since the job was accepted or its occurrence was due. */
  ageMs: number;
  /** Age by which the job should be complete. */
  objectiveMs: number;
  /** Critical path of the remaining steps, by expected durations. */
  remainingCriticalPathMs: number;
}

/** Relative value of jobs of priorities 0, 1 and 2 to their users; lower priorities count like the last one. */
const PRIORITY_WEIGHTS = [4, 3, 1];

/** Value of a job with hardly any work, where a job of mean size has 1: keeps large jobs from starving small ones. */
const MIN_SIZE_FACTOR = 0.3;

/** Upper bound of a job's value, as a multiple of its queue's mean job. */
const MAX_SIZE_FACTOR = 4;

/** A job that ends later than this many times its objective no longer has the value of a late job. */
export const LATE_LIMIT_OBJECTIVES = 3;

/** Share of its value that a late job keeps. */
export const LATE_VALUE_FACTOR = 0.27;

/** Share that remains after that: such a job comes last but is still run, as it was accepted. */
export const EXPIRED_VALUE_FACTOR = 0.05;

/** Upper bound of the factor by which waiting raises urgency, so that a large job gets ahead of new small ones of similar value. */
const MAX_AGING_FACTOR = 2;

/** Lower bound of work in divisions, below which their results would be meaningless. */
const MIN_WORK_ACCELERATOR_MS = 200;

/** Value of the whole job if it is done in time; a job of mean size and the lowest priority has 1. */
export function jobValue({ priority, totalWork, meanWork }: UrgencyFactors): number {
  const weight = PRIORITY_WEIGHTS[Math.min(priority, PRIORITY_WEIGHTS.length - 1)] ?? 1;
  const sizeFactor = Math.min(
    MAX_SIZE_FACTOR,
    MIN_SIZE_FACTOR +
      (1 - MIN_SIZE_FACTOR) * (totalWork / Math.max(MIN_WORK_ACCELERATOR_MS, meanWork)),
  );
  return weight * sizeFactor;
}

/** Jobs with higher urgency are placed first. */
export function urgencyOf(factors: UrgencyFactors): number {
  const valueDensity = jobValue(factors) / Math.max(MIN_WORK_ACCELERATOR_MS, factors.remainingWork);
  const agingFactor = Math.min(
    MAX_AGING_FACTOR,
    1 + factors.ageMs / Math.max(1, factors.objectiveMs),
  );
  return valueDensity * latenessFactor(factors) * agingFactor;
}

/** Sorts claims first, then by descending urgency. */
export function compareByUrgency(a: UrgencyFactors, b: UrgencyFactors): number {
  if (a.claim !== b.claim) return a.claim ? -1 : 1;
  return urgencyOf(b) - urgencyOf(a);
}

function latenessFactor({ ageMs, remainingCriticalPathMs, objectiveMs }: UrgencyFactors): number {
  const endMs = ageMs + remainingCriticalPathMs;
  if (endMs <= objectiveMs) return 1;
  return endMs <= LATE_LIMIT_OBJECTIVES * objectiveMs ? LATE_VALUE_FACTOR : EXPIRED_VALUE_FACTOR;
}
