/**
 * Predicts from a load summary when a job would start and complete if it were accepted now. Waiting work is treated as a fluid that
 * free capacity drains, the more urgent work first. Where the summary leaves something open, the earlier time is taken: a wrong
 * refusal costs the caller more than a late job.
 */
import type { QueueTerms, Step } from '../job/submission.js';
import { FleetProfile } from '../placing/fleet-profile.js';
import { LATE_VALUE_FACTOR, urgencyOf } from '../placing/job-urgency.js';
import { CapacityForecast, WIDTH_UNIT } from './capacity-forecast.js';
import { newJobFootprint, type NewJobFootprint } from './job-footprint.js';
import { REFERENCE_ESTIMATES_MS } from './load-summary-builder.js';
import {
  MAX_NAME_LENGTH,
  PRIORITY_CLASSES,
  WORK_UNIT_MS,
  typicalDemand,
  type LoadSummary,
  type ServiceLoad,
} from './load-summary.js';
import { lastAhead } from './urgency-rungs.js';

/** A job whose completion is to be predicted. */
export interface PredictedJob {
  queue: string;
  account: string;
  terms: Pick<QueueTerms, 'service' | 'priority' | 'stretch' | 'targetLatencyMs'>;
  steps: readonly Step[];
}

/** Work that goes ahead of the job besides what the summary contains. */
export interface WorkAhead {
  /** Worker-ms. */
  work: number;
  /** Workers. */
  width: number;
}

export interface PredictionOptions {
  /** Since the caller's first attempt, in ms. */
  elapsedMs: number;
  /** Since the summary was computed, in ms; the waiting work in it is ranked by its age at that time. */
  summaryAgeMs?: number;
  /** Accepted here since the summary was received. */
  accepted?: WorkAhead;
  /** Share of the refused work that was refused before this job; 1 for one that wasn't refused. */
  refusedShare?: number;
  /** Work refused here since the summary was received, of jobs that return before this one, in worker-ms. */
  refusedHere?: number;
  /** The owner orders competing accounts by their shares. */
  hasFairShares: boolean;
  /** The job counts as served within its objective if this share of the predicted time is within it; 1 without a margin. */
  optimism?: number;
}

/** Times from now in ms. */
export interface Prediction {
  startMs: number;
  completionMs: number;
  /** Time that the job would take with all workers of its service to itself. */
  aloneMs: number;
  /** When all that is before the job is done, refused work that returns before it included, if nothing more is submitted. */
  servedMs: number;
  urgency: number;
  /** Objective by the present estimates, from the first attempt. */
  objectiveMs: number;
  footprint: NewJobFootprint;
  /** All tasks that wait for no other step could start now, with what is accepted ahead of the job. */
  isCapacityFree: boolean;
  /** Less than half of the service's capacity is in use. */
  isServiceIdle: boolean;
}

/** Expected duration of a task of the queue, in ms; undefined if the summary doesn't contain the queue. */
function expectedDurations(
  summary: LoadSummary,
  queue: string,
): { expectedMs: (step: Step) => number; meanWork: number } | undefined {
  const entry = summary.queues.find(([name]) => name === queue);
  if (entry === undefined) return undefined;
  const [, , meanWork, shortMs, longMs] = entry;
  const [x1, x2] = REFERENCE_ESTIMATES_MS.map((ms) => Math.log(ms));
  const [y1, y2] = [shortMs, longMs].map((ms) => Math.log(Math.max(1, ms)));
  const slope = (y2! - y1!) / (x2! - x1!);
  const expectedMs = ({ estimateMs }: Step): number =>
    Math.exp(y1! + slope * (Math.log(Math.max(20, estimateMs)) - x1!));
  return { expectedMs, meanWork };
}

