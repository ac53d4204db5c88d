/**
 * One life of an emulated runner, by the platform's rules: runs under a lease, fences, barred runs, gangs, checkpoints,
 * ends that are listed until they are confirmed. Time is real; faults are switched on from outside.
 */
import type { GangBoard } from './gang-board.js';
import { waitFor } from './wait-for.js';
import {
  FULL,
  checkpointOf,
  crashes,
  gangOf,
  isOfGang,
  percentOf,
  stepOf,
  workMsOf,
  type Running,
} from './running-task.js';
import { readScript } from './task-script.js';

/** How a run ended. */
export type EndWord = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone';

export interface RunningRow {
  task: string;
  run: number;
  checkpoint: string;
  percent: number;
  /** Tail latency of a serving task, in ms; 0 of others. */
  load: number;
}

export interface FinishedRow {
  number: number;
  task: string;
  run: number;
  how: EndWord;
  checkpoint: string;
}

/** A start as it arrives. `deadlineMs` is on the runner's clock. */
export interface StartCall {
  task: string;
  run: number;
  spec: string;
  deadlineMs: number;
  term: number;
  checkpoint: string;
  ticket?: string;
}

export type StartWord = 'ok' | 'fence' | 'old' | 'late' | 'room' | 'ticket';

/** A run as an observer is told of it. */
export interface ObservedRun {
  /** The life that ran it. */
  life: string;
  task: string;
  run: number;
  spec: string;
  checkpoint: string;
}

/** Told of what a life does, for checks of what ran when. */
export interface RunnerObserver {
  onStart?: (run: ObservedRun) => void;
  onEnd?: (run: ObservedRun, how: EndWord | 'crashed') => void;
  /** The guard confirmed this end of the life: it counts for good, unless the lease had lapsed before. */
  onConfirmed?: (life: string, end: FinishedRow) => void;
  /** The life's lease ended, whether something ran or not. */
  onLapse?: (life: string) => void;
}

/** What a life is made of. */
export interface RunnerModelOptions {
  id: string;
  /** When this life began, in Unix ms: what tells lives of one id apart; undefined: each has an id of its own. */
  bornMs?: number;
  /** Tasks at once. */
  slots: number;
  board: GangBoard;
  /** Longest lease, in ms. */
  holdMaxMs?: number;
  /** A gang waits this long for its members, in ms. */
  gangTimeoutMs?: number;
  /** Whether a ticket lets a step run here; without one all may. */
  takesTicket?: (step: string, ticket: string | undefined) => boolean;
  observer?: RunnerObserver;
  /** A task has crashed the runner: whoever hosts it ends this life. */
  onCrash?: () => void;
}

/** Ends that a life lists at a time, by the platform's rules. */
const MAX_LISTED_ENDS = 500;

/** From the start of a task that crashes its runner to the crash, in ms: the start is answered before. */
const CRASH_AFTER_MS = 10;

/** One life. */
export class RunnerModel {
  readonly id: string;

  readonly bornMs: number | undefined;

  /** All starts that were carried out, for checks of what ran twice. */
  readonly starts: { task: string; run: number; at: number; checkpoint: string }[] = [];

  /** Ends aren't listed, as if they had been confirmed. */
  forgetsEnds = false;

  /** Ends that are listed at a time; the others follow once these are confirmed. */
  maxListedEnds = MAX_LISTED_ENDS;

  readonly #options: Required<Omit<RunnerModelOptions, 'bornMs'>>;

  readonly #bornAt = performance.now();

  readonly #running = new Map<string, Running>();

  readonly #barred = new Map<string, number>();

  readonly #watchers = new Set<() => void>();

  #finished: FinishedRow[] = [];

  #ends = 0;

  #crashed = false;

  #term = 0;

  #deadlineMs = 0;

  #leaseTimer: NodeJS.Timeout | undefined;

