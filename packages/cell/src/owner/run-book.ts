/** The owner's books of one term: jobs, workers, and every run that may exist. All changes of progress pass through it. */
import type { ProcessContext } from '@zincspan/core';
import type { AdviceBook } from '../advice/advice-book.js';
import { isSuspect } from '../job/crash-record.js';
import type { RunCrash, RunEnd } from '../job/progress.js';
import type { Step } from '../job/submission.js';
import { taskName } from '../job/task-name.js';
import type { DurationBook } from '../placing/duration-book.js';
import { FleetHealth } from '../worker/fleet-health.js';
import type { Assignment, Worker } from '../worker/worker.js';
import type { Fleet } from './fleet.js';
import type { OwnedJob } from './owned-job.js';
import type { Start } from './pass-input.js';
import { RunStopper } from './run-stopper.js';
import { StartOrders } from './start-orders.js';
import { durationsOf, roomDemand } from './standings.js';

/** Checkpoints are written this often, in ms: a power failure of all machines costs what came since. */
const KEEP_CHECKPOINTS_MS = 1500;

/** What the book's user does about a change. */
export interface RunBookEvents {
  /** Progress changed and has to be written. */
  onChanged: (job: OwnedJob) => void;
  /** The guard of this VM should hear of it at once. */
  onNews: (vm: string) => void;
}

/** Jobs and runs of one term. */
export class RunBook {
  readonly jobs = new Map<string, OwnedJob>();

  /** Jobs that this term has ended and forgotten, until their rows are removed. */
  readonly ended = new Set<string>();

  readonly fleet: Fleet;

  /** What guards may be told to start. */
  readonly orders: StartOrders;

  readonly #ctx: ProcessContext;

  readonly #durations: DurationBook;

  readonly #health: FleetHealth;

  readonly #events: RunBookEvents;

  readonly #stopper: RunStopper;

  #checkpointsKeptAt = -Infinity;

