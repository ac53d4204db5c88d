/** Stops runs that should continue elsewhere: stalled ones, and those on runners that are about to exit. */
import { isStalled } from '../worker/stalled-run.js';
import type { Assignment, Worker } from '../worker/worker.js';
import { extrapolatedRemainingMs } from './remaining-time.js';
import type { RunRegistry } from './run-registry.js';

/**
 * Runs that may be stopped late are stopped once a draining runner may exit within this time: heartbeats are 1.5 s apart, and a
 * stop with its checkpoint takes up to 0.9 s.
 */
const STOP_BEFORE_EXIT_MS = 2500;

/**
 * Stops runs that make no progress, and keeps their steps off the worker for a while. Runners that don't answer are skipped, as
 * their last list of runs is outdated: after a crash each run there would count as a fault of the worker, and two faults close
 * it for 5 s or more.
 */
export function stopStalledRuns(registry: RunRegistry): void {
  const answering = [...registry.fleet.all()].filter((worker) => worker.hasReachableRunner);
  answering.forEach((worker) =>
    worker.assignments.forEach((assignment) => {
      const { jobId, ref, name } = assignment;
      const job = registry.jobs.get(jobId);
      const step = job?.submission.steps[ref.step];
      if (job === undefined || step === undefined || step.lasting) return;
      const { estimateMs } = step;
      if (!isStalled(assignment, { estimateMs, contactAt: worker.contactAt })) return;
      job.avoidWorker(ref, worker.vm, registry.now());
      registry.recordFault(worker, name, 'run stalled');
      registry.stopRun(assignment, 'run stalled');
    }),
  );
}

/**
 * Stops runs that would end with their draining runner. Checkpointing and long-running ones are stopped shortly before the runner
 * exits; the others as soon as they are not expected to finish in time, so that they restart elsewhere.
 */
export function stopRunsBeforeDrainEnds(registry: RunRegistry): void {
  [...registry.fleet.all()].forEach((worker) => {
    if (!worker.runner?.draining) return;
    const untilExitMs = worker.drainEndsAt - registry.now();
    worker.assignments.forEach((assignment) => {
      const step = registry.jobs.get(assignment.jobId)?.submission.steps[assignment.ref.step];
      if (step === undefined) return;
      const mayStopLate = step.checkpointing || step.lasting;
      const isDue = mayStopLate
        ? untilExitMs < STOP_BEFORE_EXIT_MS
        : remainingMs(registry, worker, assignment) > untilExitMs;
      if (isDue) registry.stopRun(assignment, 'runner exits soon');
    });
  });
}

/** Expected remaining time: extrapolated from the run's own progress once that is known, from the queue's task durations before. */
function remainingMs(registry: RunRegistry, worker: Worker, assignment: Assignment): number {
  const { jobId, ref, runningAt } = assignment;
  const job = registry.jobs.get(jobId);
  const step = job?.submission.steps[ref.step];
  if (job === undefined || step === undefined) return 0;
  const expectedMs = registry.expectedTaskMs(job, step) / worker.speed.speed;
  if (runningAt === undefined) return expectedMs;
  return (
    extrapolatedRemainingMs(assignment, registry.now()) ??
    Math.max(0, expectedMs - (registry.now() - runningAt))
  );
}
