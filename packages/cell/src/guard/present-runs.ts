/**
 * Which runs were on a runner when it stopped answering, and how long each had been there. When the runner comes back as
 * another life, nothing else is left that could tell which of them took it down.
 */
import type { RunName } from '@zincspan/core';
import { runKey } from '../job/task-name.js';

/** A run and how long it had been on its runner, in ms. */
export interface PresentRun extends RunName {
  ranMs: number;
}

/** The moment from which a runner gave no answer any more. */
export interface Silence {
  /** On the guard's monotonic clock, in ms. */
  at: number;
  runs: PresentRun[];
}

/** A run, and when it was sent to the runner or first seen there, on the guard's monotonic clock, in ms. */
export interface TimedRun extends RunName {
  at: number;
}

/** Runs on one life of a runner. */
export class PresentRuns {
  readonly #since = new Map<string, TimedRun>();

  #silence: Silence | undefined;

  /** Undefined while the runner answers. */
  get silence(): Silence | undefined {
    return this.#silence;
  }

  /** The runner said yes to a start. */
  noteStarted({ task, run }: RunName, at: number): void {
    this.#since.set(runKey({ task, run }), { task, run, at });
  }

  /** All that was on the runner at `at`; what wasn't known before counts from then. */
  noteRunning(running: readonly RunName[], at: number): void {
    const keys = new Set(running.map(runKey));
    [...this.#since.keys()]
      .filter((key) => !keys.has(key))
      .forEach((key) => this.#since.delete(key));
    running
      .filter((run) => !this.#since.has(runKey(run)))
      .forEach((run) => this.noteStarted(run, at));
  }

  /** The runner answered. */
  noteAnswer(): void {
    this.#silence = undefined;
  }

  /**
   * A call got no answer. The first one in a row fixes what was there, with the starts that were on their way (`sent`). True if it
   * is the first.
   */
  noteNoAnswer(at: number, sent: readonly TimedRun[]): boolean {
    const silence = this.#silence;
    if (silence !== undefined) {
      silence.runs.push(...this.#takenSince(silence, at));
      return false;
    }
    const runs = [...this.#since.values(), ...sent].map((run) => presentRun(run, at));
    this.#silence = { at, runs };
    return true;
  }

  /**
   * Starts that were answered although the runner was silent: another life had come under its id and taken them. Unless they
   * are kept, a task that crashes that life before it is known here goes uncounted.
   */
  #takenSince({ runs, at: since }: Silence, at: number): PresentRun[] {
    const known = new Set(runs.map(runKey));
    return [...this.#since.values()]
      .filter((run) => run.at > since && !known.has(runKey(run)))
      .map((run) => presentRun(run, at));
  }
}

function presentRun({ task, run, at }: TimedRun, now: number): PresentRun {
  return { task, run, ranMs: Math.max(0, Math.round(now - at)) };
}
