/** Load summary of a cell: constant in size, computed by the owner and sent to the entries, which predict waits from it. */
import * as z from 'zod';
import type { Demand } from '../job/submission.js';

/** Times from now for which the summary forecasts the free capacity, in ms. */
export const FORECAST_TIMES_MS: readonly number[] = [
  0, 250, 500, 1000, 2000, 4000, 8000, 16_000, 32_000,
];

/** Bounds of the summary's lists. What doesn't fit is part of the entry `rest`, or left out. */
export const MAX_SERVICES = 2;
export const MAX_QUEUES = 16;
export const MAX_ACCOUNTS = 32;
export const MAX_RUNGS = 8;
export const MAX_REFUSED_IDS = 16;

/** Longest name that the summary carries, in characters; what has a longer one counts as part of the rest. */
export const MAX_NAME_LENGTH = 40;

/** Limit of the encoded summary, in bytes. */
export const MAX_SUMMARY_BYTES = 2048;

/** Unit of work in the summary, in worker-ms: with ms, the work of some hours on a thousand workers takes 9 bytes a number instead of 5. */
export const WORK_UNIT_MS = 100;

/** Priorities that the refused backlog is counted by; a lower one counts as the last. */
export const PRIORITY_CLASSES = 3;

const amount = z.number().min(0);

/** Unknown fields are dropped, so that an entry can read the summary of a later version. */
const serviceLoadSchema = z.object({
  name: z.string(),
  workers: amount,
  /** Capacity of the mean worker: thousandths of a core, MB, accelerators. */
  typical: z.tuple([amount, amount, amount]),
  /** Capacity that is free at each of the forecast's times if nothing new starts, in hundredths of a worker. */
  free: z.array(amount).length(FORECAST_TIMES_MS.length),
  /** Workers that are wholly free at each of these times. */
  wholeFree: z.array(amount).length(FORECAST_TIMES_MS.length),
  /** The same two for jobs of priority 0, which may stop the runs of others. */
  urgentFree: z.array(amount).length(FORECAST_TIMES_MS.length),
  urgentWholeFree: z.array(amount).length(FORECAST_TIMES_MS.length),
  /**
   * Accepted work that waits, cumulative, the most urgent first: the logarithm of the lowest urgency so far in thousandths, its work in
   * tenths of a worker-second, its width in hundredths of a worker, and its tasks that need whole workers.
   */
  rungs: z.array(z.tuple([z.number(), amount, amount, amount])).max(MAX_RUNGS),
  /** The same work by size of its tasks in tenths of a worker-second: single accelerators, parts of a worker, whole workers. */
  sizes: z.tuple([amount, amount, amount]),
  /**
   * Newly submitted work, accepted or refused, cumulative, the most urgent first: the logarithm of the lowest urgency so far in thousandths, and the workers
   * that it keeps busy in hundredths, as a mean over some seconds.
   */
  arriving: z.array(z.tuple([z.number(), amount])).max(MAX_RUNGS),
  /** Refused work that is expected to return, by priority, in tenths of a worker-second. */
  refused: z.array(amount).length(PRIORITY_CLASSES),
  /** The same work by urgency at its first refusal, cumulative as in `rungs`, in tenths of a worker-second. */
  refusedRungs: z.array(z.tuple([z.number(), amount])).max(MAX_RUNGS),
});
export type ServiceLoad = z.infer<typeof serviceLoadSchema>;

/** Name, waiting work in tenths of a worker-second, mean work of its jobs in accelerator-ms, expected durations of tasks estimated at 1 s and at 10 s. */
const queueLoadSchema = z.tuple([z.string(), amount, amount, amount, amount]);
export type QueueLoad = z.infer<typeof queueLoadSchema>;

/** Name, waiting work in tenths of a worker-second, accelerators of its open jobs of priority 0. */
const accountLoadSchema = z.tuple([z.string(), amount, amount]);
export type AccountLoad = z.infer<typeof accountLoadSchema>;

/** A refused job: the first half of its id as a number, and milliseconds since its first refusal. */
const refusedIdSchema = z.tuple([amount, amount]);

/** Ratio of actual to predicted times from acceptance to completion: number of observations, and three quantiles. */
export const errorQuantilesSchema = z.object({
  count: amount,
  low: z.number().positive(),
  median: z.number().positive(),
  high: z.number().positive(),
});
export type ErrorQuantiles = z.infer<typeof errorQuantilesSchema>;

export const loadSummarySchema = z.object({
  term: z.int().min(0),
  sequence: z.int().min(0),
  services: z.array(serviceLoadSchema).max(MAX_SERVICES),
  queues: z.array(queueLoadSchema).max(MAX_QUEUES),
  /** Waiting work of all other queues and accounts, in tenths of a worker-second. */
  restOfQueues: amount,
  accounts: z.array(accountLoadSchema).max(MAX_ACCOUNTS),
  restOfAccounts: amount,
  /** Number of accounts with waiting work, listed or not. */
  competingAccounts: amount,
  /** Refused jobs in the order of their return, the first ones. */
  refusedIds: z.array(refusedIdSchema).max(MAX_REFUSED_IDS),
  /** Time since the oldest first refusal of a job that is expected to return, in ms. */
  oldestRefusedMs: amount,
  error: errorQuantilesSchema,
});
export type LoadSummary = z.infer<typeof loadSummarySchema>;

/** The summary in the owner's heartbeat status. `ageMs`: since it was computed, when sent. */
export const loadStatusSchema = z.object({
  summary: loadSummarySchema,
  ageMs: amount,
});
export type LoadStatus = z.infer<typeof loadStatusSchema>;

/** Number that stands for a job's id in the summary. Two ids of one summary share it with a probability of 1 in 10^8. */
export function idKey(id: string): number {
  return Number.parseInt(id.slice(0, 8), 16) || 0;
}

export function typicalDemand({ typical }: ServiceLoad): Demand {
  const [milliCores, memoryMb, accelerators] = typical;
  return { milliCores, memoryMb, accelerators };
}
