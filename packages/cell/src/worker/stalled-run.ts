/** Detects stalled runs: the runner lists the run, but its percentage of completed work doesn't grow. */
import type { Assignment } from './worker.js';

/**
 * Shortest time without progress that counts as a stall, in ms: longer than a task's start, the restoring of a checkpoint, the
 * wait for a gang's members and the interval between two listings.
 */
const MIN_STALL_TIMEOUT_MS = 1800;

/**
 * Share of the estimate: four times what one percent takes, as a wrong rack or a wrong estimate makes it take up to four times as
 * long.
 */
const ESTIMATE_FACTOR = 0.04;

/** How long a run with this estimate may make no progress, in ms. */
function stallTimeoutMs(estimateMs: number): number {
  return Math.max(MIN_STALL_TIMEOUT_MS, ESTIMATE_FACTOR * estimateMs);
}

/** True if the run has stalled. `contactAt`: the worker's last contact, on the same clock as the assignment's times. */
export function isStalled(
  { runningAt, progressAt, percent, stopping }: Assignment,
  { estimateMs, contactAt }: { estimateMs: number; contactAt: number },
): boolean {
  if (runningAt === undefined || stopping !== undefined || percent >= 100) return false;
  return contactAt - progressAt > stallTimeoutMs(estimateMs);
}
