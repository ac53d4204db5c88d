/** Learns the speeds of a cell's workers from the tasks that run and end there. */
import type { CellOrders, ProcessContext } from '@zincspan/core';
import * as z from 'zod';
import type { Step } from '../job/submission.js';
import { runKey } from '../job/task-name.js';
import type { DurationEstimator } from '../placing/duration-estimator.js';
import { TaskPace } from './task-pace.js';
import { QueueDeviation, StepDurations } from './usual-duration.js';
import { SLOW_SPEED, type SpeedObservation } from './worker-speed.js';
import type { Assignment, Worker } from './worker.js';

/** An observation against what the queue's tasks take weighs this much; one against the step's own tasks weighs 1. */
const QUEUE_WEIGHT = 0.5;

/** Tasks that take less say nothing, in ms: their start and end are reported up to 100 ms late. */
const MIN_DURATION_MS = 500;

/** A speed that has changed by more than this is logged, at most once in the interval, in ms, per worker. */
const LOGGED_CHANGE = 0.2;
const LOG_INTERVAL_MS = 1000;

const PERCENT = 100;

/** What a guard's heartbeats carry; a guard that sends it takes `workerSpeed` in its orders. */
const guardStatusSchema = z.object({
  workerSpeed: z.object({ runner: z.string(), speed: z.number(), weight: z.number() }),
});

/** A run, and what it is a run of. */
export interface ObservedRun {
  assignment: Assignment;
  queue: string;
  step: Step;
  /** Workers of all members of its gang; empty for a task outside a gang. Asked once for each run. */
  gangWorkers: () => readonly Worker[];
}

/** A worker's speed as last logged. */
interface LoggedSpeed {
  speed: number;
  at: number;
}

/** One instance per ownership term. */
export class SpeedLearner {
  readonly #ctx: ProcessContext;

  readonly #durations: DurationEstimator;

  readonly #isOn: boolean;

  readonly #steps = new WeakMap<Step, StepDurations>();

  readonly #queues = new Map<string, QueueDeviation>();

  readonly #paces = new WeakMap<Assignment, TaskPace>();

  readonly #gangs = new WeakMap<Assignment, readonly Worker[]>();

  readonly #logged = new WeakMap<Worker, LoggedSpeed>();

  readonly #slow = new Set<string>();

  constructor({
    ctx,
    durations,
    isOn,
  }: {
    ctx: ProcessContext;
    durations: DurationEstimator;
    /** False: all speeds stay 1. */
    isOn: boolean;
  }) {
    this.#ctx = ctx;
    this.#durations = durations;
    this.#isOn = isOn;
  }