  constructor(options: RunnerModelOptions) {
    this.id = options.id;
    this.bornMs = options.bornMs;
    this.#options = {
      holdMaxMs: 6000,
      gangTimeoutMs: 3000,
      takesTicket: () => true,
      observer: {},
      onCrash: () => undefined,
      ...options,
    };
  }

  /** Tells this life from others of its id. */
  get name(): string {
    return this.bornMs === undefined ? this.id : `${this.id}@${this.bornMs}`;
  }

  /** The runner's own steady clock, in ms. */
  get clockMs(): number {
    return Math.floor(performance.now() - this.#bornAt) + 1;
  }

  running(): RunningRow[] {
    return [...this.#running.values()].map((each) => ({
      task: each.task,
      run: each.run,
      checkpoint: checkpointOf(each),
      percent: percentOf(each),
      load: this.#loadOf(each),
    }));
  }

  #loadOf({ script: { servesMs } }: Running): number {
    if (servesMs === undefined) return 0;
    const beside = [...this.#running.values()];
    return beside.reduce(
      (sum, { script, pace }) => sum + (script.disturbsMs * pace) / FULL,
      servesMs,
    );
  }

  /** The first ends after the last confirmed one. */
  finished(): FinishedRow[] {
    return this.#finished.slice(0, this.maxListedEnds);
  }

  start(call: StartCall): StartWord {
    if (!this.#admit(call.term)) return 'fence';
    if (call.deadlineMs < this.clockMs) return 'late';
    const known = this.#running.get(call.task);
    if (known?.run === call.run) return 'ok';
    this.#extend(call.deadlineMs);
    if (known !== undefined || call.run <= (this.#barred.get(call.task) ?? 0)) return 'old';
    const step = call.task.slice(0, call.task.lastIndexOf('.'));
    if (!this.#options.takesTicket(step, call.ticket)) return 'ticket';
    if (this.#running.size >= this.#options.slots) return 'room';
    this.#begin(call);
    return 'ok';
  }

  /** Stops a run, or bars one that isn't there. */
  stop({ task, run, term }: { task: string; run: number; term: number }): 'ok' | 'fence' {
    if (!this.#admit(term)) return 'fence';
    const known = this.#running.get(task);
    if (known?.run === run) this.#end(known, 'stopped');
    this.#bar(task, run);
    return 'ok';
  }

  /** Lets a run work, and disturb, at this share. */
  pace({
    task,
    run,
    percent,
    term,
  }: {
    task: string;
    run: number;
    percent: number;
    term: number;
  }): 'ok' | 'fence' | 'old' {
    if (!this.#admit(term)) return 'fence';
    const known = this.#running.get(task);
    if (known?.run !== run) return 'old';
    known.pace = percent;
    return 'ok';
  }

  /** Renews the lease and drops confirmed ends. */
  hold({
    term,
    confirmed,
    deadlineMs,
  }: {
    term: number;
    confirmed: number;
    deadlineMs: number | undefined;
  }): 'ok' | 'fence' {
    if (!this.#admit(term)) return 'fence';
    const { onConfirmed } = this.#options.observer;
    this.#finished
      .filter(({ number }) => number <= confirmed)
      .forEach((end) => onConfirmed?.(this.name, end));
    this.#finished = this.#finished.filter(({ number }) => number > confirmed);
    if (deadlineMs !== undefined && deadlineMs >= this.clockMs) this.#extend(deadlineMs);
    return 'ok';
  }

  /** Waits for an end, at most this long, in ms. */
  async ended(waitMs: number): Promise<void> {
    const before = this.#ends;
    await waitFor(this.#watchers, () => this.#ends > before || this.#crashed, waitMs);
  }

  /** The life ends: nothing runs any more, nothing is listed. */
  crash(): void {
    clearTimeout(this.#leaseTimer);
    this.#running.forEach((each) => {
      clearTimeout(each.timer);
      this.#options.observer.onEnd?.(this.#observed(each), 'crashed');
      this.#leaveGang(each);
    });
    this.#running.clear();
    this.#crashed = true;
    [...this.#watchers].forEach((wake) => wake());
  }

  #admit(term: number): boolean {
    if (term < this.#term) return false;
    this.#term = term;
    return true;
  }

  #extend(deadlineMs: number): void {
    const bounded = Math.min(deadlineMs, this.clockMs + this.#options.holdMaxMs);
    this.#deadlineMs = Math.max(this.#deadlineMs, bounded);
    clearTimeout(this.#leaseTimer);
    this.#leaseTimer = setTimeout(() => {
      this.#options.observer.onLapse?.(this.name);
      [...this.#running.values()].forEach((each) => this.#end(each, 'lapsed'));
    }, this.#deadlineMs - this.clockMs);
  }

  #begin({ task, run, spec, checkpoint }: StartCall): void {
    const script = readScript(spec);
    const now = performance.now();
    this.starts.push({ task, run, at: now, checkpoint });
    const running: Running = {
      task,
      run,
      spec,
      checkpoint,
      script,
      startedAt: now,
      workingAt: undefined,
      pace: FULL,
      resumedMs: Number(checkpoint) || 0,
      timer: undefined,
    };
    this.#running.set(task, running);
    this.#options.observer.onStart?.(this.#observed(running));
    if (crashes(running)) {
      running.timer = setTimeout(() => this.#options.onCrash(), CRASH_AFTER_MS);
      return;
    }
    const size = script.gangs[stepOf(task)];
    if (size === undefined) {
      this.#work(running);
      return;
    }
    running.timer = setTimeout(() => this.#end(running, 'alone'), this.#options.gangTimeoutMs);
    this.#options.board.join(gangOf(running), {
      task,
      size,
      member: {
        begin: () => this.#work(running),
        end: (how) => this.#end(running, how),
      },
    });
  }

  #work(running: Running): void {
    const { script, run, resumedMs } = running;
    clearTimeout(running.timer);
    const fails = run <= script.failRuns;
    if (script.servesMs !== undefined && !fails) {
      Object.assign(running, { workingAt: performance.now(), timer: undefined });
      return;
    }
    Object.assign(running, {
      workingAt: performance.now(),
      timer: setTimeout(
        () => (fails ? this.#end(running, 'failed') : this.#finish(running)),
        fails ? 0 : Math.max(0, workMsOf(running) - resumedMs),
      ),
    });
  }

  /** Its work is done: a member of a gang waits for the others. */
  #finish(running: Running): void {
    if (isOfGang(running)) this.#options.board.finish(gangOf(running), running.task);
    else this.#end(running, 'done');
  }

  #end(running: Running, how: EndWord): void {
    const { task, run } = running;
    if (this.#running.get(task) !== running) return;
    clearTimeout(running.timer);
    this.#running.delete(task);
    this.#bar(task, run);
    this.#ends += 1;
    const checkpoint = checkpointOf(running);
    this.#options.observer.onEnd?.(this.#observed(running), how);
    if (!this.forgetsEnds) this.#finished.push({ number: this.#ends, task, run, how, checkpoint });
    this.#leaveGang(running);
    [...this.#watchers].forEach((wake) => wake());
  }

  #leaveGang(running: Running): void {
    if (isOfGang(running)) this.#options.board.leave(gangOf(running), running.task);
  }

  #observed({ task, run, spec, checkpoint }: Running): ObservedRun {
    return { life: this.name, task, run, spec, checkpoint };
  }

  #bar(task: string, run: number): void {
    this.#barred.set(task, Math.max(run, this.#barred.get(task) ?? 0));
  }
}
