/** Logs why groups wait: the state of the workers as the owner knows it, next to what the groups need. */
import type { Worker } from '../worker/worker.js';
import type { OwnedJob } from './owned-job.js';
import type { RunRegistry } from './run-registry.js';

/** Groups that have waited for less are not logged: on a busy service most wait a while. */
const MIN_WAIT_MS = 5000;

/** Interval between reports: each goes over the tasks of all open jobs. */
const REPORT_INTERVAL_MS = 5000;

/** Groups logged per report: those that have waited longest. */
const MAX_GROUPS = 3;

interface WaitingStep {
  job: OwnedJob;
  /** `<occurrence>.<step>`. */
  step: string;
  readySince: number;
}

/** One instance per ownership term. */
export class WaitingReport {
  #reportedAt = -Infinity;

  /** Called after each pass; logs the steps that were ready before it and still wait, once per interval. */
  logIfDue(registry: RunRegistry): void {
    const now = registry.now();
    if (now - this.#reportedAt < REPORT_INTERVAL_MS) return;
    this.#reportedAt = now;
    const waiting = [...registry.jobs.values()]
      .filter(({ progress }) => progress.outcome === 'open')
      .flatMap((job) => waitingSteps(job))
      .filter(({ readySince }) => now - readySince >= MIN_WAIT_MS)
      .sort((a, b) => a.readySince - b.readySince);
    if (waiting.length === 0) return;
    const workers = describeWorkers(registry);
    waiting.slice(0, MAX_GROUPS).forEach(({ job, step, readySince }) =>
      registry.log('group is waiting for capacity', {
        job: job.id,
        step,
        waitedMs: Math.round(now - readySince),
        priority: job.terms.priority,
        ...describeTasks(job, step),
        groupsWaiting: waiting.length,
        ...workers,
      }),
    );
  }
}

function waitingSteps(job: OwnedJob): WaitingStep[] {
  return [...job.readySince]
    .map(([step, readySince]) => ({ job, step, readySince }))
    .filter(({ step }) => describeTasks(job, step).open > 0);
}

/** Number of tasks of a step that are pending (`open`) and assigned to a worker (`given`), and the demand of each task. */
function describeTasks(job: OwnedJob, key: string): { open: number; given: number; each?: object } {
  const [occurrence = 0, step = 0] = key.split('.').map(Number);
  const tasks = job.progress.findStep({ occurrence, step })?.tasks ?? [];
  const demand = job.submission.steps[step]?.demand;
  return {
    open: tasks.filter(({ done, active }) => !done && active === undefined).length,
    given: tasks.filter(({ active }) => active !== undefined).length,
    ...(demand === undefined ? {} : { each: demand }),
  };
}

/** How many workers are usable, why the others are not, and how the owner accounts for the accelerators of the usable ones. */
function describeWorkers(registry: RunRegistry): object {
  const workers = [...registry.fleet.all()];
  const usable = workers.filter((worker) => registry.fleet.isSchedulable(worker));
  const sum = (of: (worker: Worker) => number): number =>
    usable.reduce((total, worker) => total + of(worker), 0);
  return {
    workers: workers.length,
    usable: usable.length,
    evacuated: workers.filter((worker) => registry.fleet.isEvacuated(worker)).length,
    draining: workers.filter(({ runner }) => runner?.draining).length,
    unreachable: workers.filter(({ runner, hasReachableRunner }) => runner && !hasReachableRunner)
      .length,
    closed: workers.filter(({ health }) => health.isQuarantined(registry.now())).length,
    accelerators: sum(({ runner }) => runner?.capacity.accelerators ?? 0),
    free: sum((worker) => worker.freeCapacity().accelerators),
    unaccounted: sum(unaccountedAccelerators),
  };
}

/** Accelerators held by runs that the worker doesn't report. */
function unaccountedAccelerators({ assignments }: Worker): number {
  return [...assignments.values()]
    .filter(({ unaccountedSince }) => unaccountedSince !== undefined)
    .reduce((total, { demand }) => total + demand.accelerators, 0);
}
