/** Faults of the runner stand-in. */
import * as z from 'zod';

/** All off by default; a PUT replaces them all. */
export const runnerFaultsSchema = z.strictObject({
  /** Requests run, but are never answered; each keeps its slot until its caller hangs up. */
  freeze: z.boolean().default(false),
  /** Every request runs and answers 500. */
  failAll: z.boolean().default(false),
  /** Added to every service time, in ms. */
  slowMs: z.int().min(0).default(0),
  /** Answers promise their whole length, but the connection is cut half way. */
  cutAnswer: z.boolean().default(false),
  /** Requests wait this long, in ms, before they run; they run even if the caller has hung up. */
  delayBeforeRunMs: z.int().min(0).default(0),
});
export type RunnerFaults = z.infer<typeof runnerFaultsSchema>;
