/** The owner's side of the load summary: computes it from jobs and workers, and learns from what became of its predictions. */
import type { ProcessContext } from '@zincspan/core';
import type { CellConfig } from '../config/cell-config.js';
import type { OwnedJob } from '../owner/owned-job.js';
import type { RunRegistry } from '../owner/run-registry.js';
import {
  expectedDurations,
  peakAccelerators,
  urgencyFactorsOf,
  type QueueMeanWork,
} from '../owner/urgency-factors.js';
import type { DurationEstimator } from '../placing/duration-estimator.js';
import type { FleetProfile } from '../placing/fleet-profile.js';
import { LATE_LIMIT_OBJECTIVES, urgencyOf } from '../placing/job-urgency.js';
import { ArrivalRate } from './arrival-rate.js';
import { footprintOf, newJobFootprint } from './job-footprint.js';
import { buildLoadSummary, type RefusedWork, type WaitingWork } from './load-summary-builder.js';
import { loadedWorkers } from './loaded-workers.js';
import { WORK_UNIT_MS, type LoadStatus, type LoadSummary } from './load-summary.js';
import { predict } from './prediction.js';
import { PredictionError } from './prediction-error.js';
import type { RefusalReport } from './refusal-book.js';
import { RefusalRegister, type RegisteredRefusal } from './refusal-register.js';
import { urgencyOfLog } from './urgency-rungs.js';

/** Shortest interval between two summaries, in ms: half of a heartbeat interval. */
const SUMMARY_INTERVAL_MS = 400;

/**
 * Time for which an owner sends no summary after its start or after a pause, in ms: guards contact it once a second, and capacity of
 * workers that haven't would count as missing.
 */
const SETTLE_MS = 2400;

/** A longer time without a pass counts as a pause of the process, in ms. Passes are at most 0.2 s apart. */
const PAUSE_MS = 1200;

/** Most predictions whose outcome is awaited. */
const MAX_PENDING_PREDICTIONS = 512;

/** An older prediction is recorded as if the job ended now, in ms: it would only keep its place from newer ones. */
const MAX_PENDING_MS = 300_000;

/** Refusals that one entry reported, and when they were received on the monotonic clock. */
export interface ReceivedReports {
  reports: readonly RefusalReport[];
  receivedAt: number;
}

export interface LoadMonitorOptions {
  ctx: ProcessContext;
  term: number;
  registry: RunRegistry;
  durations: DurationEstimator;
  queueMeans: QueueMeanWork;
  config: () => CellConfig | undefined;
  /** The owner orders competing accounts by their shares. */
  hasFairShares: boolean;
  /** The newest refusals of all entries. */
  refusals: () => readonly ReceivedReports[];
}

/** State of a pass that the summary is computed from. */
interface PassState {
  profile: FleetProfile;
  guaranteedJobs: ReadonlySet<OwnedJob>;
}

/** Load of a cell during one ownership term. */
export class LoadMonitor {
  readonly #options: LoadMonitorOptions;

  readonly #register = new RefusalRegister();

  readonly #error = new PredictionError();

  /** Predictions of jobs that haven't ended, by job. */
  readonly #pending = new Map<OwnedJob, { predictedMs: number; addedAt: number }>();

  readonly #arrivals = new ArrivalRate();

  /** Accepted since the last summary. */
  #newJobs: OwnedJob[] = [];

  /** First reported since the last summary. */
  #newRefusals: RegisteredRefusal[] = [];

  #sequence = 0;

  #summary: LoadSummary | undefined;

  #computedAt = -Infinity;

  #updatedAt = -Infinity;

  /** No summary is sent before this time. */
  #settledAt = Infinity;

  constructor(options: LoadMonitorOptions) {
    this.#options = options;
  }

  /** The newest summary; undefined while too little is known. */
  get summary(): LoadSummary | undefined {
    return this.#summary;
  }

  /** When it was computed, on the monotonic clock. */
  get computedAt(): number {
    return this.#computedAt;
  }

