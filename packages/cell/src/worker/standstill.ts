/** Whether a run stands still: its runner lists it, and its share of done work doesn't grow. */
import type { Assignment } from './worker.js';

/**
 * Shortest time without progress that counts, in ms: above the start of a task, the restoring of a checkpoint, a gang's
 * wait and the pause between two listings.
 */
const LEAST_MS = 1800;

/** A percent takes this part of the estimate; four times as long on a wrong rack or with a wrong estimate. */
const ESTIMATE_SHARE = 0.04;

/** How long a run of this estimate may show no progress, in ms. */
function patienceMs(estimateMs: number): number {
  return Math.max(LEAST_MS, ESTIMATE_SHARE * estimateMs);
}

/** True if it does. `contactAt`: when its worker was last heard of, on the clock of the assignment's times. */
export function standsStill(
  { runningAt, progressAt, percent, stopping }: Assignment,
  { estimateMs, contactAt }: { estimateMs: number; contactAt: number },
): boolean {
  if (runningAt === undefined || stopping !== undefined || percent >= 100) return false;
  return contactAt - progressAt > patienceMs(estimateMs);
}
