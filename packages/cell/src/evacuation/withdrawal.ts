/** Takes back what was to start in a failure domain that the operator has evacuated. What has begun there goes on to its end. */
import type { Assignment, Worker } from '../worker/worker.js';
import type { RunRegistry } from '../owner/run-registry.js';

const REASON = 'failure domain evacuated';

/** Answers how many runs were taken back and how many go on there. */
export function withdrawStarts(
  book: RunRegistry,
  failureDomain: string,
): { withdrawn: number; running: number } {
  const workers = [...book.fleet.all()].filter(
    ({ runner }) => runner?.failureDomain === failureDomain,
  );
  const counts = { withdrawn: 0, running: 0 };
  workers.forEach((worker) =>
    [...worker.assignments.values()].forEach((assignment) => {
      if (assignment.runningAt !== undefined) counts.running += 1;
      else if (withdraw(book, worker, assignment)) counts.withdrawn += 1;
    }),
  );
  return counts;
}

function withdraw(book: RunRegistry, worker: Worker, assignment: Assignment): boolean {
  if (assignment.stopping !== undefined) return false;
  // Nothing was ordered before it was durable. It also mustn't be written any more: that write would fail again and again.
  if (!book.orders.isDurable(assignment)) book.markLost(worker, assignment, REASON);
  else book.stopRun(assignment, REASON);
  return true;
}
