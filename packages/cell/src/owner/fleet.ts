/** The workers of a cell: which may be given tasks, and whose leases have certainly expired. */
import type { Clock } from '@zincspan/core';
import { LEASE_SLACK_MS, MAX_CLOCK_SLOWDOWN } from '../clock/lease-margin.js';
import { RECENT_RESTART_MS } from '../job/crash-record.js';
import type { Evacuations } from '../evacuation/evacuations.js';
import { Worker, type Assignment } from '../worker/worker.js';
import { AvailableWorker } from '../placing/available-worker.js';
import { FleetProfile } from '../placing/fleet-profile.js';

/** Nothing is placed on a worker whose last contact is older: it has missed two. */
const MAX_CONTACT_AGE_MS = 2200;

/** Workers by VM. */
export class Fleet {
  readonly #workers = new Map<string, Worker>();

  readonly #clock: Clock;

  readonly #evacuations: Evacuations;

  /** Until then a worker that has not contacted this owner may still run tasks under a previous owner's lease. */
  readonly #previousLeasesEndAt: number;

  constructor({
    clock,
    evacuations,
    leaseMs,
    previousOwnerGrantMs,
  }: {
    clock: Clock;
    evacuations: Evacuations;
    leaseMs: number;
    /** How long a previous owner may still have granted leases. */
    previousOwnerGrantMs: number;
  }) {
    this.#clock = clock;
    this.#evacuations = evacuations;
    this.#previousLeasesEndAt =
      clock.now() + previousOwnerGrantMs + leaseMs * MAX_CLOCK_SLOWDOWN + LEASE_SLACK_MS;
  }

  get(vm: string): Worker {
    const existing = this.#workers.get(vm);
    if (existing !== undefined) return existing;
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

  /** Workers with a run of these jobs, or with an end of such a run that has not been confirmed yet. */
  workersOfJobs(jobIds: ReadonlySet<string>): Worker[] {
    return [...this.#workers.values()].filter((worker) => {
      const hasRun = [...worker.assignments.values()].some(({ jobId }) => jobIds.has(jobId));
      return hasRun || worker.hasPendingEndOf(jobIds);
    });
  }

  /** Workers with assignments whose leases have certainly expired. */
  withExpiredLeases(): Worker[] {
    const now = this.#clock.now();
    return [...this.#workers.values()].filter((worker) => {
      if (worker.assignments.size === 0) return false;
      return now > (worker.leaseEndsAt ?? this.#previousLeasesEndAt);
    });
  }

  /** True if tasks may be placed on the worker now. */
  isSchedulable(worker: Worker): boolean {
    return !this.isEvacuated(worker) && isAvailable(worker, this.#clock.now());
  }

  /** True if the operator has evacuated the worker's failure domain. */
  isEvacuated({ runner }: Worker): boolean {
    return runner !== undefined && this.#evacuations.isEvacuated(runner.failureDomain);
  }

  /** True if a durable start may be ordered there now: the evacuation state is recent and doesn't exclude it. */
  mayOrderStart({ runner }: Worker): boolean {
    return this.#evacuations.mayOrderStart(runner?.failureDomain ?? '', this.#clock.now());
  }

  /** Racks in evacuated failure domains. */
  evacuatedRacks(): Set<string> {
    const evacuated = [...this.#workers.values()].filter((worker) => this.isEvacuated(worker));
    return new Set(evacuated.map(({ rack }) => rack));
  }

  /** What the workers of each service have, also those that take nothing now. */
  profile(): FleetProfile {
    const runners = [...this.#workers.values()].flatMap(({ runner }) => runner ?? []);
    return new FleetProfile(runners);
  }

  /** Free capacity on all schedulable workers. */
  availableWorkers(): AvailableWorker[] {
    const now = this.#clock.now();
    return [...this.#workers.values()]
      .filter((worker) => !this.isEvacuated(worker) && isAvailable(worker, now))
      .map((worker) => toAvailableWorker(worker, now));
  }
}

function isAvailable(worker: Worker, now: number): boolean {
  const { runner, contactAt, avoidUntil, health } = worker;
  if (!worker.hasReachableRunner || runner?.draining) return false;
  if (health.isQuarantined(now)) return false;
  return now - contactAt < MAX_CONTACT_AGE_MS && now >= avoidUntil;
}

function toAvailableWorker(worker: Worker, now: number): AvailableWorker {
  const { vm, rack, runner } = worker;
  const recentRuns = worker.crashSuspects(now);
  return new AvailableWorker({
    vm,
    runner: runner?.id ?? '',
    rack,
    labels: runner?.labels ?? [],
    service: runner?.service ?? '',
    free: worker.freeCapacity(),
    capacity: runner?.capacity ?? { milliCores: 0, memoryMb: 0, accelerators: 0 },
    penalty: worker.health.recentFaults(now),
    startingJobs: new Set(recentRuns.map(({ jobId }) => jobId)),
    suspectJob: recentRuns.find(({ isOnProbation }) => isOnProbation)?.jobId,
    isCold: worker.isCold(now),
    speed: worker.speed.speed,
    isRestarting: worker.speed.isRestarting(now),
    isRecentlyRestarted: now - worker.incarnationSince < RECENT_RESTART_MS,
  });
}
