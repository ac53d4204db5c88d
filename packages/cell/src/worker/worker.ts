/** A worker as the owner of its cell sees it: its runner's incarnation, the runs assigned to it, and its free capacity. */
import type { RunnerFacts } from '@zincspan/core';
import { LEASE_SLACK_MS, MAX_CLOCK_SLOWDOWN } from '../clock/lease-margin.js';
import { MAX_SUSPECT_AGE_MS } from '../job/crash-record.js';
import type { TaskRef } from '../job/progress.js';
import type { Demand } from '../job/submission.js';
import { PaceController } from '../pacing/pace-controller.js';
import { WorkerHealth } from './worker-health.js';
import { WorkerSpeed } from './worker-speed.js';

/** A run that occupies capacity on a worker until its end is known. */
export interface Assignment {
  /** The task's name. */
  name: string;
  jobId: string;
  ref: TaskRef;
  run: number;
  /** The runner incarnation that it was assigned to. */
  runner: string;
  demand: Demand;
  /** Number of the job's change that made the assignment: the start is ordered only once that change is durable. */
  change: number;
  /** The last checkpoint reported. */
  checkpoint: string;
  /** True if it resumed from a checkpoint. */
  resumed: boolean;
  percent: number;
  /** `percent` when first listed: where a run that resumes from a checkpoint began. */
  firstPercent: number;
  /** When `percent` last grew. */
  progressAt: number;
  assignedAt: number;
  /** When it was first listed as running, on the owner's monotonic clock; undefined before. */
  runningAt: number | undefined;
  /**
   * Since when neither its worker has reported it nor the owner has sent its worker an order about it, for the log; undefined
   * while it is accounted for.
   */
  unaccountedSince: number | undefined;
  /** True once the log has named it as unaccounted for. */
  unaccountedTold: boolean;
  /** Why it is to be stopped; undefined if it isn't. */
  stopping: string | undefined;
  /** The runner crashed during the task's previous run: whether this task is the cause is still to be seen. */
  isOnProbation: boolean;
}

/** A run's end that was received and isn't durable yet. */
interface PendingEnd {
  jobId: string;
  change: number;
}

/** One VM with a guard and usually a runner. */
export class Worker {
  readonly vm: string;

  readonly assignments = new Map<string, Assignment>();

  readonly health = new WorkerHealth();

  readonly paceController = new PaceController();

  readonly speed = new WorkerSpeed();

  readonly #pendingEnds = new Map<number, PendingEnd>();

  #contactAt = -Infinity;

  #incarnationSince = -Infinity;

  #avoidUntil = -Infinity;

  #leaseEndsAt: number | undefined;

  #drainEndsAt = Infinity;

  #coldUntil = -Infinity;

  #confirmedEnd = 0;

  #runner: RunnerFacts | undefined;

  #isRunnerReported: boolean | undefined;

  constructor(vm: string) {
    this.vm = vm;
  }

  /** The runner's latest description of itself. */
  get runner(): RunnerFacts | undefined {
    return this.#runner;
  }

  /** Whether the latest contact reported a runner; undefined before the first contact. */
  get isRunnerReported(): boolean | undefined {
    return this.#isRunnerReported;
  }

  /** True if the latest contact reported a runner that answers its guard. */
  get hasReachableRunner(): boolean {
    return this.#isRunnerReported === true && this.#runner?.reachable === true;
  }

  get rack(): string {
    return rackOf(this.#runner?.labels ?? []);
  }

  /** When its runner's present incarnation was first reported. */
  get incarnationSince(): number {
    return this.#incarnationSince;
  }

  /** Time of the last contact. */
  get contactAt(): number {
    return this.#contactAt;
  }

  /** Nothing is placed on it before this time, as it refused a start. */
  get avoidUntil(): number {
    return this.#avoidUntil;
  }

  /** When every lease that this owner granted it has surely expired; undefined if it granted none. */
  get leaseEndsAt(): number | undefined {
    return this.#leaseEndsAt;
  }

  /** Grants a lease: the worker may keep its tasks for this long. */
  grantLease(now: number, leaseMs: number): void {
    const endsAt = now + leaseMs * MAX_CLOCK_SLOWDOWN + LEASE_SLACK_MS;
    this.#leaseEndsAt = Math.max(this.#leaseEndsAt ?? -Infinity, endsAt);
  }

  /** Earliest time at which its runner may end; Infinity unless it is draining. */
  get drainEndsAt(): number {
    return this.#drainEndsAt;
  }

  /** True while its runner works slowly after a start. */
  isCold(now: number): boolean {
    return now < this.#coldUntil;
  }

  avoid(until: number): void {
    this.#avoidUntil = Math.max(this.#avoidUntil, until);
  }

  /** The guard made contact. A new incarnation of its runner numbers its ended runs from 1 again. */
  noteContact(now: number, runner: RunnerFacts | undefined): void {
    this.#contactAt = now;
    this.#isRunnerReported = runner !== undefined;
    if (runner === undefined) return;
    if (runner.id !== this.#runner?.id) {
      this.#pendingEnds.clear();
      this.#confirmedEnd = 0;
      this.#drainEndsAt = Infinity;
      this.#incarnationSince = now;
    }
    this.#runner = runner;
    this.#coldUntil = now + (runner.coldMs ?? 0);
    // The remaining time may be as old as a heartbeat: the earliest end that follows from any report stands.
    if (runner.draining && runner.remainingMs !== undefined) {
      this.#drainEndsAt = Math.min(this.#drainEndsAt, now + runner.remainingMs);
    }
  }

  /** Runs that would be suspected of the crash if the runner crashed now. */
  crashSuspects(now: number): Assignment[] {
    return [...this.assignments.values()].filter(
      ({ runningAt }) => runningAt === undefined || now - runningAt < MAX_SUSPECT_AGE_MS,
    );
  }

  /** Capacity that no run occupies. A run that is being stopped still occupies its share. */
  freeCapacity(): Demand {
    const capacity = this.#runner?.capacity ?? { milliCores: 0, memoryMb: 0, accelerators: 0 };
    const free = { ...capacity };
    this.assignments.forEach(({ demand }) => {
      free.milliCores -= demand.milliCores;
      free.memoryMb -= demand.memoryMb;
      free.accelerators -= demand.accelerators;
    });
    return free;
  }

  /** True if this end was received before. */
  hasEnd(number: number): boolean {
    return number <= this.#confirmedEnd || this.#pendingEnds.has(number);
  }

  noteEnd(number: number, end: PendingEnd): void {
    this.#pendingEnds.set(number, end);
  }

  /** True if an end of one of these jobs isn't durable yet. */
  hasPendingEndOf(jobIds: ReadonlySet<string>): boolean {
    return [...this.#pendingEnds.values()].some(({ jobId }) => jobIds.has(jobId));
  }

  /** Highest number up to which all listed ends are durable. */
  confirmEnds(isDurable: (end: PendingEnd) => boolean): number {
    [...this.#pendingEnds.entries()]
      .sort(([a], [b]) => a - b)
      .every(([number, end]) => {
        if (!isDurable(end)) return false;
        this.#pendingEnds.delete(number);
        this.#confirmedEnd = Math.max(this.#confirmedEnd, number);
        return true;
      });
    return this.#confirmedEnd;
  }
}

/** The rack among a runner's labels: the machine class comes first, the rack second. */
export function rackOf(labels: readonly string[]): string {
  return labels[1] ?? '';
}
