/** A service in virtual time, for tests: jobs of several accounts, placed by the owner's passes, without a network. */
import { ApprovalCache } from '../advice/approval-cache.js';
import { DEFAULT_CELL_POLICY } from '../config/cell-policy.js';
import type { TaskRef } from '../job/progress.js';
import type { Demand, Step } from '../job/submission.js';
import { taskName } from '../job/task-name.js';
import type { OwnedJob } from '../owner/owned-job.js';
import type { PlacementInput } from '../owner/placement-types.js';
import { planPlacement } from '../owner/placement-pass.js';
import { QueueMeanWork } from '../owner/urgency-factors.js';
import { AvailableWorker } from '../placing/available-worker.js';
import { DurationEstimator } from '../placing/duration-estimator.js';
import { FleetProfile } from '../placing/fleet-profile.js';
import { testOwnedJob, testStep, testSubmission } from '../testing/test-jobs.support.js';
import { findUsage } from './account-usage.js';
import { ShareLedger } from './share-ledger.js';

export const WHOLE: Demand = { milliCores: 8000, memoryMb: 8000, accelerators: 8 };

const PASS_MS = 100;

/** For so long a new owner doesn't know all workers, in ms. */
const DISCOVERY_MS = 800;

/** A job of a test. Times in ms. */
export interface ArrivingJob {
  atMs: number;
  account: string;
  priority?: number;
  tasks?: number;
  accelerators?: number;
  taskMs?: number;
  gang?: boolean;
}

interface Run {
  job: OwnedJob;
  ref: TaskRef;
  run: number;
  vm: string;
  demand: Demand;
  endsAt: number;
}

/** Demand for so many accelerators, with the cores and memory of the same share of a worker. */
export function accelerators(count: number): Demand {
  return { milliCores: count * 1000, memoryMb: count * 1000, accelerators: count };
}

/** A job as the owner holds it. */
export function ownedJob(
  number: number,
  {
    atMs,
    account,
    priority = 1,
    tasks = 1,
    accelerators: each = 1,
    taskMs = 2000,
    gang = false,
  }: ArrivingJob,
): OwnedJob {
  return testOwnedJob(
    testSubmission({
      id: number.toString(16).padStart(16, '0'),
      account,
      terms: {
        service: 'render',
        priority,
        maxAttempts: 2,
        stretch: 3,
        targetLatencyMs: 1000,
        needsAdvice: false,
      },
      steps: [testStep({ tasks, gang, demand: accelerators(each), estimateMs: taskMs })],
      acceptedAtMs: atMs,
    }),
  );
}

/** A worker of 8 accelerators. */
export function newWorker(vm: string, free: Demand): AvailableWorker {
  const common = { vm, runner: vm, rack: 'r1', labels: [], service: 'render' };
  return new AvailableWorker({ ...common, free, capacity: WHOLE });
}

/** Input of a pass with nothing else to consider. */
export function placementInput(
  input: Pick<PlacementInput, 'jobs' | 'workers'> & Partial<PlacementInput>,
): PlacementInput {
  return {
    guaranteedJobs: new Set(),
    profile: new FleetProfile(input.workers),
    policy: DEFAULT_CELL_POLICY,
    evacuatedRacks: new Set(),
    runningUnits: [],
    queueMeans: new QueueMeanWork(),
    durations: new DurationEstimator(),
    bounds: { reclaimMs: 2700, stopMs: 200 },
    now: 0,
    wallMs: 0,
    approvals: new ApprovalCache(),
    allWorkersKnown: true,
    ...input,
  };
}

/** Workers of 8 accelerators each. */
export class SimulatedAccounts {
  /** When all tasks of each job had started, in ms; by the job's place among the arrivals. */
  readonly startedAt = new Map<number, number>();

  /** Most accelerators that were in use at once. */
  mostInUse = 0;

  readonly #workers: number;

  readonly #fairShares: boolean;

  readonly #jobs = new Map<string, OwnedJob>();

  #runs: Run[] = [];

  #ledger = new ShareLedger();

  #ownerSince = -Infinity;

  constructor({ workers, fairShares }: { workers: number; fairShares: boolean }) {
    this.#workers = workers;
    this.#fairShares = fairShares;
  }

  /** Plays the arrivals; another owner takes over at `takeoverMs`, with nothing but the jobs and their runs. */
  play(arrivals: readonly ArrivingJob[], lengthMs: number, takeoverMs = Infinity): this {
    const waiting = arrivals.map((arrival, index) => ({ arrival, index }));
    for (let now = 0; now < lengthMs; now += PASS_MS) {
      if (now === takeoverMs) {
        this.#ledger = new ShareLedger();
        this.#ownerSince = now;
      }
      while (waiting[0] !== undefined && waiting[0].arrival.atMs <= now) {
        const { arrival, index } = waiting.shift() ?? waiting[0];
        const job = ownedJob(index, arrival);
        this.#jobs.set(job.id, job);
      }
      this.#endRuns(now);
      this.#pass(now);
      const inUse = this.#runs.reduce((sum, { demand }) => sum + demand.accelerators, 0);
      this.mostInUse = Math.max(this.mostInUse, inUse);
    }
    return this;
  }

  #endRuns(now: number): void {
    this.#runs
      .filter(({ endsAt }) => endsAt <= now)
      .forEach(({ job, ref, run }) => {
        job.progress.endRun({ ref, run, how: 'done', checkpoint: '' }, { maxAttempts: 2 });
        if (job.progress.outcome !== 'open') this.#jobs.delete(job.id);
      });
    this.#runs = this.#runs.filter(({ endsAt }) => endsAt > now);
  }

  #pass(now: number): void {
    const workers = Array.from({ length: this.#workers }, (_, index) =>
      this.#worker(`vm-${index}`),
    );
    const profile = new FleetProfile(workers);
    const allWorkersKnown = now - this.#ownerSince >= DISCOVERY_MS;
    const shares = this.#fairShares
      ? this.#ledger.beginPass({
          usage: this.#usage(),
          profile,
          accounts: [],
          allWorkersKnown,
          now,
        })
      : undefined;
    const jobs = [...this.#jobs.values()];
    const { starts } = planPlacement(
      placementInput({ jobs, workers, shares, now, wallMs: now, allWorkersKnown }),
    );
    starts.forEach(({ pending: { job, step, group }, placements }) =>
      placements.forEach(({ index, vm }) => {
        const ref = { occurrence: group.occurrence, step: group.step, index };
        const run = job.progress.startRuns([{ ref, vm, runner: vm }]);
        this.#runs.push({
          job,
          ref,
          run,
          vm,
          demand: step.demand,
          endsAt: now + step.estimateMs,
        });
        const tasks = job.progress.occurrences[0]?.steps[0]?.tasks ?? [];
        const isStarted = tasks.every(({ done, active }) => done || active !== undefined);
        if (isStarted) this.startedAt.set(Number.parseInt(job.id, 16), now);
      }),
    );
  }

  #worker(vm: string): AvailableWorker {
    const worker = newWorker(vm, WHOLE);
    this.#runs.filter((run) => run.vm === vm).forEach(({ demand }) => worker.allocate(demand, 1));
    return worker;
  }

  #usage(): ReturnType<typeof findUsage> {
    const assignments = new Map(
      this.#runs.map(({ job, ref, demand }) => [
        taskName(job.id, ref),
        { jobId: job.id, ref, demand },
      ]),
    );
    return findUsage({
      jobs: this.#jobs,
      fleet: { all: () => [{ assignments }] },
      expectedTaskMs: (_: OwnedJob, step: Step) => step.estimateMs,
    });
  }
}
