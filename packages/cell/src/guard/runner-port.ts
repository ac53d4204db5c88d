/** The runner beside a guard, as the guard calls it. */
import type { ListedEnd, RunStatus } from '@zincspan/core';
import type { LifeIdentity } from '../runner/life-name.js';

/** One life of a runner and where it listens. Calls name the id only: another life with that id would take them as well. */
export interface RunnerLife extends LifeIdentity {
  address: string;
}

/** What the runner said of itself in its last heartbeat. */
export interface RunnerReport extends RunnerLife {
  service: string;
  failureDomain: string;
  labels: string[];
  capacity: { milliCores: number; memoryMb: number; accelerators: number };
  draining: boolean;
  /** Least time until a draining runner ends, in ms. */
  remainingMs?: number;
  /** How much longer it works slowly after its start, in ms. */
  coldMs?: number;
  /** Rises with each heartbeat of one life. */
  sequence: number;
}

/** Why the runner refused a call. */
export type RunnerRefusal =
  /** It has seen a higher term. */
  | 'fence'
  /** This run, or a higher one, was stopped or ended there. */
  | 'old'
  /** The order's time is over. */
  | 'late'
  | 'room'
  | 'ticket'
  /** It knows no such task. */
  | 'unknown'
  /** It is unhealthy and has done nothing. */
  | 'unhealthy';

/** Answers that carry nothing but the runner's clock, in ms. */
export type RunnerAnswer<T = object> =
  | ({ outcome: 'ok'; clockMs: number } & T)
  | { outcome: 'refused'; reason: RunnerRefusal; detail: string }
  /** Another life of the runner answered. */
  | { outcome: 'wrong-life' }
  /** It may have been carried out, or may be carried out seconds later. */
  | { outcome: 'no-answer'; detail: string };

/** What runs and what has ended. */
export interface Listing {
  running: RunStatus[];
  /** Ends that weren't confirmed yet. */
  ends: ListedEnd[];
  /** When the life that answered began, as its heartbeats say it too. */
  bornMs: number | undefined;
}

/** Calls to one runner. None rejects. Times are on the runner's clock unless said otherwise. */
export interface RunnerPort {
  start(
    life: RunnerLife,
    order: {
      task: string;
      run: number;
      spec: string;
      checkpoint: string;
      ticket?: string;
      term: number;
      deadlineMs: number;
    },
    options: { timeoutMs: number },
  ): Promise<RunnerAnswer>;
  stop(
    life: RunnerLife,
    order: { task: string; run: number; term: number },
    options: { timeoutMs: number },
  ): Promise<RunnerAnswer>;
  /** Lets a run work at this share of its speed, in percent. */
  pace(
    life: RunnerLife,
    order: { task: string; run: number; percent: number; term: number },
    options: { timeoutMs: number },
  ): Promise<RunnerAnswer>;
  /** Renews the lease of all that runs, confirms ends, and waits up to `waitMs` for an end. */
  look(
    life: RunnerLife,
    order: { term: number; confirmedEnd: number; deadlineMs?: number; waitMs: number },
    options: { timeoutMs: number },
  ): Promise<RunnerAnswer<Listing>>;
}
