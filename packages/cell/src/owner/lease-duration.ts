/** How long a contact extends the lease of a worker's tasks. */
import type { RunnerFacts } from '@zincspan/core';

/**
 * Upper bound, also where runners would hold tasks for longer. A killed guard is back within 5 s, and the tasks of a worker that
 * is lost for good wait for this long before they start elsewhere.
 */
const MAX_LEASE_MS = 6000;

/** For a draining runner: once it is silent it has most likely exited. Leaves time for four contacts. */
const DRAINING_LEASE_MS = 2000;

/** Counted from when the contact was sent. `holdMs`: how long the runner holds tasks at most. */
export function leaseDurationMs(runner: RunnerFacts | undefined, holdMs: number): number {
  const maxMs = Math.min(MAX_LEASE_MS, holdMs);
  return runner?.draining ? Math.min(DRAINING_LEASE_MS, maxMs) : maxMs;
}
