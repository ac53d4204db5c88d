/** Checks, while a soak runs, what its runners are told to do against what callers handed in. */
import type { EndWord, FinishedRow, ObservedRun, RunnerObserver } from '@zincspan/stand-ins';
import { MAX_ATTEMPTS, type SoakJob } from './soak-jobs.js';

/**
 * A start this long after a cancellation was acknowledged is one too many, in ms: the bound of 3 s, what a late order
 * takes, and a guard that stood still on the way.
 */
const CANCEL_MS = 10_000;

/** After so many crashes a task may be started twice more, and no third time: the platform's bound. */
const CRASHES_ALLOWED = 3;
const STARTS_TOO_MANY = 3;

interface WatchedJob {
  job: SoakJob;
  cancelledAt: number | undefined;
  /** Starts so far. */
  starts: number;
}

/** A task, or a whole step where it is a gang. */
interface WatchedUnit {
  /** Lives that run each of its tasks now. */
  running: Map<string, string>;
  /** Ends as done that aren't confirmed, by life. */
  doneAt: Map<string, number>;
  isDone: boolean;
  isConfirmed: boolean;
  failedRuns: Set<number>;
  /** Runners that crashed under a task that crashes them, and starts after the third. */
  crashes: number;
  startsTooMany: number;
  lastStartAt: number;
}

interface TaskName {
  id: string;
  step: number;
}

/** Follows all runs. Times are on this process's monotonic clock. */
export class RunWatch implements RunnerObserver {
  readonly violations: string[] = [];

  readonly #jobs = new Map<string, WatchedJob>();

  readonly #units = new Map<string, WatchedUnit>();

  /** Before a job is first sent. */
  expect(job: SoakJob): void {
    this.#jobs.set(job.id, { job, cancelledAt: undefined, starts: 0 });
  }

  noteCancelled(id: string): void {
    const watched = this.#jobs.get(id);
    if (watched !== undefined) watched.cancelledAt ??= performance.now();
  }

  startsOf(id: string): number {
    return this.#jobs.get(id)?.starts ?? 0;
  }

  /** True once all tasks of the job have ended as done. */
  isDone({ id, tasks, isGang }: SoakJob): boolean {
    return tasks.every((count, step) => {
      const units = isGang ? [`${id}.0.${step}`] : indexNames(`${id}.0.${step}`, count);
      return units.every((unit) => this.#units.get(unit)?.isDone);
    });
  }

  /** What a runner asks before it starts something. */
  readonly isKnown = (task: string, spec: string): boolean => {
    const isAsked = this.#jobs.get(parseTask(task).id)?.job.spec === spec;
    if (!isAsked) this.#report(task, 'is started although nobody asked for it');
    return isAsked;
  };

  readonly onStart = ({ life, task, run }: ObservedRun): void => {
    const watched = this.#jobs.get(parseTask(task).id);
    if (watched === undefined) return;
    const unit = this.#unitOf(task, watched.job);
    watched.starts += 1;
    const other = unit.running.get(task);
    if (other !== undefined) this.#report(task, `run ${run} on ${life} while ${other} runs it`);
    if (unit.isConfirmed) this.#report(task, `run ${run} after it was done for good`);
    if (unit.failedRuns.size >= MAX_ATTEMPTS) this.#report(task, `run ${run} after its last try`);
    if (!this.#isTurn(task, watched.job)) this.#report(task, `run ${run} before its turn`);
    const sinceCancelled = performance.now() - (watched.cancelledAt ?? Infinity);
    if (sinceCancelled > CANCEL_MS) this.#report(task, `run ${run} long after its cancellation`);
    if (isFirst(task) && unit.crashes >= CRASHES_ALLOWED) unit.startsTooMany += 1;
    if (unit.startsTooMany === STARTS_TOO_MANY) this.#report(task, 'goes on crashing runners');
    unit.running.set(task, life);
    unit.lastStartAt = performance.now();
  };

  readonly onEnd = ({ life, task }: ObservedRun, how: EndWord | 'crashed'): void => {
    const watched = this.#jobs.get(parseTask(task).id);
    if (watched === undefined) return;
    const unit = this.#unitOf(task, watched.job);
    if (unit.running.get(task) === life) unit.running.delete(task);
    if (how === 'crashed' && watched.job.crashes && isFirst(task)) unit.crashes += 1;
    if (how !== 'done') return;
    unit.isDone = true;
    unit.doneAt.set(life, performance.now());
  };

  readonly onConfirmed = (life: string, { task, run, how }: FinishedRow): void => {
    const watched = this.#jobs.get(parseTask(task).id);
    if (watched === undefined) return;
    const unit = this.#unitOf(task, watched.job);
    if (how === 'failed') unit.failedRuns.add(run);
    const doneAt = unit.doneAt.get(life);
    // Where the lease lapsed before, the end doesn't count.
    if (how !== 'done' || doneAt === undefined) return;
    unit.isConfirmed = true;
    if (unit.lastStartAt > doneAt) this.#report(task, 'was started again after it had ended done');
  };

  readonly onLapse = (life: string): void => {
    this.#units.forEach(({ doneAt }) => doneAt.delete(life));
  };

  #isTurn(task: string, { id, tasks, isGang }: SoakJob): boolean {
    const { step } = parseTask(task);
    if (step === 0) return true;
    const before = `${id}.0.${step - 1}`;
    const units = isGang ? [before] : indexNames(before, tasks[step - 1] ?? 0);
    return units.every((unit) => this.#units.get(unit)?.isDone);
  }

  #unitOf(task: string, { isGang }: SoakJob): WatchedUnit {
    const name = isGang ? task.slice(0, task.lastIndexOf('.')) : task;
    const known = this.#units.get(name);
    if (known !== undefined) return known;
    const unit: WatchedUnit = {
      running: new Map(),
      doneAt: new Map(),
      isDone: false,
      isConfirmed: false,
      failedRuns: new Set(),
      crashes: 0,
      startsTooMany: 0,
      lastStartAt: -Infinity,
    };
    this.#units.set(name, unit);
    return unit;
  }

  #report(task: string, what: string): void {
    this.violations.push(`task ${task}: ${what}`);
  }
}

/** The task of each step that crashes its runners, where the job has one. */
function isFirst(task: string): boolean {
  return task.endsWith('.0');
}

function parseTask(task: string): TaskName {
  const [id = '', , step = '0'] = task.split('.');
  return { id, step: Number(step) };
}

function indexNames(step: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${step}.${index}`);
}
