/** Calls from a guard to the runner on its VM. */
import type { ListedEnd, RunStatus } from '@zincspan/core';
import type { RunnerIdentity } from '../runner/incarnation-id.js';

/**
 * One incarnation of a runner and where it listens. Calls name only the id: another incarnation with that id would accept them as
 * well.
 */
export interface RunnerIncarnation extends RunnerIdentity {
  address: string;
}

/** The runner's description of itself in its last heartbeat. */
export interface RunnerHeartbeat extends RunnerIncarnation {
  service: string;
  failureDomain: string;
  labels: string[];
  capacity: { milliCores: number; memoryMb: number; accelerators: number };
  draining: boolean;
  /** Least time until a draining runner ends, in ms. */
  remainingMs?: number;
  /** How much longer it works slowly after its start, in ms. */
  coldMs?: number;
  /** Increases with each heartbeat of an incarnation. */
  sequence: number;
}

/** Why the runner refused a call. */
export type RunnerRefusal =
  /** It has seen a higher term. */
  | 'fence'
  /** This run of the task, or one with a higher number, was stopped or ended there. */
  | 'old'
  /** The deadline of the order has passed. */
  | 'late'
  | 'room'
  | 'ticket'
  /** It doesn't know the task. */
  | 'unknown'
  /** It is unhealthy and has done nothing. */
  | 'unhealthy';

/** Answer of a runner. `clockMs`: the runner's clock, in ms. */
export type RunnerAnswer<T = object> =
  | ({ outcome: 'ok'; clockMs: number } & T)
  | { outcome: 'refused'; reason: RunnerRefusal; detail: string }
  /** Another incarnation of the runner answered. */
  | { outcome: 'wrong-life' }
  /** The call may have been carried out, or may still be, seconds later. */
  | { outcome: 'no-answer'; detail: string };

/** Runs that are running and runs that have ended. */
export interface RunListing {
  running: RunStatus[];
  /** Ended runs that the guard hasn't confirmed yet. */
  ends: ListedEnd[];
  /** There may be further ended runs: the runner lists them once some of these are confirmed. */
  hasMoreEnds: boolean;
  /** Start time of the incarnation that answered, as in its heartbeats. */
  bornMs: number | undefined;
}

/** Calls to one runner. None rejects. Times are on the runner's clock unless said otherwise. */
export interface RunnerApi {
  start(
    incarnation: RunnerIncarnation,
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
    incarnation: RunnerIncarnation,
    order: { task: string; run: number; term: number },
    options: { timeoutMs: number },
  ): Promise<RunnerAnswer>;
  /** Sets the speed of a run, in percent of full speed. */
  pace(
    incarnation: RunnerIncarnation,
    order: { task: string; run: number; percent: number; term: number },
    options: { timeoutMs: number },
  ): Promise<RunnerAnswer>;
  /** Renews the lease of all runs, confirms ended runs, and waits up to `waitMs` for a run to end. */
  poll(
    incarnation: RunnerIncarnation,
    order: { term: number; confirmedEnd: number; deadlineMs?: number; waitMs: number },
    options: { timeoutMs: number },
  ): Promise<RunnerAnswer<RunListing>>;
}
