/** The workers of a cell that take tasks, and when their runs are expected to end. */
import type { RunRegistry } from '../owner/run-registry.js';
import type { Assignment } from '../worker/worker.js';
import type { LoadedWorker } from './load-summary-builder.js';

/** Expected remaining time of a run that takes longer than expected, as a share of its expected duration. */
const OVERDUE_SHARE = 0.25;

const FULL_PERCENT = 100;

/** Workers on which something may start now. */
export function loadedWorkers(registry: RunRegistry): LoadedWorker[] {
  return [...registry.fleet.all()]
    .filter((worker) => registry.fleet.isSchedulable(worker))
    .map(({ runner, assignments }) => ({
      service: runner?.service ?? '',
      capacity: runner?.capacity ?? { milliCores: 0, memoryMb: 0, accelerators: 0 },
      runs: [...assignments.values()].map((assignment) => ({
        demand: assignment.demand,
        endsInMs: endsInMs(registry, assignment),
        isUrgent: (registry.jobs.get(assignment.jobId)?.terms.priority ?? 0) === 0,
      })),
    }));
}

/** Expected remaining time of a run, by its own progress if it reports any. */
function endsInMs(registry: RunRegistry, assignment: Assignment): number {
  const job = registry.jobs.get(assignment.jobId);
  const step = registry.stepOf(assignment);
  if (job === undefined || step === undefined) return 0;
  if (step.lasting) return Infinity;
  const expectedMs = registry.expectedTaskMs(job, step);
  const { runningAt, percent, firstPercent } = assignment;
  if (runningAt === undefined) return expectedMs;
  const ranMs = registry.now() - runningAt;
  if (percent > firstPercent) {
    return (ranMs * (FULL_PERCENT - percent)) / (percent - firstPercent);
  }
  const leftMs = expectedMs * (1 - firstPercent / FULL_PERCENT) - ranMs;
  return Math.max(leftMs, OVERDUE_SHARE * expectedMs);
}
