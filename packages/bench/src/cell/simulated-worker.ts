/** A worker with its runner and guard in virtual time: speeds, failures, checkpoints, gangs that begin and end together. */
import type { Demand, RunEndKind, Step } from '@zincspan/cell';
import type { CellContact, StartOrder } from '@zincspan/core';
import { SIMULATED_SERVICE, type DrawnJob } from './cell-load.js';

/** What is wrong with a worker for a time. */
export interface WorkerFault {
  kind: 'slow' | 'still' | 'failing' | 'leaving';
  fromMs: number;
  forMs: number;
  /** How many times as long everything takes, where it is slow. */
  factor: number;
}

/** A run on its worker. */
export interface SimulatedRun {
  task: string;
  run: number;
  job: DrawnJob;
  /** Its step, and its place in that. */
  step: number;
  index: number;
  /** Work done, of this run and those it continues, in ms. */
  doneMs: number;
  beginsAt: number;
  worker: SimulatedWorker;
}

/** Time to take up a checkpoint, and between two, in ms. */
const RESTORE_MS = 250;
const SAVE_EVERY_MS = 1000;

/** Time that a stop takes, in ms. */
const STOP_MS = 250;

/** How much longer a rack-sensitive gang takes over several racks. */
const FAR_FACTOR = 3;

const FULL = 100;

/** One worker. */
export class SimulatedWorker {
  readonly vm: string;

  readonly rack: string;

  readonly runs = new Map<string, SimulatedRun>();

  readonly faults: WorkerFault[] = [];

  readonly #capacity: Demand;

  readonly #failureDomain: string;

  /** Share of a usual worker's speed when nothing is wrong. */
  readonly #usualSpeed: number;

  readonly #stopping = new Map<SimulatedRun, number>();

  #ends: CellContact['ends'] = [];

  #ended = 0;

  #life = 1;

  constructor({
    vm,
    rack,
    capacity,
    failureDomain = 'hall',
    usualSpeed = 1,
  }: {
    vm: string;
    rack: string;
    capacity: Demand;
    failureDomain?: string;
    usualSpeed?: number;
  }) {
    this.vm = vm;
    this.rack = rack;
    this.#capacity = capacity;
    this.#failureDomain = failureDomain;
    this.#usualSpeed = usualSpeed;
  }

  /** Begins a run of the job's task with this place in its step. */
  start(
    { task, run, checkpoint }: StartOrder,
    { job, step, index }: Pick<SimulatedRun, 'job' | 'step' | 'index'>,
    now: number,
  ): void {
    if (this.runs.has(task)) return;
    const doneMs = Number(checkpoint) || 0;
    const beginsAt = now + (doneMs > 0 ? RESTORE_MS : 0);
    this.runs.set(task, { task, run, job, step, index, doneMs, beginsAt, worker: this });
  }

  stop({ task, run }: { task: string; run: number }, now: number): void {
    const known = this.runs.get(task);
    if (known?.run !== run || this.#stopping.has(known)) return;
    this.#stopping.set(known, now + STOP_MS);
  }

  /** Ends the stops that are due; answers what they threw away. */
  endStopped(now: number): SimulatedRun[] {
    const due = [...this.#stopping].filter(([, at]) => at <= now).map(([run]) => run);
    due.forEach((run) => {
      this.#stopping.delete(run);
      if (this.runs.has(run.task)) this.end(run, 'stopped');
    });
    return due;
  }

  end(run: SimulatedRun, how: RunEndKind): void {
    this.runs.delete(run.task);
    this.#stopping.delete(run);
    this.#ended += 1;
    if (how === 'lost') return;
    const { task } = run;
    const checkpoint = checkpointOf(run, how === 'stopped');
    this.#ends.push({ number: this.#ended, task, run: run.run, how, checkpoint });
  }

  /** A new life of its runner; what ran is lost. */
  replace(): SimulatedRun[] {
    const lost = [...this.runs.values()];
    lost.forEach((run) => this.end(run, 'lost'));
    this.#ends = [];
    this.#ended = 0;
    this.#life += 1;
    return lost;
  }

  confirm(number: number): void {
    this.#ends = this.#ends.filter((end) => end.number > number);
  }

  /** Share of its full speed; 0 while it stands still. */
  speed(now: number): number {
    return this.faultsAt(now).reduce((speed, { kind, factor }) => {
      if (kind === 'still') return 0;
      return kind === 'slow' ? speed / factor : speed;
    }, this.#usualSpeed);
  }

  faultsAt(now: number): WorkerFault[] {
    return this.faults.filter(({ fromMs, forMs }) => now >= fromMs && now < fromMs + forMs);
  }

  contact(now: number): CellContact {
    const leaving = this.faultsAt(now).find(({ kind }) => kind === 'leaving');
    return {
      runner: {
        id: `${this.vm}-life-${this.#life}`,
        service: SIMULATED_SERVICE,
        failureDomain: this.#failureDomain,
        labels: ['a', this.rack],
        capacity: this.#capacity,
        draining: leaving !== undefined,
        ...(leaving === undefined ? {} : { remainingMs: leaving.fromMs + leaving.forMs - now }),
        reachable: true,
        leaseLapsed: false,
      },
      running: [...this.runs.values()].map((run) => ({
        task: run.task,
        run: run.run,
        checkpoint: checkpointOf(run, false),
        percent: Math.min(FULL, Math.floor((FULL * run.doneMs) / workOf(run))),
      })),
      ends: [...this.#ends],
      inProgress: [],
      refused: [],
    };
  }
}

/** Work of a run's task, in ms. */
export function workOf({ job, step, index }: SimulatedRun): number {
  return job.steps[step]?.workMs[index] ?? 0;
}

/** The submitted step of a run's task. */
export function stepOf({ job, step }: Pick<SimulatedRun, 'job' | 'step'>): Step | undefined {
  return job.submission.steps[step];
}

/** How much a set of runs that work together slows down by lying on several racks. */
export function spreadFactor(runs: readonly SimulatedRun[]): number {
  const [first] = runs;
  if (first === undefined || !stepOf(first)?.rackSensitive) return 1;
  return new Set(runs.map(({ worker }) => worker.rack)).size > 1 ? FAR_FACTOR : 1;
}

function checkpointOf(run: SimulatedRun, stopped: boolean): string {
  const { doneMs } = run;
  if (!stepOf(run)?.checkpointing) return '';
  const saved = stopped ? doneMs : Math.floor(doneMs / SAVE_EVERY_MS) * SAVE_EVERY_MS;
  return saved > 0 ? `${Math.floor(saved)}` : '';
}
