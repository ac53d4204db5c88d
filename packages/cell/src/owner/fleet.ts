/** The workers of a cell, and when what was given to one that is out of contact is surely over. */
import type { Clock } from '@zincspan/core';
import { LEASE_SLACK_MS, MAX_CLOCK_SLOWDOWN } from '../clock/lease-margin.js';
import { FRESH_RUNNER_MS } from '../job/crash-record.js';
import type { Evacuations } from '../evacuation/evacuations.js';
import { Worker, type Assignment } from '../worker/worker.js';
import { Room } from '../placing/room.js';

/** Nothing is placed on a worker that was out of contact for longer, in ms: two missed contacts. */
const PLACE_WITHIN_MS = 2200;

/** Workers by VM. */
export class Fleet {
  readonly #workers = new Map<string, Worker>();

  readonly #clock: Clock;

  readonly #evacuations: Evacuations;

  /** Until then a worker that hasn't been in contact may keep tasks by an earlier owner's authority. */
  readonly #earlierGrantsEndAt: number;

  constructor({
    clock,
    evacuations,
    leaseMs,
    earlierGrantMs,
  }: {
    clock: Clock;
    evacuations: Evacuations;
    leaseMs: number;
    /** How long an earlier owner may still have given authority. */
    earlierGrantMs: number;
  }) {
    this.#clock = clock;
    this.#evacuations = evacuations;
    this.#earlierGrantsEndAt =
      clock.now() + earlierGrantMs + leaseMs * MAX_CLOCK_SLOWDOWN + LEASE_SLACK_MS;
  }

  get(vm: string): Worker {
    const known = this.#workers.get(vm);
    if (known !== undefined) return known;
    const worker = new Worker(vm);
    this.#workers.set(vm, worker);
    return worker;
  }

  all(): IterableIterator<Worker> {
    return this.#workers.values();
  }

  assign(vm: string, assignment: Assignment): void {
    this.get(vm).assignments.set(assignment.name, assignment);
  }

  /** Workers with a run of these jobs, or with an end of theirs that waits to be confirmed. */
  concernedBy(jobIds: ReadonlySet<string>): Worker[] {
    return [...this.#workers.values()].filter((worker) => {
      const hasRun = [...worker.assignments.values()].some(({ jobId }) => jobIds.has(jobId));
      return hasRun || worker.hasPendingEndOf(jobIds);
    });
  }

  /** Workers whose leases have surely ended although something was given to them. */
  lost(): Worker[] {
    const now = this.#clock.now();
    return [...this.#workers.values()].filter((worker) => {
      if (worker.assignments.size === 0) return false;
      return now > (worker.leaseEndsAt ?? this.#earlierGrantsEndAt);
    });
  }

  /** It may be given something now. */
  isPlaceable(worker: Worker): boolean {
    return !this.isEvacuated(worker) && isPlaceable(worker, this.#clock.now());
  }

  /** The operator wants nothing more to start in its failure domain. */
  isEvacuated({ runner }: Worker): boolean {
    return runner !== undefined && this.#evacuations.isEvacuated(runner.failureDomain);
  }

  /** A durable start may be ordered there now: what is known of evacuations is young enough. */
  mayOrder({ runner }: Worker): boolean {
    return this.#evacuations.mayOrder(runner?.failureDomain ?? '', this.#clock.now());
  }

  /** Racks in evacuated failure domains. */
  evacuatedRacks(): Set<string> {
    const evacuated = [...this.#workers.values()].filter((worker) => this.isEvacuated(worker));
    return new Set(evacuated.map(({ rack }) => rack));
  }

  /** Room on all workers that may be given something now. */
  rooms(): Room[] {
    const now = this.#clock.now();
    return [...this.#workers.values()]
      .filter((worker) => !this.isEvacuated(worker) && isPlaceable(worker, now))
      .map((worker) => toRoom(worker, now));
  }
}

function isPlaceable({ runner, contactAt, avoidUntil, health }: Worker, now: number): boolean {
  if (runner === undefined || runner.draining || !runner.reachable) return false;
  if (health.isQuarantined(now)) return false;
  return now - contactAt < PLACE_WITHIN_MS && now >= avoidUntil;
}

function toRoom(worker: Worker, now: number): Room {
  const { vm, rack, runner } = worker;
  const young = worker.crashSuspects(now);
  return new Room({
    vm,
    runner: runner?.id ?? '',
    rack,
    labels: runner?.labels ?? [],
    service: runner?.service ?? '',
    free: worker.freeCapacity(),
    capacity: runner?.capacity ?? { milliCores: 0, memoryMb: 0, accelerators: 0 },
    suspicion: worker.health.recentFaults(now),
    youngJobs: new Set(young.map(({ jobId }) => jobId)),
    trialOf: young.find(({ isOnProbation: isOnTrial }) => isOnTrial)?.jobId,
    isCold: worker.isCold(now),
    isFresh: now - worker.incarnationSince < FRESH_RUNNER_MS,
  });
}