  constructor({
    ctx,
    fleet,
    advice,
    durations,
    events,
  }: {
    ctx: ProcessContext;
    fleet: Fleet;
    advice: AdviceBook;
    durations: DurationBook;
    events: RunBookEvents;
  }) {
    this.#ctx = ctx;
    this.fleet = fleet;
    this.orders = new StartOrders({
      jobs: this.jobs,
      advice,
      fleet,
      now: () => this.now(),
    });
    this.#durations = durations;
    this.#health = new FleetHealth(() => [...fleet.all()].map(({ health }) => health));
    this.#events = events;
    this.#stopper = new RunStopper({
      fleet,
      onStop: ({ name, run }, vm, reason) => {
        this.log('run to be stopped', { task: name, run, reason });
        events.onNews(vm);
      },
    });
  }

  now(): number {
    return this.#ctx.clock.now();
  }

  /** Counts something that has come to pass. */
  count(name: string): void {
    this.#ctx.metrics.count(name);
  }

  log(msg: string, fields: object): void {
    this.#ctx.log.info(fields, msg);
  }

  /** Takes a job in, with the runs that an earlier owner wrote down. */
  add(job: OwnedJob): void {
    this.jobs.set(job.id, job);
    job.progress
      .activeRuns()
      .forEach(({ ref, active }) => this.#assign(job, { ref, ...active, change: 0 }));
    if (job.cancelled) this.cancel(job);
  }

  /** Opens occurrences that are due. */
  openDue(wallMs: number): void {
    this.jobs.forEach((job) => {
      if (job.progress.openDue(wallMs)) this.#changed(job);
    });
  }

  /** Writes runs down for what a pass has placed. */
  start({ wanted, placed }: Start): void {
    const { job, group } = wanted;
    const { occurrence, step } = group;
    // Single tasks have run numbers of their own.
    const sets = group.gang ? [placed] : placed.map((each) => [each]);
    sets.forEach((set) => {
      const runs = set.map(({ index, vm }) => ({
        ref: { occurrence, step, index },
        vm,
        runner: this.fleet.get(vm).runner?.id ?? '',
      }));
      const run = job.progress.startRuns(runs);
      const change = this.#changed(job);
      runs.forEach(({ ref, vm, runner }) => {
        const checkpoint = job.progress.findTask(ref)?.active?.checkpoint ?? '';
        this.#assign(job, { ref, run, vm, runner, checkpoint, change });
        job.noteStart(this.fleet.get(vm).runner?.failureDomain ?? '', change);
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

  /** Notes a run's end; answers the number of the change, undefined if it changed nothing. */
  end(jobId: string, end: RunEnd): number | undefined {
    const job = this.jobs.get(jobId);
    if (job === undefined) return undefined;
    const { maxAttempts } = job.terms;
    if (!job.progress.endRun(end, { maxAttempts })) {
      // It was taken up before, perhaps by a change that isn't durable yet.
      return job.change;
    }
    const change = this.#changed(job);
    this.#ctx.metrics.count(`run.${end.how}`);
    this.log('run ended', {
      task: taskName(jobId, end.ref),
      run: end.run,
      how: end.how,
      outcome: job.progress.outcome,
    });
    job.readySince.delete(`${end.ref.occurrence}.${end.ref.step}`);
    if (end.how !== 'done') this.#stopper.stopRestOfGang(job, end);
    if (job.progress.outcome !== 'open') this.#stopper.stopAll(job, job.progress.outcome);
    return change;
  }

  /** Counts a runner's crash against one run's task. False if that says nothing new. */
  noteCrash(job: OwnedJob, crash: RunCrash): boolean {
    if (!job.progress.noteCrash(crash)) return false;
    this.#changed(job);
    this.#ctx.metrics.count('run.crashed');
    if (job.progress.outcome !== 'open') {
      this.#ctx.metrics.count('job.given-up');
      this.#stopper.stopAll(job, 'crashes its runners');
    }
    return true;
  }

  /** The step that a run is of; undefined for one that isn't known. */
  stepOf(assignment: Assignment | undefined): Step | undefined {
    if (assignment === undefined) return undefined;
    return this.jobs.get(assignment.jobId)?.submission.steps[assignment.ref.step];
  }

  /** How long a task of this step is expected to take, in ms. */
  expectedMs(job: OwnedJob, step: Step): number {
    return durationsOf(job, this.#durations)(step);
  }

  /** What a run's end says of its worker. */
  noteHealth(worker: Worker, assignment: Assignment, how: RunEnd['how']): void {
    const { name, jobId, ref } = assignment;
    const job = this.jobs.get(jobId);
    if (how === 'done') {
      worker.health.noteSuccess();
      if (job !== undefined) this.#noteDuration(job, assignment);
    }
    if (how !== 'failed') return;
    job?.avoid(ref, worker.vm, this.now());
    this.noteFault(worker, name, 'a run failed');
  }

  /** Something went wrong on a worker that may be its fault. */
  noteFault(worker: Worker, task: string, what: string): void {
    if (!this.#health.noteFault(worker.health, task, this.now())) return;
    this.#ctx.metrics.count('worker.closed');
    this.log('worker closed', { vm: worker.vm, what, task });
  }

  /** Writes checkpoints down that were heard of, so that they outlast this owner and the runners. */
  keepCheckpoints(): void {
    if (this.now() - this.#checkpointsKeptAt < KEEP_CHECKPOINTS_MS) return;
    this.#checkpointsKeptAt = this.now();
    [...this.fleet.all()].forEach(({ assignments }) =>
      assignments.forEach(({ jobId, ref, run, checkpoint }) => {
        const job = this.jobs.get(jobId);
        if (job?.progress.keepCheckpoint({ ref, run, checkpoint })) this.#changed(job);
      }),
    );
  }

  /** A run that surely doesn't run any more, or never did, although no end of it was listed. */
  lose(worker: Worker, assignment: Assignment, reason: string): void {
    worker.assignments.delete(assignment.name);
    const { jobId, ref, run, checkpoint } = assignment;
    this.#ctx.metrics.count('run.lost');
    this.log('run given up', {
      task: assignment.name,
      run,
      vm: worker.vm,
      reason,
      ...this.#describeTime(assignment),
    });
    this.end(jobId, { ref, run, how: 'lost', checkpoint });
  }

  /** Loses all runs on workers whose leases have surely ended. */
  loseUnreachable(): void {
    this.fleet.lost().forEach((worker) => {
      const silentMs = Math.round(this.now() - worker.contactAt);
      [...worker.assignments.values()].forEach((assignment) =>
        this.lose(worker, assignment, `no contact for ${silentMs} ms`),
      );
    });
  }

  /** The job was cancelled by its caller. */
  cancel(job: OwnedJob): void {
    job.noteCancelled();
    if (!job.progress.cancel()) return;
    this.log('job cancelled', { job: job.id });
    this.#changed(job);
    this.#stopper.stopAll(job, 'cancelled');
  }

  /** Asks for the end of a run, and of the rest of its gang. */
  stop(assignment: Assignment, reason: string): void {
    const job = this.jobs.get(assignment.jobId);
    if (job !== undefined) this.#stopper.stop(job, assignment, reason);
  }

  /** All that was given out of this job and isn't known to be over. */
  assignmentsOf(jobId: string): Assignment[] {
    return this.#stopper.assignmentsOf(jobId);
  }

  /** Highest end that may be confirmed to the runner. */
  confirmEnds(worker: Worker): number {
    return worker.confirmEnds(({ jobId, change }) => {
      const job = this.jobs.get(jobId);
      return job === undefined || job.isDurable(change);
    });
  }

  /** Forgets jobs that are over and written, and of which nothing is left on a worker. */
  forgetEnded(): void {
    const busy = new Set<string>();
    [...this.fleet.all()].forEach(({ assignments }) =>
      assignments.forEach(({ jobId }) => busy.add(jobId)),
    );
    this.jobs.forEach((job, id) => {
      if (job.progress.outcome === 'open' || job.isDirty || busy.has(id)) return;
      this.jobs.delete(id);
      this.ended.add(id);
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
      demand: roomDemand(step),
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

  /** How long ago a run was assigned and first listed, in ms, and how far it had come. */
  #describeTime({ assignedAt, runningAt, percent }: Assignment): object {
    const assignedMs = Math.round(this.now() - assignedAt);
    if (runningAt === undefined) return { assignedMs };
    return { assignedMs, runningMs: Math.round(this.now() - runningAt), percent };
  }

  #noteDuration(job: OwnedJob, { ref, runningAt, resumed }: Assignment): void {
    const step = job.submission.steps[ref.step];
    if (step === undefined || step.lasting || runningAt === undefined || resumed) return;
    const { estimateMs } = step;
    const actualMs = this.now() - runningAt;
    this.#durations.noteRun(job.submission.queue, { estimateMs, actualMs });
    job.noteTook(step, actualMs);
  }

  #changed(job: OwnedJob): number {
    const change = job.changed();
    this.#events.onChanged(job);
    return change;
  }
}
