/** The decisions of a cell's owner about its jobs during one ownership term. No I/O; time comes from the context's clock. */
import type { ProcessContext } from '@zincspan/core';
import { ApprovalCache } from '../advice/approval-cache.js';
import type { ApprovalRequest } from '../advice/approval-requester.js';
import type { CellConfig } from '../config/cell-config.js';
import type { CellPolicy } from '../config/cell-policy.js';
import type { JobSnapshot } from '../job/job-view.js';
import type { EvacuationChange, Evacuations } from '../evacuation/evacuations.js';
import { LoadMonitor, type LoadMonitorOptions } from '../load/load-monitor.js';
import { withdrawPendingStarts } from '../evacuation/start-withdrawal.js';
import { DurationEstimator } from '../placing/duration-estimator.js';
import type { FleetProfile } from '../placing/fleet-profile.js';
import { WholeWorkerDemand } from '../placing/whole-worker-demand.js';
import { wholeWorkerArrivals } from './capacity-fit.js';
import { FitReport } from './fit-report.js';
import { ShareTracker } from '../share/share-tracker.js';
import { Fleet } from './fleet.js';
import { findRunningUnits } from './running-units.js';
import { OwnedJob } from './owned-job.js';
import type { ReclaimBounds } from './placement-types.js';
import { planPlacement } from './placement-pass.js';
import { RunRegistry, type RunRegistryEvents } from './run-registry.js';
import { StopRecords } from './stop-records.js';
import { stopRunsBeforeDrainEnds, stopStalledRuns } from './run-watchdog.js';
import { WaitingReport } from './waiting-report.js';
import {
  QueueMeanWork,
  describeStep,
  expectedDurations,
  findGuaranteedJobs,
  objectiveMs,
  taskWorkOf,
  totalWork,
} from './urgency-factors.js';

/**
 * A new owner preempts nothing for this long: guards find it within 0.6 s, and capacity it hasn't heard of yet looks occupied.
 * Guaranteed jobs have 2.7 s to start.
 */
const WORKER_DISCOVERY_MS = 800;

export interface SchedulerOptions {
  ctx: ProcessContext;
  /** Longest lease that a contact grants, in ms. */
  leaseMs: number;
  /** How long a previous owner may still have granted leases, in ms. */
  previousOwnerGrantMs: number;
  reclaim: ReclaimBounds;
  evacuations: Evacuations;
  config: () => CellConfig | undefined;
  policy: CellPolicy;
  /** Undefined if no load summary is needed. */
  load?: Pick<LoadMonitorOptions, 'term' | 'refusals'>;
  events: RunRegistryEvents;
}

/** Jobs, workers and what has been learned about both, for one ownership term. */
export class Scheduler {
  readonly registry: RunRegistry;

  /** Undefined if no load summary is needed, or the settings switch admission off. */
  readonly load: LoadMonitor | undefined;

  readonly approvals = new ApprovalCache();

  readonly #options: SchedulerOptions;

  readonly #queueMeans = new QueueMeanWork();

  readonly #durations = new DurationEstimator();

  /** Jobs whose work isn't in the means of their queues yet: it can't be measured before workers are known. */
  #unmeasuredJobs: OwnedJob[] = [];

  readonly #startedAt: number;

  readonly #wholeWorkers: WholeWorkerDemand;

  readonly #fitReport = new FitReport();

  readonly #shareTracker: ShareTracker;

  readonly #waitingReport = new WaitingReport();

  /** Undefined if stops aren't weighed by value. */
  readonly #stopRecords: StopRecords | undefined;

  constructor(options: SchedulerOptions) {
    this.#options = options;
    const { ctx, leaseMs, previousOwnerGrantMs, evacuations, events } = options;
    this.#startedAt = ctx.clock.now();
    this.#wholeWorkers = new WholeWorkerDemand(this.#startedAt);
    this.#stopRecords = options.policy.stopsByValue === 'off' ? undefined : new StopRecords(ctx);
    this.registry = new RunRegistry({
      ctx,
      advice: this.approvals,
      durations: this.#durations,
      fleet: new Fleet({
        clock: ctx.clock,
        evacuations,
        leaseMs,
        previousOwnerGrantMs,
      }),
      events,
      learnsSpeeds: options.policy.workerSpeeds === 'auto',
    });
    this.#shareTracker = new ShareTracker({ ctx, registry: this.registry, policy: options.policy });
    const { registry } = this;
    const { load, policy, config } = options;
    if (load === undefined || policy.admission === 'off') return;
    this.load = new LoadMonitor({
      ...load,
      ctx,
      config,
      registry,
      durations: this.#durations,
      queueMeans: this.#queueMeans,
      hasFairShares: policy.fairShares !== 'off',
    });
  }

