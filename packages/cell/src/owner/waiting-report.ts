/** Says in the log why groups wait: what the owner believes of the workers, beside what was asked for. */
import type { Worker } from '../worker/worker.js';
import type { OwnedJob } from './owned-job.js';
import type { RunBook } from './run-book.js';

/** Groups that have waited for less aren't told of, in ms: a busy service makes most wait a while. */
const TELL_AFTER_MS = 5000;

/** Pause between two looks, in ms: each goes over the tasks of all open jobs. */
const LOOK_EVERY_MS = 5000;

/** Groups told of at a look: those that have waited longest. */
const MOST_GROUPS = 3;

interface Waiting {
  job: OwnedJob;
  /** `<occurrence>.<step>`. */
  step: string;
  readySince: number;
}

/** Reports of one term. */
export class WaitingReport {
  #lookedAt = -Infinity;

  /** After a pass: what was ready before it and still waits. */
  look(book: RunBook): void {
    const now = book.now();
    if (now - this.#lookedAt < LOOK_EVERY_MS) return;
    this.#lookedAt = now;
    const waiting = [...book.jobs.values()]
      .filter(({ progress }) => progress.outcome === 'open')
      .flatMap((job) => waitingSteps(job))
      .filter(({ readySince }) => now - readySince >= TELL_AFTER_MS)
      .sort((a, b) => a.readySince - b.readySince);
    if (waiting.length === 0) return;
    const workers = describeWorkers(book);
    waiting.slice(0, MOST_GROUPS).forEach(({ job, step, readySince }) =>
      book.log('group waits', {
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

function waitingSteps(job: OwnedJob): Waiting[] {
  return [...job.readySince]
    .map(([step, readySince]) => ({ job, step, readySince }))
    .filter(({ step }) => describeTasks(job, step).open > 0);
}

/** Tasks of a step that are neither done nor given to a worker, members of its gang that are, and what each task takes. */
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

/** How many workers may be used, why others may not, and how the accelerators of those that may stand in the books. */
function describeWorkers(book: RunBook): object {
  const workers = [...book.fleet.all()];
  const usable = workers.filter((worker) => book.fleet.isPlaceable(worker));
  const sum = (of: (worker: Worker) => number): number =>
    usable.reduce((total, worker) => total + of(worker), 0);
  return {
    workers: workers.length,
    usable: usable.length,
    evacuated: workers.filter((worker) => book.fleet.isEvacuated(worker)).length,
    draining: workers.filter(({ runner }) => runner?.draining).length,
    unreachable: workers.filter(({ runner }) => runner?.reachable === false).length,
    closed: workers.filter(({ health }) => health.isQuarantined(book.now())).length,
    accelerators: sum(({ runner }) => runner?.capacity.accelerators ?? 0),
    free: sum((worker) => worker.freeCapacity().accelerators),
    unaccounted: sum(unaccountedAccelerators),
  };
}

/** Held by runs of which the worker tells nothing. */
function unaccountedAccelerators({ assignments }: Worker): number {
  return [...assignments.values()]
    .filter(({ unaccountedSince }) => unaccountedSince !== undefined)
    .reduce((total, { demand }) => total + demand.accelerators, 0);
}