/** Predicts start and completion; undefined if the summary says too little about the job's queue or service. */
export function predict(
  summary: LoadSummary,
  job: PredictedJob,
  options: PredictionOptions,
): Prediction | undefined {
  const service = summary.services.find(({ name }) => name === job.terms.service);
  const durations = expectedDurations(summary, job.queue);
  if (service === undefined || service.workers === 0 || durations === undefined) return undefined;
  const typical = typicalDemand(service);
  const footprint = newJobFootprint(job.steps, { typical, expectedMs: durations.expectedMs });
  // More than the service has: when it can run isn't a matter of the load.
  if (footprint.wholeWorkers > service.workers || footprint.startWidth > service.workers) {
    return undefined;
  }
  const objectiveMs = job.terms.stretch * footprint.criticalPathMs + job.terms.targetLatencyMs;
  const urgency = newcomerUrgency(job, { service, footprint, objectiveMs, ...durations }, options);
  // Waiting raises the urgency of all jobs alike: what arrives goes ahead if it is more urgent as a new job.
  const accepted = addAhead(acceptedAhead(service, urgency), options.accepted);
  const lateAhead = addAhead(acceptedAhead(service, LATE_VALUE_FACTOR * urgency), options.accepted);
  const { refusedShare = 1, refusedHere = 0 } = options;
  const [, refusedWork = 0] = lastAhead(service.refusedRungs, urgency) ?? [];
  const refused = { work: refusedShare * refusedWork * WORK_UNIT_MS };
  const returning = refusedShare * refusedBefore(service, job.terms) + refusedHere;
  const forecast = new CapacityForecast(service, job.terms.priority === 0);
  const common = { footprint, forecast };
  const ifInTime = times(addAhead(accepted, refused), common);
  const { elapsedMs, optimism = 1 } = options;
  const isInTime = ({ completionMs }: Times): boolean =>
    elapsedMs + optimism * completionMs <= objectiveMs;
  // A job that can't be served within its objective ranks behind the work that still can be, also behind what is accepted later.
  const byOrder = isInTime(ifInTime) ? ifInTime : times(addAhead(lateAhead, refused), common);
  const byShare = options.hasFairShares ? shareTimes(summary, job, common) : undefined;
  const isEarlier =
    byShare !== undefined && isInTime(byShare) && byShare.completionMs < byOrder.completionMs;
  return {
    ...(isEarlier ? byShare : byOrder),
    aloneMs: Math.max(footprint.criticalPathMs, footprint.work / service.workers),
    servedMs: forecast.untilDrained(lateAhead.work + returning),
    urgency,
    objectiveMs,
    footprint,
    isCapacityFree: forecast.hasFree({
      width: accepted.width + footprint.readyWidth,
      // Others may wait for whole workers and leave the rest to this job.
      wholeWorkers: footprint.wholeWorkers > 0 ? accepted.wholeWorkers + footprint.wholeWorkers : 0,
    }),
    isServiceIdle: forecast.freeNow * 2 >= service.workers,
  };
}

/** Refused work of this priority or a higher one, in worker-ms. */
function refusedBefore(
  { refused }: ServiceLoad,
  { priority }: Pick<QueueTerms, 'priority'>,
): number {
  const classes = Math.min(PRIORITY_CLASSES, Math.max(0, priority) + 1);
  return refused.slice(0, classes).reduce((sum, work) => sum + work * WORK_UNIT_MS, 0);
}

interface Ahead extends WorkAhead {
  wholeWorkers: number;
  /** Workers kept busy by work that arrives later and goes ahead. */
  arriving: number;
}

function addAhead(ahead: Ahead, more: Partial<Ahead> | undefined): Ahead {
  return {
    work: ahead.work + (more?.work ?? 0),
    width: ahead.width + (more?.width ?? 0),
    wholeWorkers: ahead.wholeWorkers + (more?.wholeWorkers ?? 0),
    arriving: ahead.arriving + (more?.arriving ?? 0),
  };
}

