/** How long a contact extends the lease of a worker's tasks. */
import type { CellContact, RunnerFacts } from '@zincspan/core';
import type { Worker } from '../worker/worker.js';

/**
 * Upper bound, also where runners would hold tasks for longer. A killed guard is back within 5 s, and the tasks of a worker that
 * is lost for good wait for this long before they start elsewhere.
 */
const MAX_LEASE_MS = 6000;

/** For a draining runner: once it is silent it has most likely exited. Leaves time for four contacts. */
const DRAINING_LEASE_MS = 2000;

/** Counted from when the contact was sent. `holdMs`: how long the runner holds tasks at most. */
function leaseDurationMs(runner: RunnerFacts | undefined, holdMs: number): number {
  const maxMs = Math.min(MAX_LEASE_MS, holdMs);
  return runner?.draining ? Math.min(DRAINING_LEASE_MS, maxMs) : maxMs;
}

/**
 * Extends the worker's lease for a contact; returns by how much the guard may extend the runner's, in ms. A guard that reports no
 * runner, and no start that may still reach one, passes no lease on: extending the worker's would hold the runs of a lost runner for
 * good. The first contact with an owner does so all the same, as the guard may have just passed on a lease of the owner before.
 */
export function grantLease(
  worker: Worker,
  { runner, inProgress }: CellContact,
  { now, holdMs }: { now: number; holdMs: number },
): number {
  const passesLeaseOn = runner !== undefined || inProgress.length > 0;
  if (!passesLeaseOn && worker.leaseEndsAt !== undefined) return 0;
  const leaseMs = leaseDurationMs(worker.runner, holdMs);
  worker.grantLease(now, leaseMs);
  return passesLeaseOn ? leaseMs : 0;
}
