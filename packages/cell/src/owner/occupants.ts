/** What runs in a cell, as sets that stop together, with what stopping each would throw away. */
import type { Assignment } from '../worker/worker.js';
import type { OwnedJob } from './owned-job.js';
import type { Occupant } from './placing-pass.js';
import type { RunBook } from './run-book.js';
import { acceleratorsOf } from './standings.js';

/** All of them; runs of claims are protected. */
export function findOccupants(book: RunBook, claims: ReadonlySet<OwnedJob>): Occupant[] {
  const sets = new Map<string, Occupant>();
  [...book.fleet.all()].forEach(({ vm, assignments }) =>
    assignments.forEach((assignment) => {
      const job = book.jobs.get(assignment.jobId);
      const step = job?.submission.steps[assignment.ref.step];
      if (job === undefined || step === undefined) return;
      const key = step.gang ? gangKey(assignment) : assignment.name;
      const set = sets.get(key) ?? newOccupant(key, job, claims.has(job));
      sets.set(key, {
        ...set,
        members: [...set.members, { vm, demand: assignment.demand }],
        loss: set.loss + lossOf(assignment, step.checkpointing, book.now()),
        stopping: set.stopping || assignment.stopping !== undefined,
        assignments: [...set.assignments, assignment],
      });
    }),
  );
  return [...sets.values()];
}

function newOccupant(key: string, job: OwnedJob, isProtected: boolean): Occupant {
  return { key, job, members: [], loss: 0, stopping: false, isProtected, assignments: [] };
}

function gangKey({ jobId, ref, run }: Assignment): string {
  return `${jobId}.${ref.occurrence}.${ref.step}#${run}`;
}

/** Accelerator-milliseconds since the last checkpoint, or since the start where none is saved. */
function lossOf(assignment: Assignment, checkpointing: boolean, now: number): number {
  const since = checkpointing ? assignment.checkpointAt : assignment.assignedAt;
  return acceleratorsOf(assignment.demand) * (now - since);
}
