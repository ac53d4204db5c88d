/** Fit in all resource dimensions during one placement pass, and the limits on small tasks while whole workers are short. */
import {
  totalTasksFitting,
  type AvailableWorker,
  type TaskGroup,
} from '../placing/available-worker.js';
import type { FitTerms } from '../placing/best-fit.js';
import { dominantShare, type FleetProfile } from '../placing/fleet-profile.js';
import type { DurationEstimator } from '../placing/duration-estimator.js';
import type { WholeWorkerArrival } from '../placing/whole-worker-demand.js';
import {
  isSlackUsedUp,
  slackMs,
  tasksNeededAtOnce,
  type SmallTaskProgress,
} from '../placing/small-task-limit.js';
import { leanDemand, strandedAccelerators } from '../placing/worker-fit.js';
import { criticalPathMs, type Demand } from '../job/submission.js';
import type { Assignment } from '../worker/worker.js';
import type { OwnedJob } from './owned-job.js';
import type { PendingGroup } from './pending-groups.js';
import type { PlacementInput, RunningUnit } from './placement-types.js';
import type { RankedGroup } from './ranked-groups.js';
import { expectedDurations } from './urgency-factors.js';

/** Tasks that need more than this share of a worker count as needing it whole, others as small. */
export const SMALL_TASK_SHARE = 0.5;

/** Usage of a service below which nothing that could start waits. */
const BUSY_SHARE = 0.5;

/** What a group may have now. */
export interface SmallTaskAllowance {
  tasks: number;
  mayOpen: number;
}

/** Tasks of a job that were not started to keep workers free. */
export interface SmallTaskDeferral {
  job: OwnedJob;
  started: number;
  deferred: number;
  /** Wholly free workers to keep. */
  keep: number;
  slackMs: number;
}

/** State of all services before a pass. */
export interface FitState {
  freeAccelerators: number;
  strandedAccelerators: number;
  wholeWorkersFree: number;
  wholeWorkersKept: number;
}

/** What a pass has to report. */
export interface FitSummary {
  deferrals: readonly SmallTaskDeferral[];
  /** Computed on demand, as it takes time that grows with the workers. */
  state: () => FitState;
}

interface ServiceUse {
  lean: Demand;
  keep: number;
  accelerators: number;
  /** Accelerators in use, with those of the starts that the pass has planned. */
  used: number;
}

/** One instance per pass. */
export class CapacityFit {
  readonly #input: PlacementInput;

  readonly #services = new Map<string, ServiceUse>();

  #assignments: ReadonlyMap<OwnedJob, readonly Assignment[]> | undefined;

  readonly #deferrals: SmallTaskDeferral[] = [];

  constructor(input: PlacementInput) {
    this.#input = input;
  }

  get isOn(): boolean {
    return this.#input.policy.capacityFit !== 'off';
  }

