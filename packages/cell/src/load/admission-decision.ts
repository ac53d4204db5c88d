/** Decides whether a submission is accepted under the present load. Pure: all state is passed in. */
import { peakAccelerators } from '../owner/urgency-factors.js';
import { LATE_LIMIT_OBJECTIVES } from '../placing/job-urgency.js';
import { idKey, type LoadSummary } from './load-summary.js';
import { predict, type PredictedJob, type Prediction, type WorkAhead } from './prediction.js';
import type { Refusal } from './refusal-book.js';

/** Shortest time after which a refused caller returns, in ms: the wire has whole seconds. */
const MIN_RETRY_AFTER_MS = 1000;

/** Longest such time, in ms; shorter than refused ids are remembered, so that the job is known on its return. */
const MAX_RETRY_AFTER_MS = 25_000;

/** Why a job was accepted. `no-evidence`: the summary says too little about it. */
export type AcceptReason =
  'no-summary' | 'no-evidence' | 'guaranteed' | 'free-capacity' | 'not-by-load' | 'in-time';

export type AdmissionDecision =
  | { outcome: 'accept'; reason: AcceptReason; prediction?: Prediction }
  | {
      outcome: 'refuse';
      prediction: Prediction;
      /** By how much the prediction may be too long, in ms. */
      marginMs: number;
      /** Latest time at which the result is of use, from now, in ms. */
      usefulMs: number;
      retryAfterMs: number;
      /** Since the first refusal, in ms. */
      elapsedMs: number;
    };

export interface AdmissionInput {
  /** Undefined if there is no summary that may be used. */
  summary: LoadSummary | undefined;
  /** Since it was computed, in ms. */
  summaryAgeMs: number;
  id: string;
  job: PredictedJob & { isScheduled: boolean };
  /** Accelerators that the configuration guarantees to the account. */
  guaranteedAccelerators: number;
  /** The job's earlier refusal by this entry. */
  refusal: Refusal | undefined;
  /** Work accepted here since the summary was received. */
  accepted: WorkAhead;
  /** Work refused here since then that returns before this job, in worker-ms. */
  refusedHere: number;
  hasFairShares: boolean;
  now: number;
}

/** Accepts in case of doubt. */
export function decideAdmission(input: AdmissionInput): AdmissionDecision {
  const { summary, job } = input;
  if (summary === undefined) return { outcome: 'accept', reason: 'no-summary' };
  const { steps, isScheduled } = job;
  if (isScheduled || steps.some(({ lasting }) => lasting)) {
    return { outcome: 'accept', reason: 'no-evidence' };
  }
  if (isGuaranteed(summary, input)) return { outcome: 'accept', reason: 'guaranteed' };
  const place = placeOf(summary, input);
  const { elapsedMs } = place;
  const prediction = predict(summary, job, {
    elapsedMs,
    summaryAgeMs: input.summaryAgeMs,
    accepted: input.accepted,
    refusedShare: place.refusedShare,
    refusedHere: input.refusedHere,
    hasFairShares: input.hasFairShares,
    optimism: Math.min(1, summary.error.low),
  });
  if (prediction === undefined) return { outcome: 'accept', reason: 'no-evidence' };
  const { isCapacityFree, isServiceIdle, completionMs, aloneMs, objectiveMs } = prediction;
  if (isCapacityFree || isServiceIdle) {
    return { outcome: 'accept', reason: 'free-capacity', prediction };
  }
  const limitMs = LATE_LIMIT_OBJECTIVES * objectiveMs;
  if (aloneMs > limitMs) return { outcome: 'accept', reason: 'not-by-load', prediction };
  const marginMs = Math.max(0, completionMs * (1 - summary.error.low));
  const usefulMs = limitMs - elapsedMs;
  if (completionMs - marginMs <= usefulMs) {
    return { outcome: 'accept', reason: 'in-time', prediction };
  }
  const servedMs = prediction.servedMs * summary.error.median;
  const retryAfterMs = Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, servedMs));
  return { outcome: 'refuse', prediction, marginMs, usefulMs, retryAfterMs, elapsedMs };
}

/** True if the job and its account's other open jobs of priority 0 need no more than is guaranteed. */
function isGuaranteed(
  { accounts }: LoadSummary,
  { job, guaranteedAccelerators }: AdmissionInput,
): boolean {
  if (job.terms.priority !== 0 || guaranteedAccelerators <= 0) return false;
  const used = accounts.find(([name]) => name === job.account)?.[2] ?? 0;
  return used + peakAccelerators(job.steps) <= guaranteedAccelerators;
}

/** Time since the job's first refusal, and the share of the refused work that was refused before it. */
function placeOf(
  { refusedIds, oldestRefusedMs }: LoadSummary,
  { id, refusal, now }: AdmissionInput,
): { elapsedMs: number; refusedShare: number } {
  const listedMs = refusedIds.find(([key]) => key === idKey(id))?.[1];
  const rememberedMs = refusal === undefined ? undefined : now - refusal.firstRefusedAt;
  if (listedMs === undefined && rememberedMs === undefined) {
    return { elapsedMs: 0, refusedShare: 1 };
  }
  const elapsedMs = Math.max(listedMs ?? 0, rememberedMs ?? 0);
  // As if the refused jobs had come at an even rate.
  return { elapsedMs, refusedShare: Math.max(0, 1 - elapsedMs / Math.max(1, oldestRefusedMs)) };
}
