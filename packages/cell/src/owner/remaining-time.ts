/** Expected remaining time of runs, from their own progress or from the durations of their queue's tasks. */
import type { Assignment } from '../worker/worker.js';

/**
 * A run's remaining time is extrapolated from its own progress once it has been observed for this long and has gained this many
 * percent meanwhile: progress reported by a contact is up to 900 ms old.
 */
const MIN_OBSERVED_MS = 2000;
const MIN_GAIN_PERCENT = 5;

const FULL_PERCENT = 100;

/** A run whose progress is older than this and than two of its percent is slower than it was. */
const MAX_PROGRESS_AGE_MS = 900;

/**
 * A run that should have ended by its expected duration, or that has become slow, is expected to take this share of its time so far
 * in addition: durations vary by a factor of 1.6 (standard deviation of the logarithm 0.5).
 */
const OVERDUE_SHARE = 0.3;

/** Remaining time by the run's own progress, in ms, below 0 if it is late; undefined until that is known. */
export function extrapolatedRemainingMs(
  { percent, firstPercent, runningAt, progressAt }: Assignment,
  now: number,
): number | undefined {
  if (runningAt === undefined) return undefined;
  const gained = percent - firstPercent;
  if (gained < MIN_GAIN_PERCENT || progressAt - runningAt < MIN_OBSERVED_MS) return undefined;
  return ((progressAt - runningAt) * (FULL_PERCENT - percent)) / gained - (now - progressAt);
}

/** Remaining time of a run for forecasts, in ms. `expectedMs`: of the whole task. */
export function forecastRemainingMs(
  assignment: Assignment,
  { expectedMs, now }: { expectedMs: number; now: number },
): number {
  const { runningAt, assignedAt, firstPercent, progressAt } = assignment;
  const elapsedMs = now - (runningAt ?? assignedAt);
  const own = extrapolatedRemainingMs(assignment, now);
  const overdueMs = OVERDUE_SHARE * elapsedMs;
  if (own === undefined) {
    return Math.max(
      overdueMs,
      (expectedMs * (FULL_PERCENT - firstPercent)) / FULL_PERCENT - elapsedMs,
    );
  }
  const gained = assignment.percent - firstPercent;
  const msPerPercent = (progressAt - (runningAt ?? assignedAt)) / gained;
  const isSlower = now - progressAt > Math.max(MAX_PROGRESS_AGE_MS, 2 * msPerPercent);
  return Math.max(isSlower ? overdueMs : 0, own);
}
