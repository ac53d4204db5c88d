/**
 * Tracks which runs were on a runner when it stopped answering, and how long each had been there. Once the runner is back as
 * another incarnation, nothing else tells which of them may have crashed it.
 */
import type { RunName } from '@zincspan/core';
import { runKey } from '../job/task-name.js';

/** A run and how long it had been on its runner, in ms. */
export interface AffectedRun extends RunName {
  ranMs: number;
}

/** A period in which a runner doesn't answer. */
export interface Outage {
  /** On the guard's monotonic clock, in ms. */
  startedAt: number;
  runs: AffectedRun[];
}

/** A run, and when it was sent to the runner or first seen there, on the guard's monotonic clock, in ms. */
export interface TimestampedRun extends RunName {
  at: number;
}

/** Runs on one incarnation of a runner. */
export class OutageTracker {
  readonly #runs = new Map<string, TimestampedRun>();

  #outage: Outage | undefined;

  /** Undefined while the runner answers. */
  get outage(): Outage | undefined {
    return this.#outage;
  }

  /** The runner accepted a start. */
  noteStarted({ task, run }: RunName, at: number): void {
    this.#runs.set(runKey({ task, run }), { task, run, at });
  }

  /** Sets the runs that were on the runner at `at`. Those that weren't known before count from then. */
  noteRunning(running: readonly RunName[], at: number): void {
    const runningKeys = new Set(running.map(runKey));
    [...this.#runs.keys()]
      .filter((key) => !runningKeys.has(key))
      .forEach((key) => this.#runs.delete(key));
    running
      .filter((run) => !this.#runs.has(runKey(run)))
      .forEach((run) => this.noteStarted(run, at));
  }

  /** The runner answered. */
  noteAnswer(): void {
    this.#outage = undefined;
  }

  /**
   * A call got no answer. The first such call in a row records which runs were there, with the starts in flight
   * (`pendingStarts`). True if it is the first.
   */
  noteNoAnswer(at: number, pendingStarts: readonly TimestampedRun[]): boolean {
    const outage = this.#outage;
    if (outage !== undefined) {
      outage.runs.push(...this.#acceptedSince(outage, at));
      return false;
    }
    const runs = [...this.#runs.values(), ...pendingStarts].map((run) => affectedRun(run, at));
    this.#outage = { startedAt: at, runs };
    return true;
  }

  /**
   * Starts that were accepted during the outage: another incarnation with the same id has taken them. Without them, a task that
   * crashes that incarnation before its first heartbeat arrives here goes uncounted.
   */
  #acceptedSince({ runs, startedAt }: Outage, at: number): AffectedRun[] {
    const known = new Set(runs.map(runKey));
    return [...this.#runs.values()]
      .filter((run) => run.at > startedAt && !known.has(runKey(run)))
      .map((run) => affectedRun(run, at));
  }
}

function affectedRun({ task, run, at }: TimestampedRun, now: number): AffectedRun {
  return { task, run, ranMs: Math.max(0, Math.round(now - at)) };
}
