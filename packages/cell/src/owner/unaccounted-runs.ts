/**
 * Runs that take room on a worker which neither tells of them nor is told to start or stop them. A start that isn't written yet
 * is one for some milliseconds; a run that stays so keeps its room from everybody, so that it has to be seen in the log.
 */
import type { Assignment, Worker } from '../worker/worker.js';
import type { RunRegistry } from './run-registry.js';

/** A run that is so for this long is logged, in ms: a write takes less, also where the store is slow. */
const TELL_AFTER_MS = 2000;

/** After a contact: `left` are those runs, all others are accounted for. */
export function noteUnaccounted(
  book: RunRegistry,
  worker: Worker,
  left: readonly Assignment[],
): void {
  const now = book.now();
  worker.assignments.forEach((assignment) => {
    // Nearly always there are none.
    if (assignment.unaccountedSince === undefined || left.includes(assignment)) return;
    Object.assign(assignment, { unaccountedSince: undefined });
  });
  left.forEach((assignment) => {
    const since = assignment.unaccountedSince ?? now;
    const wasTold = assignment.unaccountedTold;
    const unaccountedTold = wasTold || now - since >= TELL_AFTER_MS;
    Object.assign(assignment, { unaccountedSince: since, unaccountedTold });
    if (unaccountedTold && !wasTold) tell(book, worker, assignment);
  });
}

function tell(book: RunRegistry, { vm }: Worker, { name, run, runner, jobId }: Assignment): void {
  const outcome = book.jobs.get(jobId)?.progress.outcome;
  book.count('run.unaccounted');
  book.log('run unaccounted for', { vm, task: name, run, runner, outcome });
}
