/** All that an owner decides about the jobs of its cell, for one term; no I/O, and time is passed in by the context. */
import type { ProcessContext } from '@zincspan/core';
import { AdviceBook } from '../advice/advice-book.js';
import type { AdviceQuestion } from '../advice/advice-desk.js';
import type { CellConfig } from '../config/cell-config.js';
import type { JobSnapshot } from '../job/job-view.js';
import type { EvacuationChange, Evacuations } from '../evacuation/evacuations.js';
import { withdrawStarts } from '../evacuation/withdrawal.js';
import { DurationEstimator } from '../placing/duration-estimator.js';
import { Fleet } from './fleet.js';
import { findOccupants } from './occupants.js';
import { OwnedJob } from './owned-job.js';
import type { ReclaimBounds } from './pass-input.js';
import { decidePass } from './placing-pass.js';
import { RunBook, type RunBookEvents } from './run-book.js';
import { evacuate, stopStandstills } from './run-watch.js';
import { WaitingReport } from './waiting-report.js';
import {
  QueueMeans,
  describeStep,
  durationsOf,
  findClaims,
  objectiveMs,
  totalWork,
} from './standings.js';

/**
 * A new owner stops nobody for others for this long, in ms: guards find it within 0.6 s, and room that isn't known yet looks
 * like room that is taken. Claims have 2.7 s to begin.
 */
const KNOWS_WORKERS_AFTER_MS = 800;

/** What a scheduler is made of. */
export interface SchedulerOptions {
  ctx: ProcessContext;
  /** Longest authority that a contact gives, in ms. */
  leaseMs: number;
  /** How long an earlier owner may still have given authority, in ms. */
  earlierGrantMs: number;
  reclaim: ReclaimBounds;
  evacuations: Evacuations;
  config: () => CellConfig | undefined;
  events: RunBookEvents;
}

/** Jobs, workers and what is learned of both, for one term. */
export class Scheduler {
  readonly book: RunBook;

  readonly advice = new AdviceBook();

  readonly #options: SchedulerOptions;

  readonly #means = new QueueMeans();

  readonly #durations = new DurationEstimator();

  readonly #startedAt: number;

  readonly #waitingReport = new WaitingReport();

  constructor(options: SchedulerOptions) {
    this.#options = options;
    const { ctx, leaseMs, earlierGrantMs, evacuations, events } = options;
    this.#startedAt = ctx.clock.now();
    this.book = new RunBook({
      ctx,
      advice: this.advice,
      durations: this.#durations,
      fleet: new Fleet({ clock: ctx.clock, evacuations, leaseMs, earlierGrantMs }),
      events,
    });
  }

  /** Takes a job in, with the runs that an earlier owner wrote down. */
  add(known: JobSnapshot): void {
    const { submission } = known;
    const job = new OwnedJob(known);
    submission.steps.forEach(({ estimateMs }) =>
      this.#durations.recordEstimate(submission.queue, estimateMs),
    );
    const expectedMs = durationsOf(job, this.#durations);
    this.#means.note(submission.queue, totalWork(submission.steps, expectedMs));
    this.book.add(job);
    if (job.progress.begun) return;
    const { account, queue, acceptedAtMs, steps } = submission;
    this.book.log('job taken up', {
      job: job.id,
      account,
      queue,
      priority: job.terms.priority,
      sinceAcceptedMs: Math.round(this.#options.ctx.clock.wall() - acceptedAtMs),
      objectiveMs: Math.round(objectiveMs(job, this.#durations)),
      steps: steps.map(describeStep).join(' '),
    });
  }

  /** Failure domains were evacuated or taken back. */
  noteEvacuations(changes: readonly EvacuationChange[]): void {
    changes.forEach((change) => this.#noteEvacuation(change));
  }

  /** One look over everything. Answers what the placement advisor is to be asked, the most urgent first. */
  pass(): AdviceQuestion[] {
    this.book.loseUnreachable();
    stopStandstills(this.book);
    evacuate(this.book);
    // Also of workers that were not in contact when it was evacuated, as after a change of owner.
    this.#options.evacuations.all.forEach((each) => withdrawStarts(this.book, each));
    this.book.keepCheckpoints();
    this.book.openDue(this.#options.ctx.clock.wall());
    this.#refreshTerms();
    const questions = this.#decide();
    this.#waitingReport.look(this.book);
    this.book.forgetEnded();
    this.advice.keepOnly((jobId) => this.book.jobs.has(jobId));
    return questions;
  }

  #noteEvacuation({ failureDomain, isEvacuated, version }: EvacuationChange): void {
    const { ctx, evacuations } = this.#options;
    const knownForMs = Math.round(evacuations.ageMs(this.book.now()));
    ctx.metrics.gauge(`evacuated.${failureDomain}`, isEvacuated ? 1 : 0);
    if (!isEvacuated) {
      this.book.log('failure domain taken back', { failureDomain, version, knownForMs });
      return;
    }
    this.book.jobs.forEach((job) => job.forgetStarts(failureDomain));
    const runs = withdrawStarts(this.book, failureDomain);
    this.book.log('failure domain evacuated', { failureDomain, version, knownForMs, ...runs });
  }

  #refreshTerms(): void {
    const queues = new Map(this.#options.config()?.queues.map((queue) => [queue.name, queue]));
    this.book.jobs.forEach((job) => {
      const queue = queues.get(job.submission.queue);
      if (queue !== undefined) job.noteTerms(queue);
    });
  }

  #decide(): AdviceQuestion[] {
    const { config, reclaim, ctx } = this.#options;
    const jobs = [...this.book.jobs.values()];
    const guaranteed = new Map(
      config()?.accounts.map(({ name, guaranteedAccelerators }) => [name, guaranteedAccelerators]),
    );
    const claims = findClaims(jobs, (account) => guaranteed.get(account) ?? 0);
    const { starts, stops, questions } = decidePass({
      jobs,
      claims,
      rooms: this.book.fleet.rooms(),
      evacuatedRacks: this.book.fleet.evacuatedRacks(),
      occupants: findOccupants(this.book, claims),
      means: this.#means,
      durations: this.#durations,
      bounds: reclaim,
      now: this.book.now(),
      wallMs: ctx.clock.wall(),
      advice: this.advice,
      knowsWorkers: this.book.now() - this.#startedAt >= KNOWS_WORKERS_AFTER_MS,
    });
    starts.forEach((start) => this.book.start(start));
    stops.forEach(({ occupant, forJob }) => {
      const [first] = occupant.assignments;
      if (first !== undefined) this.book.stop(first, `room for ${forJob.id}`);
      forJob.noteRoomMade(this.book.now());
    });
    return questions;
  }
}
