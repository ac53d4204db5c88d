/**
 * What a stop gains for the group that gets the capacity, and what it costs the job that loses it, in the unit of `jobValue`. Both
 * come from the value that a job is expected to keep: all of it in time, less when late, hardly any when useless.
 */
import {
  EXPIRED_VALUE_FACTOR,
  LATE_LIMIT_OBJECTIVES,
  LATE_VALUE_FACTOR,
  jobValue,
  type UrgencyFactors,
} from './job-urgency.js';

/**
 * Standard deviation of the logarithm of expected durations: callers' estimates are off by 0.2 to 0.5. The time that a job can wait
 * grows with its duration and is as uncertain.
 */
const DURATION_ERROR = 0.5;

/** A logistic distribution with this scale has nearly the quantiles of a normal one with standard deviation 1. */
const LOGISTIC_SCALE = 1.702;

/**
 * What becomes free by itself goes partly to others, and some runs become slow: a group is assumed to wait this many times as long
 * as forecast, see docs/design/stops-by-value.md.
 */
const WAIT_FACTOR = 2;

/** Gain of starting a job's group after a stop, at `stopMs` from now, instead of at `waitMs`, when capacity becomes free by itself. */
export function gainOfStop(
  factors: UrgencyFactors,
  { stopMs, waitMs }: { stopMs: number; waitMs: number },
): number {
  const { ageMs } = factors;
  return (
    jobValue(factors) *
    lostShare(factors, { from: ageMs + stopMs, to: ageMs + Math.max(stopMs, WAIT_FACTOR * waitMs) })
  );
}

/** What is known about runs of one job that would be stopped. */
export interface StoppedRuns {
  /** Time since the oldest of the runs was started, and the part of it whose results are kept, in ms. */
  elapsedMs: number;
  keptMs: number;
  /** Other tasks of the job still wait, so that its end doesn't follow from these runs alone. */
  hasWaitingTasks: boolean;
  /** From the stop until the tasks start again, in ms. */
  restartMs: number;
}

/**
 * Value of the work that a stop throws away: its share of the job's work times the job's value. Doing it again also displaces as
 * much of what the cell's jobs need, at their mean value for each accelerator-ms.
 */
export function valueOfWork(
  factors: UrgencyFactors,
  { lostWork, valuePerWork }: { lostWork: number; valuePerWork: number },
): number {
  const ownShare = Math.min(1, lostWork / Math.max(1, factors.totalWork));
  return jobValue(factors) * ownShare + valuePerWork * lostWork;
}

/** Value of all these jobs for each accelerator-ms of their work. */
export function meanValuePerWork(jobs: readonly UrgencyFactors[]): number {
  const value = jobs.reduce((sum, factors) => sum + jobValue(factors), 0);
  const work = jobs.reduce((sum, { totalWork }) => sum + totalWork, 0);
  return value / Math.max(1, work);
}

/** Value that the job of the stopped runs loses by ending later. */
export function valueOfDelay(factors: UrgencyFactors, stopped: StoppedRuns): number {
  const { ageMs } = factors;
  const { elapsedMs, keptMs, hasWaitingTasks, restartMs } = stopped;
  const from = hasWaitingTasks ? ageMs : ageMs - elapsedMs;
  return jobValue(factors) * lostShare(factors, { from, to: ageMs - keptMs + restartMs });
}

/** Share of its value that a job loses if the time it doesn't work grows from `from` to `to`, in ms. */
function lostShare(factors: UrgencyFactors, { from, to }: { from: number; to: number }): number {
  return Math.max(0, expectedShare(factors, from) - expectedShare(factors, to));
}

/** Share of its value that the job is expected to keep if it idles for this long in all, in ms. */
function expectedShare(
  { objectiveMs, remainingCriticalPathMs }: UrgencyFactors,
  idleMs: number,
): number {
  const inTime = probabilityWithin(objectiveMs - remainingCriticalPathMs, idleMs);
  const useful = probabilityWithin(
    LATE_LIMIT_OBJECTIVES * objectiveMs - remainingCriticalPathMs,
    idleMs,
  );
  return (
    EXPIRED_VALUE_FACTOR +
    (LATE_VALUE_FACTOR - EXPIRED_VALUE_FACTOR) * useful +
    (1 - LATE_VALUE_FACTOR) * inTime
  );
}

/** Probability that the idle time is within a slack that is known up to `DURATION_ERROR`. */
function probabilityWithin(slackMs: number, idleMs: number): number {
  if (slackMs <= 0) return 0;
  if (idleMs <= 0) return 1;
  return 1 / (1 + (idleMs / slackMs) ** (LOGISTIC_SCALE / DURATION_ERROR));
}
