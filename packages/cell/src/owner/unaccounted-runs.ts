/**
 * Logs runs that hold capacity on a worker which neither reports them nor is told to start or stop them. A start that isn't stored
 * yet is in this state for some milliseconds; a run that stays in it blocks its capacity for good, so that it must be visible in
 * the log.
 */
import type { Assignment, Worker } from '../worker/worker.js';
import type { RunRegistry } from './run-registry.js';

/** Runs unaccounted for this long are logged: a write takes less, even on a slow store. */
const LOG_AFTER_MS = 2000;

/** Called after a contact. All of the worker's runs that are not in `unaccounted` are accounted for. */
export function trackUnaccountedRuns(
  registry: RunRegistry,
  worker: Worker,
  unaccounted: readonly Assignment[],
): void {
  const now = registry.now();
  worker.assignments.forEach((assignment) => {
    // The usual case: nothing was unaccounted for.
    if (assignment.unaccountedSince === undefined || unaccounted.includes(assignment)) return;
    Object.assign(assignment, { unaccountedSince: undefined });
  });
  unaccounted.forEach((assignment) => {
    const since = assignment.unaccountedSince ?? now;
    const wasLogged = assignment.unaccountedTold;
    const unaccountedTold = wasLogged || now - since >= LOG_AFTER_MS;
    Object.assign(assignment, { unaccountedSince: since, unaccountedTold });
    if (unaccountedTold && !wasLogged) logUnaccounted(registry, worker, assignment);
  });
}

function logUnaccounted(
  registry: RunRegistry,
  { vm }: Worker,
  { name, run, runner, jobId }: Assignment,
): void {
  const outcome = registry.jobs.get(jobId)?.progress.outcome;
  registry.count('run.unaccounted');
  registry.log('run holds capacity but its worker does not report it', {
    vm,
    task: name,
    run,
    runner,
    outcome,
  });
}
