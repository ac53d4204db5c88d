/** Looks over the runs of a cell for those that should go on elsewhere. */
import { isStalled } from '../worker/stalled-run.js';
import type { Assignment } from '../worker/worker.js';
import type { RunBook } from './run-book.js';

/**
 * A draining runner that says it may end within this time, in ms: a heartbeat is 1.5 s apart, and a stop with its
 * checkpoint takes up to 0.9 s.
 */
const EVACUATE_BEFORE_MS = 2500;

/**
 * A run's own pace says how long it takes once it has been watched for this long, in ms, and this much of it was done
 * meanwhile, in percent: what a contact tells is up to 900 ms old.
 */
const LEAST_WATCH_MS = 2000;
const LEAST_PERCENT = 5;

const FULL_PERCENT = 100;

/**
 * Stops runs that stand still, and gives their jobs another worker. What a runner that gives no answer listed last is old and
 * says nothing: after a crash each run there would count against the worker, which two of them close for 5 s or more.
 */
export function stopStandstills(book: RunBook): void {
  const answering = [...book.fleet.all()].filter(({ runner }) => runner?.reachable);
  answering.forEach((worker) =>
    worker.assignments.forEach((assignment) => {
      const { jobId, ref, name } = assignment;
      const job = book.jobs.get(jobId);
      const step = job?.submission.steps[ref.step];
      if (job === undefined || step === undefined || step.lasting) return;
      const { estimateMs } = step;
      if (!isStalled(assignment, { estimateMs, contactAt: worker.contactAt })) return;
      job.avoid(ref, worker.vm, book.now());
      book.noteFault(worker, name, 'a run stood still');
      book.stop(assignment, 'stood still');
    }),
  );
}

/**
 * Stops runs on draining runners that would end with them: those that save checkpoints, and tasks that last, shortly
 * before; the others as soon as it is clear that they won't be done in time, so that they start anew elsewhere.
 */
export function evacuate(book: RunBook): void {
  [...book.fleet.all()].forEach((worker) => {
    if (!worker.runner?.draining) return;
    const leftMs = worker.drainEndsAt - book.now();
    worker.assignments.forEach((assignment) => {
      const step = book.jobs.get(assignment.jobId)?.submission.steps[assignment.ref.step];
      if (step === undefined) return;
      const mayWait = step.checkpointing || step.lasting;
      const isDue = mayWait ? leftMs < EVACUATE_BEFORE_MS : workLeftMs(book, assignment) > leftMs;
      if (isDue) book.stop(assignment, 'runner ends soon');
    });
  });
}

/** How long the run still takes: by its own pace once it shows one, by what its queue's tasks take before. */
function workLeftMs(book: RunBook, assignment: Assignment): number {
  const { jobId, ref, percent, firstPercent, runningAt, progressAt } = assignment;
  const job = book.jobs.get(jobId);
  const step = job?.submission.steps[ref.step];
  if (job === undefined || step === undefined) return 0;
  if (runningAt === undefined) return book.expectedMs(job, step);
  const gained = percent - firstPercent;
  const sinceMs = book.now() - progressAt;
  if (gained < LEAST_PERCENT || progressAt - runningAt < LEAST_WATCH_MS) {
    return Math.max(0, book.expectedMs(job, step) - (book.now() - runningAt));
  }
  return ((progressAt - runningAt) * (FULL_PERCENT - percent)) / gained - sinceMs;
}
