/** The owner's in-memory state of one term: jobs, workers, and every run that may exist. All changes of progress go through it. */
import type { ProcessContext } from '@zincspan/core';
import type { ApprovalCache } from '../advice/approval-cache.js';
import { isSuspect } from '../job/crash-record.js';
import type { RunCrash, RunEnd } from '../job/progress.js';
import type { Step } from '../job/submission.js';
import { taskName } from '../job/task-name.js';
import type { DurationEstimator } from '../placing/duration-estimator.js';
import { FleetHealth } from '../worker/fleet-health.js';
import { SpeedLearner } from '../worker/speed-learner.js';
import type { Assignment, Worker } from '../worker/worker.js';
import type { Fleet } from './fleet.js';
import { observedRun } from './observed-run.js';
import type { OwnedJob } from './owned-job.js';
import type { PlannedStart } from './placement-types.js';
import { RunStopper } from './run-stopper.js';
import { StartOrders } from './start-orders.js';
import { expectedDurations, reservedDemand } from './urgency-factors.js';

/** Interval between writes of checkpoints to the store, in ms: a power failure of all machines loses the work since. */
const CHECKPOINT_WRITE_INTERVAL_MS = 1500;

/** Called on changes of the registry. */
export interface RunRegistryEvents {
  /** The job's progress has changed and has to be written. */
  onProgressChanged: (job: OwnedJob) => void;
  /** The guard on this VM should fetch its orders at once. */
  onOrdersChanged: (vm: string) => void;
}

/** Jobs, workers and runs of one term. */
export class RunRegistry {
  readonly jobs = new Map<string, OwnedJob>();

  /** Jobs that ended in this term and are no longer in `jobs`, until their rows are removed. */
  readonly endedJobs = new Set<string>();

  readonly fleet: Fleet;

  /** Decides which starts may be ordered from guards. */
  readonly orders: StartOrders;

  /** Learns how fast the workers are. */
  readonly speeds: SpeedLearner;

  readonly #ctx: ProcessContext;

  readonly #durations: DurationEstimator;

  readonly #health: FleetHealth;

  readonly #events: RunRegistryEvents;

  readonly #stopper: RunStopper;

  #checkpointsWrittenAt = -Infinity;