  /** How to fit this group; undefined if the part is off. */
  termsOf({ service }: TaskGroup): FitTerms | undefined {
    if (!this.isOn) return undefined;
    return { lean: this.#use(service).lean, mayOpen: Infinity };
  }

  noteStarted({ service, demand }: TaskGroup, tasks: number): void {
    this.#use(service).used += tasks * demand.accelerators;
  }

  /** Tasks of the group that start as on an idle service: until half of its accelerators are in use; a gang whole. */
  tasksWhileIdle({ service, demand, gang }: TaskGroup): number {
    const { accelerators, used } = this.#use(service);
    const missing = BUSY_SHARE * accelerators - used;
    if (missing <= 0) return 0;
    return gang ? Infinity : Math.ceil(missing / Math.max(1, demand.accelerators));
  }

  /** Undefined if nothing limits the group. `startedNow`: its tasks that this pass has planned to start already. */
  allowanceFor(
    { pending, factors }: RankedGroup,
    free: readonly AvailableWorker[],
    startedNow: number,
  ): SmallTaskAllowance | undefined {
    if (!this.isLimitable({ pending, factors })) return undefined;
    const { keep } = this.#use(pending.group.service);
    const known = this.#progressOf(pending, factors);
    const progress = { ...known, running: known.running + startedNow };
    if (keep === 0 || isSlackUsedUp(progress)) return undefined;
    const wholeFree = free.filter(
      (worker) => worker.service === pending.group.service && worker.isWhollyFree,
    ).length;
    const isCapped = !pending.group.gang && wholeFree <= keep;
    return {
      tasks: isCapped ? Math.max(0, tasksNeededAtOnce(progress) - progress.running) : Infinity,
      mayOpen: Math.max(0, wholeFree - keep),
    };
  }

  /** Records the tasks of the group that are left although they fit into what is free. */
  noteDeferred(
    { pending, factors }: RankedGroup,
    deferred: number,
    free: readonly AvailableWorker[],
  ): void {
    const { job, group } = pending;
    if (totalTasksFitting(group, free) < (group.gang ? deferred : 1)) return;
    const started = group.indexes.length - deferred;
    const { keep } = this.#use(group.service);
    const slack = slackMs(this.#progressOf(pending, factors));
    this.#deferrals.push({ job, started, deferred, keep, slackMs: slack });
  }

  /** Small tasks that take more than a worker together and aren't urgent, single or a gang. */
  isLimitable({ pending: { group, step }, factors }: RankedGroup): boolean {
    if (!this.isOn || factors.claim || factors.priority === 0) return false;
    if (group.isSuspect) return false;
    // The limit of tasks per worker counts over tasks that are placed together, and these are placed in parts.
    if (group.maxPerWorker !== undefined) return false;
    const typical = this.#input.profile.of(group.service)?.typical;
    if (typical === undefined) return false;
    const share = dominantShare(group.demand, typical);
    return share <= SMALL_TASK_SHARE && step.tasks * share > 1;
  }

  /** Undefined if the part is off. */
  summary(): FitSummary | undefined {
    return this.isOn ? { deferrals: this.#deferrals, state: () => this.#state() } : undefined;
  }

  #state(): FitState {
    const { workers } = this.#input;
    const sum = (of: (worker: AvailableWorker) => number): number =>
      workers.reduce((total, worker) => total + of(worker), 0);
    const services = [...new Set(workers.map(({ service }) => service))];
    return {
      freeAccelerators: sum(({ free }) => free.accelerators),
      strandedAccelerators: sum(({ free, service }) =>
        strandedAccelerators(free, this.#use(service).lean),
      ),
      wholeWorkersFree: sum(({ isWhollyFree }) => Number(isWhollyFree)),
      wholeWorkersKept: services.reduce((total, each) => total + this.#use(each).keep, 0),
    };
  }

  #use(service: string): ServiceUse {
    const known = this.#services.get(service);
    if (known !== undefined) return known;
    const { jobs, workers, profile, wholeWorkers, now } = this.#input;
    const own = workers.filter((worker) => worker.service === service);
    const accelerators = own.reduce((sum, { capacity }) => sum + capacity.accelerators, 0);
    const free = own.reduce((sum, worker) => sum + worker.free.accelerators, 0);
    const use = {
      lean: leanDemand(
        jobs
          .filter(({ terms }) => terms.service === service)
          .flatMap(({ submission }) => submission.steps.map(({ demand }) => demand)),
      ),
      keep: wholeWorkers?.workersToKeep(service, profile.of(service)?.workers ?? 0, now) ?? 0,
      accelerators,
      used: accelerators - free,
    };
    this.#services.set(service, use);
    return use;
  }

  #assignmentsOf(job: OwnedJob): readonly Assignment[] {
    this.#assignments ??= indexByJob(this.#input.runningUnits);
    return this.#assignments.get(job) ?? [];
  }

  #progressOf(
    { job, group, step, readySince }: PendingGroup,
    { ageMs, objectiveMs }: RankedGroup['factors'],
  ): SmallTaskProgress {
    const { now, durations } = this.#input;
    const expectedMs = expectedDurations(job, durations);
    const taskMs = expectedMs(step);
    const running = this.#assignmentsOf(job).filter(
      ({ ref }) => ref.step === group.step && ref.occurrence === group.occurrence,
    );
    const leftMs = running.map(({ assignedAt }) => Math.max(0, taskMs - (now - assignedAt)));
    return {
      waiting: group.indexes.length,
      running: running.length,
      runningMs: leftMs.reduce((sum, ms) => sum + ms, 0) / Math.max(1, running.length),
      taskMs,
      ageMs,
      readyAgeMs: Math.max(0, ageMs - (now - readySince)),
      objectiveMs,
      laterMs: laterMs(job, group.step, expectedMs),
    };
  }
}

function indexByJob(units: readonly RunningUnit[]): Map<OwnedJob, Assignment[]> {
  const byJob = new Map<OwnedJob, Assignment[]>();
  units.forEach(({ job, assignments }) => {
    const known = byJob.get(job) ?? [];
    known.push(...assignments);
    byJob.set(job, known);
  });
  return byJob;
}

/** Tasks of a job that need a worker each, of the steps that have not begun. */
export function wholeWorkerArrivals(
  job: OwnedJob,
  profile: FleetProfile,
  durations: DurationEstimator,
): Omit<WholeWorkerArrival, 'at'>[] {
  const { service } = job.terms;
  const typical = profile.of(service)?.typical;
  if (typical === undefined || job.progress.begun) return [];
  const expectedMs = expectedDurations(job, durations);
  return job.submission.steps
    .filter(({ demand }) => dominantShare(demand, typical) > SMALL_TASK_SHARE)
    .map((step) => ({
      service,
      priority: job.terms.priority,
      tasks: step.tasks,
      taskMs: expectedMs(step),
    }));
}

/** Expected time of the steps that wait for this one, directly or not. */
function laterMs(
  { submission: { steps } }: OwnedJob,
  step: number,
  expectedMs: (step: OwnedJob['submission']['steps'][number]) => number,
): number {
  const followers = new Set([step]);
  // Steps only wait for earlier ones.
  steps.forEach(({ after }, index) => {
    if (after.some((other) => followers.has(other))) followers.add(index);
  });
  return criticalPathMs(steps, (each, index) =>
    index !== step && followers.has(index) ? expectedMs(each) : 0,
  );
}