  /** The summary as sent to entries. */
  get status(): LoadStatus | undefined {
    if (this.#summary === undefined) return undefined;
    return { summary: this.#summary, ageMs: Math.round(this.#now() - this.#computedAt) };
  }

  /** A job was accepted: ranks it by its first refusal, and predicts its completion. */
  noteAdded(job: OwnedJob): void {
    // Without a summary, this may be one of many jobs that an earlier owner has had.
    if (job.progress.begun || this.#summary === undefined) return;
    const now = this.#now();
    const { id, submission, terms } = job;
    this.#addReports();
    job.noteRefused(this.#register.sinceFirstRefusalMs(id, now));
    if (job.refusedForMs > 0) {
      const { refusedForMs } = job;
      this.#options.registry.log('refused job returned', {
        job: id,
        refusedForMs: Math.round(refusedForMs),
      });
    }
    if (submission.schedule !== undefined || hasLastingStep(job)) return;
    // A returning job counted as an arrival when it was refused.
    if (job.refusedForMs === 0) this.#newJobs.push(job);
    if (this.#pending.size >= MAX_PENDING_PREDICTIONS) return;
    const { queue, account, steps } = submission;
    const prediction = predict(
      this.#summary,
      { queue, account, terms, steps },
      {
        elapsedMs: job.refusedForMs,
        summaryAgeMs: now - this.#computedAt,
        hasFairShares: this.#options.hasFairShares,
      },
    );
    if (prediction === undefined) return;
    const { completionMs: predictedMs, objectiveMs } = prediction;
    // A longer time only says that the result will be of no use; how much longer says nothing about the margin at that limit.
    if (predictedMs > LATE_LIMIT_OBJECTIVES * objectiveMs) return;
    this.#pending.set(job, { predictedMs, addedAt: now });
  }

  /** Records the error of the predictions for jobs that have ended. Called in each pass, before ended jobs are dropped. */
  noteEnds(): void {
    const now = this.#now();
    this.#pending.forEach(({ predictedMs, addedAt }, job) => {
      const { outcome } = job.progress;
      const isKnown = this.#options.registry.jobs.has(job.id);
      const isTooOld = now - addedAt > MAX_PENDING_MS;
      if (outcome === 'open' && isKnown && !isTooOld) return;
      this.#pending.delete(job);
      // The end of a job that failed, was cancelled or was removed isn't what was predicted.
      if (outcome !== 'completed' && !isTooOld) return;
      const actualMs = now - addedAt;
      this.#error.record({ predictedMs, actualMs });
      this.#options.ctx.metrics.timing(
        'admission.prediction-error',
        Math.abs(actualMs - predictedMs),
      );
    });
  }