  /** Adds a job, with the runs that a previous owner has stored. */
  add(knownJob: JobSnapshot): void {
    const { submission } = knownJob;
    const job = new OwnedJob(knownJob);
    submission.steps.forEach(({ estimateMs }) =>
      this.#durations.recordEstimate(submission.queue, estimateMs),
    );
    this.#unmeasuredJobs.push(job);
    this.registry.addJob(job);
    this.load?.noteAdded(job);
    if (job.progress.begun) return;
    const { account, queue, acceptedAtMs, steps } = submission;
    this.registry.log('job added to scheduler', {
      job: job.id,
      account,
      queue,
      priority: job.terms.priority,
      sinceAcceptedMs: Math.round(this.#options.ctx.clock.wall() - acceptedAtMs),
      objectiveMs: Math.round(objectiveMs(job, this.#durations)),
      steps: steps.map(describeStep).join(' '),
    });
  }

  /** Handles failure domains that were evacuated or reopened. */
  applyEvacuations(changes: readonly EvacuationChange[]): void {
    changes.forEach((change) => this.#applyEvacuation(change));
  }

  /** Runs one scheduling pass. Returns the requests to the placement advisor, the most urgent first. */
  runPass(): ApprovalRequest[] {
    this.registry.markUnreachableLost();
    stopStalledRuns(this.registry);
    stopRunsBeforeDrainEnds(this.registry);
    // Repeated in each pass for workers that were out of contact at the evacuation, such as after a change of owner.
    this.#options.evacuations.evacuatedDomains.forEach((failureDomain) =>
      withdrawPendingStarts(this.registry, failureDomain),
    );
    this.registry.persistCheckpoints();
    this.registry.openDueOccurrences(this.#options.ctx.clock.wall());
    this.#refreshQueueTerms();
    const requests = this.#runPlacement();
    this.#waitingReport.logIfDue(this.registry);
    this.load?.noteEnds();
    this.registry.dropEndedJobs();
    this.approvals.retainJobs((jobId) => this.registry.jobs.has(jobId));
    return requests;
  }

  #applyEvacuation({ failureDomain, isEvacuated, version }: EvacuationChange): void {
    const { ctx, evacuations } = this.#options;
    const knownForMs = Math.round(evacuations.ageMs(this.registry.now()));
    ctx.metrics.gauge(`evacuated.${failureDomain}`, isEvacuated ? 1 : 0);
    if (!isEvacuated) {
      this.registry.log('failure domain reopened', { failureDomain, version, knownForMs });
      return;
    }
    this.registry.jobs.forEach((job) => job.dropPendingStarts(failureDomain));
    const runs = withdrawPendingStarts(this.registry, failureDomain);
    this.registry.log('failure domain evacuated', { failureDomain, version, knownForMs, ...runs });
  }

  /** Adds the work of new jobs to the means of their queues once workers of their services are known. */
  #recordWork(profile: FleetProfile): void {
    this.#unmeasuredJobs = this.#unmeasuredJobs.filter((job) => {
      if (profile.of(job.terms.service) === undefined) return true;
      const { queue, steps } = job.submission;
      const taskWork = taskWorkOf(job, profile, expectedDurations(job, this.#durations));
      this.#queueMeans.record(queue, totalWork(steps, taskWork));
      wholeWorkerArrivals(job, profile, this.#durations).forEach((arrival) =>
        this.#wholeWorkers.note({ ...arrival, at: this.registry.now() }),
      );
      return false;
    });
  }

  #refreshQueueTerms(): void {
    const queues = new Map(this.#options.config()?.queues.map((queue) => [queue.name, queue]));
    this.registry.jobs.forEach((job) => {
      const queue = queues.get(job.submission.queue);
      if (queue !== undefined) job.setTerms(queue);
    });
  }

  #runPlacement(): ApprovalRequest[] {
    const { config, policy, reclaim, ctx } = this.#options;
    const jobs = [...this.registry.jobs.values()];
    const profile = this.registry.fleet.profile();
    this.#recordWork(profile);
    const accounts = config()?.accounts ?? [];
    const guarantees = new Map(
      accounts.map(({ name, guaranteedAccelerators }) => [name, guaranteedAccelerators]),
    );
    const guaranteedJobs = findGuaranteedJobs(jobs, (account) => guarantees.get(account) ?? 0);
    const allWorkersKnown = this.registry.now() - this.#startedAt >= WORKER_DISCOVERY_MS;
    const shares = this.#shareTracker.beginPass({ accounts, profile, allWorkersKnown });
    const { starts, preemptions, approvalRequests, weighedStops, fit } = planPlacement({
      jobs,
      guaranteedJobs,
      workers: this.registry.fleet.availableWorkers(),
      profile,
      policy,
      wholeWorkers: this.#wholeWorkers,
      shares,
      evacuatedRacks: this.registry.fleet.evacuatedRacks(),
      runningUnits: findRunningUnits(this.registry, guaranteedJobs, profile),
      queueMeans: this.#queueMeans,
      durations: this.#durations,
      bounds: reclaim,
      now: this.registry.now(),
      wallMs: ctx.clock.wall(),
      approvals: this.approvals,
      allWorkersKnown,
      stopRecords: this.#stopRecords,
    });
    this.#fitReport.report(ctx, fit, (msg, fields) => this.registry.log(msg, fields));
    this.#shareTracker.report(shares);
    this.#stopRecords?.record({ starts, weighedStops }, this.#durations);
    starts.forEach((start) => this.registry.assignRuns(start));
    preemptions.forEach(({ unit, forJob }) => {
      const [first] = unit.assignments;
      if (first !== undefined) this.registry.stopRun(first, `preempted for ${forJob.id}`);
      forJob.notePreemption(this.registry.now());
    });
    // Before the pass, capacity that it fills would look free.
    this.load?.update({ profile, guaranteedJobs });
    return approvalRequests;
  }
}