/** Accepted work that goes ahead of a job of this urgency, and what arrives later and does. */
function acceptedAhead({ rungs, arriving }: ServiceLoad, urgency: number): Ahead {
  const [, work = 0, width = 0, wholeWorkers = 0] = lastAhead(rungs, urgency) ?? [];
  const [, rate = 0] = lastAhead(arriving, urgency) ?? [];
  return {
    work: work * WORK_UNIT_MS,
    width: width / WIDTH_UNIT,
    wholeWorkers,
    arriving: rate / WIDTH_UNIT,
  };
}

function newcomerUrgency(
  { terms, steps }: PredictedJob,
  {
    service,
    footprint,
    objectiveMs,
    meanWork,
    expectedMs,
  }: {
    service: ServiceLoad;
    footprint: NewJobFootprint;
    objectiveMs: number;
    meanWork: number;
    expectedMs: (step: Step) => number;
  },
  { elapsedMs, summaryAgeMs = 0 }: PredictionOptions,
): number {
  const profile = new FleetProfile([{ service: service.name, capacity: typicalDemand(service) }]);
  const work = steps.reduce(
    (sum, step) =>
      sum +
      step.tasks * profile.acceleratorEquivalents(service.name, step.demand) * expectedMs(step),
    0,
  );
  return urgencyOf({
    priority: terms.priority,
    claim: false,
    totalWork: work,
    remainingWork: work,
    meanWork: meanWork > 0 ? meanWork : work,
    // Otherwise a job that returns would seem to have aged more than the jobs that were accepted before it.
    ageMs: Math.max(0, elapsedMs - summaryAgeMs),
    objectiveMs,
    remainingCriticalPathMs: footprint.criticalPathMs,
  });
}

interface Times {
  startMs: number;
  completionMs: number;
}

/** Times of a job with this work ahead of it. */
function times(
  ahead: Ahead,
  { footprint, forecast }: { footprint: NewJobFootprint; forecast: CapacityForecast },
): Times {
  const { startWidth, wholeWorkers, criticalPathMs, work } = footprint;
  const aheadMs = forecast.untilDrained(ahead.work, ahead.arriving);
  // Either all that is ahead runs beside the job, or it is done before.
  const beside = forecast.untilFree(ahead.width + startWidth);
  const after = Math.max(aheadMs, forecast.untilFree(startWidth));
  const wholeBeside = forecast.untilWholeFree(ahead.wholeWorkers + wholeWorkers);
  const wholeAfter = Math.max(aheadMs, forecast.untilWholeFree(wholeWorkers));
  const startMs = Math.max(
    Math.min(beside, after),
    wholeWorkers > 0 ? Math.min(wholeBeside, wholeAfter) : 0,
  );
  const drainedMs = forecast.untilDrained(ahead.work + work, ahead.arriving);
  return { startMs, completionMs: Math.max(startMs + criticalPathMs, drainedMs) };
}

/** Times of a job that waits only for work of its own account, which has its share of the capacity; undefined if that is unknown. */
function shareTimes(
  summary: LoadSummary,
  { account }: PredictedJob,
  { footprint, forecast }: { footprint: NewJobFootprint; forecast: CapacityForecast },
): Times | undefined {
  const listed = summary.accounts.find(([name]) => name === account);
  const isUnlisted = listed === undefined && summary.restOfAccounts > 0;
  if (isUnlisted || account.length > MAX_NAME_LENGTH) return undefined;
  const backlog = listed?.[1] ?? 0;
  const competitors = Math.max(1, summary.competingAccounts + (backlog > 0 ? 0 : 1));
  const ahead = { work: backlog * WORK_UNIT_MS * competitors };
  const { startWidth, wholeWorkers, criticalPathMs, work } = footprint;
  const startMs = Math.max(
    forecast.untilDrained(ahead.work),
    forecast.untilFree(startWidth),
    forecast.untilWholeFree(wholeWorkers),
  );
  const drainedMs = forecast.untilDrained(ahead.work + work);
  return { startMs, completionMs: Math.max(startMs + criticalPathMs, drainedMs) };
}
