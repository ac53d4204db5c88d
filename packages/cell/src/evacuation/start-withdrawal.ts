/** Withdraws runs that have not started yet in an evacuated failure domain. Runs that have started there run to their end. */
import type { Assignment, Worker } from '../worker/worker.js';
import type { RunRegistry } from '../owner/run-registry.js';

const REASON = 'failure domain evacuated';

/** Returns how many runs were withdrawn and how many continue there. */
export function withdrawPendingStarts(
  registry: RunRegistry,
  failureDomain: string,
): { withdrawn: number; running: number } {
  const workers = [...registry.fleet.all()].filter(
    ({ runner }) => runner?.failureDomain === failureDomain,
  );
  const counts = { withdrawn: 0, running: 0 };
  workers.forEach((worker) =>
    [...worker.assignments.values()].forEach((assignment) => {
      if (assignment.runningAt !== undefined) counts.running += 1;
      else if (withdraw(registry, worker, assignment)) counts.withdrawn += 1;
    }),
  );
  return counts;
}

function withdraw(registry: RunRegistry, worker: Worker, assignment: Assignment): boolean {
  if (assignment.stopping !== undefined) return false;
  // A run that isn't durable was never ordered. It also must not be written any more: that write would fail repeatedly.
  if (!registry.orders.isDurable(assignment)) registry.markLost(worker, assignment, REASON);
  else registry.stopRun(assignment, REASON);
  return true;
}
