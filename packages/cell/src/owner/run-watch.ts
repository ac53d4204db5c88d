/** Looks over the runs of a cell for those that should go on elsewhere. */
import { standsStill } from '../worker/standstill.js';
import type { RunBook } from './run-book.js';

/**
 * A draining runner that says it may end within this time, in ms: a heartbeat is 1.5 s apart, and a stop with its
 * checkpoint takes up to 0.9 s.
 */
const EVACUATE_BEFORE_MS = 2500;

/** Stops runs that stand still, and gives their jobs another worker. */
export function stopStandstills(book: RunBook): void {
  [...book.fleet.all()].forEach((worker) =>
    worker.assignments.forEach((assignment) => {
      const { jobId, ref, name } = assignment;
      const job = book.jobs.get(jobId);
      const step = job?.submission.steps[ref.step];
      if (job === undefined || step === undefined || step.lasting) return;
      const { estimateMs } = step;
      if (!standsStill(assignment, { estimateMs, contactAt: worker.contactAt })) return;
      job.avoid(ref, worker.vm, book.now());
      book.noteFault(worker, name, 'a run stood still');
      book.stop(assignment, 'stood still');
    }),
  );
}

/** Stops runs that save checkpoints shortly before their draining runner ends: they go on elsewhere. */
export function evacuate(book: RunBook): void {
  [...book.fleet.all()].forEach((worker) => {
    const { runner } = worker;
    if (!runner?.draining || (runner.remainingMs ?? Infinity) > EVACUATE_BEFORE_MS) return;
    worker.assignments.forEach((assignment) => {
      const step = book.jobs.get(assignment.jobId)?.submission.steps[assignment.ref.step];
      if (step?.checkpointing) book.stop(assignment, 'runner ends soon');
    });
  });
}
