/** Describes a run as the speeds of workers are learned from it. */
import type { ObservedRun } from '../worker/speed-learner.js';
import type { Assignment, Worker } from '../worker/worker.js';
import type { RunRegistry } from './run-registry.js';

/** Undefined if the run's job isn't known. */
export function observedRun(
  registry: RunRegistry,
  assignment: Assignment,
): ObservedRun | undefined {
  const job = registry.jobs.get(assignment.jobId);
  const step = registry.stepOf(assignment);
  if (job === undefined || step === undefined) return undefined;
  const gangWorkers = (): Worker[] =>
    step.gang ? job.activeVms(assignment).map((vm) => registry.fleet.get(vm)) : [];
  return { assignment, queue: job.submission.queue, step, gangWorkers };
}