  /** Computes the summary if it is due. */
  update(state: PassState): void {
    const now = this.#now();
    if (now - this.#updatedAt > PAUSE_MS) {
      this.#settledAt = now + SETTLE_MS;
      this.#summary = undefined;
    }
    this.#updatedAt = now;
    if (now < this.#settledAt || now - this.#computedAt < SUMMARY_INTERVAL_MS) return;
    this.#computedAt = now;
    this.#sequence += 1;
    this.#addReports();
    this.#addArrivals(state);
    this.#summary = this.#compute(state);
    const { queues, restOfQueues } = this.#summary;
    const backlog = queues.reduce((sum, [, work]) => sum + work, restOfQueues);
    this.#options.ctx.metrics.gauge('load.backlog', (backlog * WORK_UNIT_MS) / 1000);
  }

  #compute({ profile, guaranteedJobs }: PassState): LoadSummary {
    const { term, registry, durations, queueMeans, config } = this.#options;
    const jobs = [...registry.jobs.values()].filter(
      ({ progress, cancelled }) => progress.outcome === 'open' && !cancelled,
    );
    const urgentAccelerators = new Map<string, number>();
    jobs
      .filter(({ terms }) => terms.priority === 0)
      .forEach(({ submission: { account, steps } }) => {
        const sum = urgentAccelerators.get(account) ?? 0;
        urgentAccelerators.set(account, sum + peakAccelerators(steps));
      });
    return buildLoadSummary({
      term,
      sequence: this.#sequence,
      workers: loadedWorkers(registry),
      waiting: jobs.flatMap((job) => this.#waitingWork(job, profile, guaranteedJobs.has(job))),
      refused: this.#refusedWork(profile),
      arriving: (service) => this.#arrivals.of(service, this.#now()),
      queues: (config()?.queues ?? []).map(({ name }) => ({
        name,
        meanWork: queueMeans.of(name),
        expectedMs: (estimateMs) => durations.expectedMs(name, estimateMs),
      })),
      urgentAccelerators,
      error: this.#error.quantiles(
        [...this.#pending.values()].map(({ predictedMs, addedAt }) => ({
          predictedMs,
          actualMs: this.#now() - addedAt,
        })),
      ),
    });
  }

  #waitingWork(job: OwnedJob, profile: FleetProfile, isGuaranteed: boolean): WaitingWork[] {
    const { durations } = this.#options;
    const { submission, terms, progress } = job;
    const typical = profile.of(terms.service)?.typical;
    if (typical === undefined) return [];
    const expectedMs = expectedDurations(job, durations);
    return progress.occurrences.flatMap(({ index: occurrence, steps }) => {
      const open = submission.steps.map((step, index) => ({
        step,
        count:
          steps[index]?.tasks.filter(({ done, active }) => !done && active === undefined).length ??
          0,
      }));
      if (open.every(({ count }) => count === 0)) return [];
      return {
        ...footprintOf(open, { typical, expectedMs }),
        queue: submission.queue,
        account: submission.account,
        service: terms.service,
        urgency: this.#urgency(job, { profile, isGuaranteed, occurrence }),
      };
    });
  }

  /** Refused jobs that are expected to return. */
  #refusedWork(profile: FleetProfile): RefusedWork[] {
    const { registry, config } = this.#options;
    const now = this.#now();
    const queues = new Map(config()?.queues.map((queue) => [queue.name, queue]));
    const isKnown = (id: string): boolean => registry.jobs.has(id) || registry.endedJobs.has(id);
    return this.#register.expected(now, isKnown).flatMap((refusal) => {
      const queue = queues.get(refusal.queue);
      if (queue === undefined) return [];
      const { id, firstRefusedAt } = refusal;
      const { service, priority } = queue;
      const size = this.#sizeOf(refusal, service, profile);
      return { id, service, priority, ...size, ageMs: now - firstRefusedAt };
    });
  }

  /** Of a job whose size wasn't reported, the mean work of its queue stands for its work, and it ranks last. */
  #sizeOf(
    { queue, work, urgency }: RegisteredRefusal,
    service: string,
    profile: FleetProfile,
  ): { work: number; urgency: number } {
    const accelerators = Math.max(1, profile.of(service)?.typical.accelerators ?? 1);
    return {
      work: work ?? this.#options.queueMeans.of(queue) / accelerators,
      urgency: urgency === undefined ? 0 : urgencyOfLog(urgency),
    };
  }

  #addArrivals({ profile, guaranteedJobs }: PassState): void {
    this.#newJobs.forEach((job) => {
      const { service } = job.terms;
      const typical = profile.of(service)?.typical;
      if (typical === undefined) return;
      const expectedMs = expectedDurations(job, this.#options.durations);
      const { work } = newJobFootprint(job.submission.steps, { typical, expectedMs });
      const urgency = this.#urgency(job, { profile, isGuaranteed: guaranteedJobs.has(job) });
      this.#arrivals.add({ service, urgency, work, at: this.#now() });
    });
    this.#newJobs = [];
    const queues = new Map(this.#options.config()?.queues.map((queue) => [queue.name, queue]));
    this.#newRefusals.forEach((refusal) => {
      const service = queues.get(refusal.queue)?.service;
      if (service === undefined) return;
      const size = this.#sizeOf(refusal, service, profile);
      this.#arrivals.add({ service, ...size, at: refusal.firstRefusedAt });
    });
    this.#newRefusals = [];
  }

  #urgency(
    job: OwnedJob,
    {
      profile,
      isGuaranteed,
      occurrence = 0,
    }: { profile: FleetProfile; isGuaranteed: boolean; occurrence?: number },
  ): number {
    if (isGuaranteed) return Infinity;
    const { durations, queueMeans, ctx } = this.#options;
    const wallMs = ctx.clock.wall();
    return urgencyOf(
      urgencyFactorsOf(job, { isGuaranteed, wallMs, profile, queueMeans, durations, occurrence }),
    );
  }

  #addReports(): void {
    const added = this.#options
      .refusals()
      .flatMap(({ reports, receivedAt }) => this.#register.add(reports, receivedAt));
    this.#newRefusals.push(...added);
  }

  #now(): number {
    return this.#options.ctx.clock.now();
  }
}

function hasLastingStep({ submission }: OwnedJob): boolean {
  return submission.steps.some(({ lasting }) => lasting);
}