  /** Takes over what the guard holds from an earlier owner, if it is about the runner that is there. */
  restore(worker: Worker, runner: string, guardStatus: unknown): void {
    const held = guardStatusSchema.safeParse(guardStatus).data?.workerSpeed;
    if (!this.#isOn || held === undefined || held.runner !== runner) return;
    const { speed, weight } = held;
    worker.speed.follow(runner, this.#now());
    worker.speed.restore({ speed: speed / PERCENT, weight }, this.#now());
  }

  /** What the guard is to hold for a later owner; nothing for a guard of a version that doesn't know the field. */
  orderFor({ speed }: Worker, guardStatus: unknown): Pick<CellOrders, 'workerSpeed'> {
    if (!this.#isOn) return {};
    const { speed: value, weight } = speed.known;
    const rounded = { speed: Math.round(value * PERCENT), weight: Math.round(weight) };
    if (rounded.weight === 0 || !guardStatusSchema.safeParse(guardStatus).success) return {};
    return { workerSpeed: rounded };
  }

  /** Learns from the paces of the runs that the worker's last contact listed. Progress is unknown while the runner isn't reachable. */
  noteContact(worker: Worker, observe: (assignment: Assignment) => ObservedRun | undefined): void {
    const runner = worker.runner?.id;
    if (!this.#isOn || runner === undefined || !worker.hasReachableRunner) return;
    const now = this.#now();
    worker.speed.follow(runner, now);
    const paces = [...worker.assignments.values()].flatMap((assignment) => {
      const isRunning = assignment.runningAt !== undefined && assignment.stopping === undefined;
      const run = isRunning ? observe(assignment) : undefined;
      return run === undefined ? [] : (this.#observePace(worker, run) ?? []);
    });
    worker.speed.notePaces(paces);
    worker.speed.update(now);
    this.#report(worker);
  }

  /** Learns from a run that has ended; returns what it would have taken on a worker of speed 1, in ms. */
  noteEnded(worker: Worker, run: ObservedRun, actualMs: number): number {
    if (!this.#isOn) return actualMs;
    const { assignment, queue, step } = run;
    const expectedMs = this.#durations.expectedMs(queue, step.estimateMs);
    if (!this.#isSpread(worker, run) && actualMs >= MIN_DURATION_MS) {
      const observation = this.#compare(worker, run, actualMs);
      if (observation !== undefined) worker.speed.noteEnded(observation, this.#now());
      this.#durationsOf(step).note(
        worker.vm,
        runKey(nameOf(assignment)),
        actualMs * worker.speed.speed,
      );
      this.#deviationOf(queue).note((actualMs * worker.speed.speed) / expectedMs);
    }
    const workers = [worker, ...this.#gangOf(run)];
    return actualMs * Math.min(...workers.map((each) => each.speed.speed));
  }

  #observePace(worker: Worker, run: ObservedRun): SpeedObservation | undefined {
    const { assignment, queue, step } = run;
    if (step.lasting || step.fills || this.#isSpread(worker, run)) return undefined;
    const expectedMs = this.#usualMs(run)?.ms ?? this.#durations.expectedMs(queue, step.estimateMs);
    const pace = this.#paces.get(assignment) ?? new TaskPace();
    this.#paces.set(assignment, pace);
    pace.note(assignment.percent, this.#now(), expectedMs);
    const durationMs = pace.durationMs(expectedMs);
    if (durationMs === undefined) return undefined;
    this.#durationsOf(step).note(
      worker.vm,
      runKey(nameOf(assignment)),
      durationMs * worker.speed.speed,
    );
    return this.#compare(worker, run, durationMs);
  }

  #compare(worker: Worker, run: ObservedRun, durationMs: number): SpeedObservation | undefined {
    const usual = this.#usualMs(run);
    if (usual === undefined) return undefined;
    const { name, run: number, jobId, ref } = run.assignment;
    const shared = `${jobId}.${ref.occurrence}.${ref.step}`;
    return {
      ratio: usual.ms / durationMs,
      key: usual.isOfStep ? `${name}#${number}` : shared,
      weight: usual.isOfStep ? 1 : QUEUE_WEIGHT,
    };
  }

  #usualMs({ step, queue }: ObservedRun): { ms: number; isOfStep: boolean } | undefined {
    const ofStep = this.#steps.get(step)?.usualMs(this.#now());
    if (ofStep !== undefined) return { ms: ofStep, isOfStep: true };
    const deviation = this.#queues.get(queue)?.ratio;
    if (deviation === undefined) return undefined;
    return { ms: deviation * this.#durations.expectedMs(queue, step.estimateMs), isOfStep: false };
  }

  /** A gang on several workers goes at the pace of the slowest, so that it says nothing about any one of them. */
  #isSpread(worker: Worker, run: ObservedRun): boolean {
    return this.#gangOf(run).some((other) => other !== worker);
  }

  #gangOf({ assignment, gangWorkers }: ObservedRun): readonly Worker[] {
    const known = this.#gangs.get(assignment) ?? gangWorkers();
    this.#gangs.set(assignment, known);
    return known;
  }

  #durationsOf(step: Step): StepDurations {
    const durations = this.#steps.get(step) ?? new StepDurations();
    this.#steps.set(step, durations);
    return durations;
  }

  #deviationOf(queue: string): QueueDeviation {
    const deviation = this.#queues.get(queue) ?? new QueueDeviation();
    this.#queues.set(queue, deviation);
    return deviation;
  }

  #report(worker: Worker): void {
    const { speed, known, spread } = worker.speed;
    const { metrics, log } = this.#ctx;
    metrics.timing('worker.speed', speed);
    if (speed < SLOW_SPEED) this.#slow.add(worker.vm);
    else this.#slow.delete(worker.vm);
    metrics.gauge('worker.slow', this.#slow.size);
    const before = this.#logged.get(worker) ?? { speed: 1, at: -Infinity };
    if (Math.abs(speed - before.speed) <= LOGGED_CHANGE) return;
    if (this.#now() - before.at < LOG_INTERVAL_MS) return;
    this.#logged.set(worker, { speed, at: this.#now() });
    log.info(
      {
        vm: worker.vm,
        runner: worker.runner?.id,
        speed,
        before: before.speed,
        weight: known.weight,
        spread,
      },
      'worker speed changed',
    );
  }

  #now(): number {
    return this.#ctx.clock.now();
  }
}

function nameOf({ name, run }: Assignment): { task: string; run: number } {
  return { task: name, run };
}