  constructor({
    ctx,
    fleet,
    advice,
    durations,
    events,
    learnsSpeeds = false,
  }: {
    ctx: ProcessContext;
    fleet: Fleet;
    advice: ApprovalCache;
    durations: DurationEstimator;
    events: RunRegistryEvents;
    /** False: all workers count as equally fast. */
    learnsSpeeds?: boolean;
  }) {
    this.#ctx = ctx;
    this.fleet = fleet;
    this.orders = new StartOrders({
      jobs: this.jobs,
      approvals: advice,
      fleet,
      now: () => this.now(),
    });
    this.#durations = durations;
    this.speeds = new SpeedLearner({ ctx, durations, isOn: learnsSpeeds });
    this.#health = new FleetHealth(() => [...fleet.all()].map(({ health }) => health));
    this.#events = events;
    this.#stopper = new RunStopper({
      fleet,
      onStop: ({ name, run }, vm, reason) => {
        this.log('stopping run', { task: name, run, reason });
        events.onOrdersChanged(vm);
      },
    });
  }

  now(): number {
    return this.#ctx.clock.now();
  }

  /** Increments a counter of the metrics. */
  count(name: string): void {
    this.#ctx.metrics.count(name);
  }

  log(msg: string, fields: object): void {
    this.#ctx.log.info(fields, msg);
  }

  /** Adds a job, with the active runs that an earlier owner has written. */
  addJob(job: OwnedJob): void {
    this.jobs.set(job.id, job);
    job.progress
      .activeRuns()
      .forEach(({ ref, active }) => this.#assign(job, { ref, ...active, change: 0 }));
    if (job.cancelled) this.cancelJob(job);
  }

  /** Opens occurrences that are due. */
  openDueOccurrences(wallMs: number): void {
    this.jobs.forEach((job) => {
      if (job.progress.openDueOccurrences(wallMs)) this.#recordChange(job);
    });
  }

  /** Creates and assigns runs for the tasks that a pass has placed. */
  assignRuns({ pending: wanted, placements: placed }: PlannedStart): void {
    const { job, group } = wanted;
    const { occurrence, step } = group;
    // Tasks outside a gang have a run number each.
    const sets = group.gang ? [placed] : placed.map((each) => [each]);
    sets.forEach((set) => {
      const runs = set.map(({ index, vm }) => ({
        ref: { occurrence, step, index },
        vm,
        runner: this.fleet.get(vm).runner?.id ?? '',
      }));
      const run = job.progress.startRuns(runs);
      const change = this.#recordChange(job);
      runs.forEach(({ ref, vm, runner }) => {
        const checkpoint = job.progress.findTask(ref)?.active?.checkpoint ?? '';
        this.#assign(job, { ref, run, vm, runner, checkpoint, change });
        job.addPendingStart(this.fleet.get(vm).runner?.failureDomain ?? '', change);
      });
      this.log('run assigned', {
        job: job.id,
        step: `${occurrence}.${step}`,
        run,
        priority: job.terms.priority,
        waitedMs: Math.round(this.now() - wanted.readySince),
        on: runs.map(({ ref, vm }) => `${ref.index}:${vm}`).join(' '),
      });
    });
  }

  /** Records a run's end. Returns the number of the job's change that contains it; undefined if the job isn't known. */
  recordEnd(jobId: string, end: RunEnd): number | undefined {
    const job = this.jobs.get(jobId);
    if (job === undefined) return undefined;
    const { maxAttempts } = job.terms;
    if (!job.progress.endRun(end, { maxAttempts })) {
      // It was recorded before, perhaps by a change that isn't durable yet.
      return job.lastChange;
    }
    const change = this.#recordChange(job);
    this.#ctx.metrics.count(`run.${end.how}`);
    this.log('run ended', {
      task: taskName(jobId, end.ref),
      run: end.run,
      how: end.how,
      outcome: job.progress.outcome,
    });
    job.readySince.delete(`${end.ref.occurrence}.${end.ref.step}`);
    if (end.how !== 'done') this.#stopper.stopRestOfGang(job, end);
    if (job.progress.outcome !== 'open') this.#stopper.stopJob(job, job.progress.outcome);
    return change;
  }

  /** Counts a runner's crash against one run's task. False if that changes nothing. */
  recordCrash(job: OwnedJob, crash: RunCrash): boolean {
    if (!job.progress.recordCrash(crash)) return false;
    this.#recordChange(job);
    this.#ctx.metrics.count('run.crashed');
    if (job.progress.outcome !== 'open') {
      this.#ctx.metrics.count('job.given-up');
      this.#stopper.stopJob(job, 'crashes its runners');
    }
    return true;
  }

  /** Step of a run; undefined if the run or its job isn't known. */
  stepOf(assignment: Assignment | undefined): Step | undefined {
    if (assignment === undefined) return undefined;
    return this.jobs.get(assignment.jobId)?.submission.steps[assignment.ref.step];
  }

  /** Expected duration of a task of this step, in ms. */
  expectedTaskMs(job: OwnedJob, step: Step): number {
    return expectedDurations(job, this.#durations)(step);
  }

  /** Updates the worker's health and the expected durations by a run's end. */
  recordRunHealth(worker: Worker, assignment: Assignment, how: RunEnd['how']): void {
    const { name, jobId, ref } = assignment;
    const job = this.jobs.get(jobId);
    if (how === 'done') {
      worker.health.noteSuccess();
      if (job !== undefined) this.#recordDuration(worker, job, assignment);
    }
    if (how !== 'failed') return;
    job?.avoidWorker(ref, worker.vm, this.now());
    this.recordFault(worker, name, 'run failed');
  }

  /** Records a fault that the worker may have caused. */
  recordFault(worker: Worker, task: string, what: string): void {
    if (!this.#health.noteFault(worker.health, task, this.now())) return;
    this.#ctx.metrics.count('worker.closed');
    this.log('worker quarantined', { vm: worker.vm, what, task });
  }

  /** Schedules writes of the reported checkpoints, so that they survive this owner and the runners. */
  persistCheckpoints(): void {
    if (this.now() - this.#checkpointsWrittenAt < CHECKPOINT_WRITE_INTERVAL_MS) return;
    this.#checkpointsWrittenAt = this.now();
    [...this.fleet.all()].forEach(({ assignments }) =>
      assignments.forEach(({ jobId, ref, run, checkpoint }) => {
        const job = this.jobs.get(jobId);
        if (job?.progress.recordCheckpoint({ ref, run, checkpoint })) this.#recordChange(job);
      }),
    );
  }

  /** Ends a run as lost: it certainly isn't running any more, or never was, although no end of it was reported. */
  markLost(worker: Worker, assignment: Assignment, reason: string): void {
    worker.assignments.delete(assignment.name);
    const { jobId, ref, run, checkpoint } = assignment;
    this.#ctx.metrics.count('run.lost');
    this.log('run lost', {
      task: assignment.name,
      run,
      vm: worker.vm,
      reason,
      ...this.#describeTiming(assignment),
    });
    this.recordEnd(jobId, { ref, run, how: 'lost', checkpoint });
  }

  /** Ends all runs as lost on workers whose leases have certainly expired. */
  markUnreachableLost(): void {
    this.fleet.withExpiredLeases().forEach((worker) => {
      const silentMs = Math.round(this.now() - worker.contactAt);
      [...worker.assignments.values()].forEach((assignment) =>
        this.markLost(worker, assignment, `no contact for ${silentMs} ms`),
      );
    });
  }

  /** Cancels a job for its caller. */
  cancelJob(job: OwnedJob): void {
    job.markCancelled();
    if (!job.progress.cancel()) return;
    this.log('job cancelled', { job: job.id });
    this.#recordChange(job);
    this.#stopper.stopJob(job, 'cancelled');
  }

  /** Requests the stop of a run, and of the rest of its gang. */
  stopRun(assignment: Assignment, reason: string): void {
    const job = this.jobs.get(assignment.jobId);
    if (job !== undefined) this.#stopper.stop(job, assignment, reason);
  }

  /** Runs of this job that were assigned and aren't known to have ended. */
  assignmentsOf(jobId: string): Assignment[] {
    return this.#stopper.assignmentsOf(jobId);
  }

  /** Highest number of an end that may be confirmed to the runner. */
  confirmEnds(worker: Worker): number {
    return worker.confirmEnds(({ jobId, change }) => {
      const job = this.jobs.get(jobId);
      return job === undefined || job.isDurable(change);
    });
  }

  /** Drops jobs that have ended and are written, and that have no run left on a worker. */
  dropEndedJobs(): void {
    const busy = new Set<string>();
    [...this.fleet.all()].forEach(({ assignments }) =>
      assignments.forEach(({ jobId }) => busy.add(jobId)),
    );
    this.jobs.forEach((job, id) => {
      if (job.progress.outcome === 'open' || job.isDirty || busy.has(id)) return;
      this.jobs.delete(id);
      this.endedJobs.add(id);
    });
  }

  #assign(
    job: OwnedJob,
    {
      ref,
      run,
      vm,
      runner,
      checkpoint,
      change,
    }: Pick<Assignment, 'ref' | 'run' | 'runner' | 'checkpoint' | 'change'> & { vm: string },
  ): void {
    const step = job.submission.steps[ref.step];
    if (step === undefined) return;
    const now = this.now();
    const name = taskName(job.id, ref);
    this.fleet.assign(vm, {
      name,
      jobId: job.id,
      ref,
      run,
      runner,
      demand: reservedDemand(step),
      change,
      checkpoint: job.progress.findTask(ref)?.checkpoint || checkpoint,
      resumed: checkpoint !== '',
      percent: 0,
      firstPercent: 0,
      progressAt: now,
      assignedAt: now,
      runningAt: undefined,
      unaccountedSince: undefined,
      unaccountedTold: false,
      stopping: undefined,
      isOnProbation: isSuspect(job.progress.findTask(ref)?.crashes),
    });
  }

  /** How long ago a run was assigned and first reported running, in ms, and how much of it was done. */
  #describeTiming({ assignedAt, runningAt, percent }: Assignment): object {
    const assignedMs = Math.round(this.now() - assignedAt);
    if (runningAt === undefined) return { assignedMs };
    return { assignedMs, runningMs: Math.round(this.now() - runningAt), percent };
  }

  #recordDuration(worker: Worker, job: OwnedJob, assignment: Assignment): void {
    const { ref, runningAt, resumed } = assignment;
    const step = job.submission.steps[ref.step];
    if (step === undefined || step.lasting || runningAt === undefined || resumed) return;
    const { estimateMs } = step;
    const observed = observedRun(this, assignment);
    const ranMs = this.now() - runningAt;
    // On a slow worker a task takes longer, which says nothing about the queue's tasks.
    const actualMs =
      observed === undefined ? ranMs : this.speeds.noteEnded(worker, observed, ranMs);
    this.#durations.recordRun(job.submission.queue, { estimateMs, actualMs });
    job.noteTaskDuration(step, actualMs);
  }

  #recordChange(job: OwnedJob): number {
    const change = job.addChange();
    this.#events.onProgressChanged(job);
    return change;
  }
}
