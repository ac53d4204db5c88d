/** A worker as the owner of its cell sees it: its runner's life, what was given to it, what room is left. */
import type { RunnerFacts } from '@zincspan/core';
import { LEASE_SLACK_MS, SLOW_CLOCK } from '../clock/lease-margin.js';
import { MAX_SUSPECT_AGE_MS } from '../job/crash-record.js';
import type { TaskRef } from '../job/progress.js';
import type { Demand } from '../job/submission.js';
import { Pacer } from '../pacing/pacer.js';
import { WorkerHealth } from './worker-health.js';

/** A run that takes room on a worker until its end is known. */
export interface Assignment {
  /** The task's name. */
  name: string;
  jobId: string;
  ref: TaskRef;
  run: number;
  /** The runner's life it was given to. */
  runner: string;
  demand: Demand;
  /** The job's change that made it: an order is given once that change is durable. */
  change: number;
  /** Last checkpoint that was heard of. */
  checkpoint: string;
  /** It continued from a checkpoint. */
  resumed: boolean;
  percent: number;
  /** As it was first listed: where a run that continues from a checkpoint began. */
  firstPercent: number;
  /** When `percent` last grew. */
  progressAt: number;
  assignedAt: number;
  /** First listed as running, on the owner's monotonic clock; undefined before. */
  runningAt: number | undefined;
  /** Since when its worker has told nothing of it and was told nothing of it either, for the log; undefined: it is accounted for. */
  unaccountedSince: number | undefined;
  /** The log told of it. */
  unaccountedTold: boolean;
  /** Why it is to be stopped. */
  stopping: string | undefined;
  /** The runner crashed under the run before it: whether it does again is to be seen. */
  isOnTrial: boolean;
}

/** An end that was taken up and isn't durable yet. */
interface PendingEnd {
  jobId: string;
  change: number;
}

/** One VM with a guard and, mostly, a runner. */
export class Worker {
  readonly vm: string;

  readonly assignments = new Map<string, Assignment>();

  readonly health = new WorkerHealth();

  readonly pacer = new Pacer();

  readonly #ends = new Map<number, PendingEnd>();

  #contactAt = -Infinity;

  #lifeSince = -Infinity;

  #avoidUntil = -Infinity;

  #leaseEndsAt: number | undefined;

  #drainEndsAt = Infinity;

  #coldUntil = -Infinity;

  #confirmedEnd = 0;

  #runner: RunnerFacts | undefined;

  constructor(vm: string) {
    this.vm = vm;
  }

  /** As it last described itself. */
  get runner(): RunnerFacts | undefined {
    return this.#runner;
  }

  get rack(): string {
    return rackOf(this.#runner?.labels ?? []);
  }

  /** When its runner's present life was first heard of. */
  get lifeSince(): number {
    return this.#lifeSince;
  }

  /** When it was last in contact. */
  get contactAt(): number {
    return this.#contactAt;
  }

  /** It refused a start: nothing is given to it until then. */
  get avoidUntil(): number {
    return this.#avoidUntil;
  }

  /** By when all authority that this owner gave it has surely ended; undefined while it gave none. */
  get leaseEndsAt(): number | undefined {
    return this.#leaseEndsAt;
  }

  /** It may keep its tasks for this long. */
  grant(now: number, leaseMs: number): void {
    const endsAt = now + leaseMs * SLOW_CLOCK + LEASE_SLACK_MS;
    this.#leaseEndsAt = Math.max(this.#leaseEndsAt ?? -Infinity, endsAt);
  }

  /** Its runner goes on at least until then; Infinity unless it is draining. */
  get drainEndsAt(): number {
    return this.#drainEndsAt;
  }

  /** Its runner has started lately and works slowly. */
  isCold(now: number): boolean {
    return now < this.#coldUntil;
  }

  avoid(until: number): void {
    this.#avoidUntil = Math.max(this.#avoidUntil, until);
  }

  /** It is in contact. A new life of its runner numbers its ends anew. */
  noteContact(now: number, runner: RunnerFacts | undefined): void {
    this.#contactAt = now;
    if (runner === undefined) return;
    if (runner.id !== this.#runner?.id) {
      this.#ends.clear();
      this.#confirmedEnd = 0;
      this.#drainEndsAt = Infinity;
      this.#lifeSince = now;
    }
    this.#runner = runner;
    this.#coldUntil = now + (runner.coldMs ?? 0);
    // What it last said may be as old as a heartbeat: the earliest moment that follows from it stands.
    if (runner.draining && runner.remainingMs !== undefined) {
      this.#drainEndsAt = Math.min(this.#drainEndsAt, now + runner.remainingMs);
    }
  }

  /** Runs that would be suspects if the runner crashed now. */
  youngRuns(now: number): Assignment[] {
    return [...this.assignments.values()].filter(
      ({ runningAt }) => runningAt === undefined || now - runningAt < MAX_SUSPECT_AGE_MS,
    );
  }

  /** Room that nothing was given, also not what is still being stopped. */
  free(): Demand {
    const capacity = this.#runner?.capacity ?? { milliCores: 0, memoryMb: 0, accelerators: 0 };
    const free = { ...capacity };
    this.assignments.forEach(({ demand }) => {
      free.milliCores -= demand.milliCores;
      free.memoryMb -= demand.memoryMb;
      free.accelerators -= demand.accelerators;
    });
    return free;
  }

  /** True if this end was taken up before. */
  hasEnd(number: number): boolean {
    return number <= this.#confirmedEnd || this.#ends.has(number);
  }

  noteEnd(number: number, end: PendingEnd): void {
    this.#ends.set(number, end);
  }

  /** True if an end of one of these jobs waits to be confirmed. */
  hasPendingEndOf(jobIds: ReadonlySet<string>): boolean {
    return [...this.#ends.values()].some(({ jobId }) => jobIds.has(jobId));
  }

  /** Highest number up to which all ends that were listed are durable. */
  confirmEnds(isDurable: (end: PendingEnd) => boolean): number {
    [...this.#ends.entries()]
      .sort(([a], [b]) => a - b)
      .every(([number, end]) => {
        if (!isDurable(end)) return false;
        this.#ends.delete(number);
        this.#confirmedEnd = Math.max(this.#confirmedEnd, number);
        return true;
      });
    return this.#confirmedEnd;
  }
}

/** The rack among a runner's labels: the kind of machine comes first, the rack second. */
export function rackOf(labels: readonly string[]): string {
  return labels[1] ?? '';
}
