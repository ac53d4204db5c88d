/** What runs in a cell, as sets that stop together, with what stopping each would throw away. */
import type { HeldCapacity } from '../placing/capacity-ledger.js';
import type { Assignment } from '../worker/worker.js';
import type { OwnedJob } from './owned-job.js';
import type { Occupant } from './pass-input.js';
import type { RunBook } from './run-book.js';
import { isSameStep } from './run-stopper.js';
import { acceleratorsOf } from './standings.js';

const FULL_PERCENT = 100;

/**
 * Work that stopping and continuing from the checkpoint of that moment costs, in ms: none is done twice, but the room
 * idles for a part of the 100 to 800 ms that the platform's runners take.
 */
const RESUME_MS = 150;

/** An occupant while its members are being gathered. */
interface Gathered extends Occupant {
  members: HeldCapacity[];
  assignments: Assignment[];
}

/** All of them; runs of claims are protected. */
export function findOccupants(book: RunBook, claims: ReadonlySet<OwnedJob>): Occupant[] {
  const sets = new Map<string, Gathered>();
  const now = book.now();
  [...book.fleet.all()].forEach(({ vm, assignments }) =>
    assignments.forEach((assignment) => {
      const job = book.jobs.get(assignment.jobId);
      const step = job?.submission.steps[assignment.ref.step];
      if (job === undefined || step === undefined) return;
      const key = step.gang ? gangKey(assignment) : assignment.name;
      const known = sets.get(key);
      const set =
        known ?? newOccupant(key, job, claims.has(job) || !maySpare(book, job, assignment));
      if (known === undefined) sets.set(key, set);
      // In place: sets made anew for each member would cost wide gangs the square of their width.
      set.members.push({ vm, demand: assignment.demand });
      set.assignments.push(assignment);
      set.loss += lossOf(assignment, step.checkpointing, now);
      set.stopping ||= assignment.stopping !== undefined;
    }),
  );
  return [...sets.values()];
}

/**
 * Whether a task that lasts may be stopped for others: of its step only so many may be away by our doing. Those that come
 * first in the step are spared first, so that one pass doesn't stop more than that.
 */
function maySpare(book: RunBook, job: OwnedJob, { ref }: Assignment): boolean {
  const step = job.submission.steps[ref.step];
  if (!step?.lasting || step.mayMiss === 0) return true;
  const atWork = book
    .assignmentsOf(job.id)
    .filter((other) => isSameStep(other, ref) && isAtWork(other))
    .map((other) => other.ref.index)
    .sort((a, b) => a - b);
  const away = step.tasks - atWork.length;
  return atWork.slice(0, Math.max(0, step.mayMiss - away)).includes(ref.index);
}

/** A lasting task that works shows all of its percent. */
function isAtWork({ percent, stopping }: Assignment): boolean {
  return percent >= FULL_PERCENT && stopping === undefined;
}

function newOccupant(key: string, job: OwnedJob, isProtected: boolean): Gathered {
  return { key, job, members: [], loss: 0, stopping: false, isProtected, assignments: [] };
}

function gangKey({ jobId, ref, run }: Assignment): string {
  return `${jobId}.${ref.occurrence}.${ref.step}#${run}`;
}

/**
 * Accelerator-milliseconds that would have to be done again. A run that saves checkpoints saves one as it is stopped: only
 * the time to stop and to continue is lost.
 */
function lossOf(assignment: Assignment, checkpointing: boolean, now: number): number {
  const lostMs = checkpointing ? RESUME_MS : now - assignment.assignedAt;
  return acceleratorsOf(assignment.demand) * lostMs;
}
