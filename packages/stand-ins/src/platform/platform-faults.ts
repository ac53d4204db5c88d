/** Faults of the platform stand-in. */
import * as z from 'zod';

/** All off by default; a PUT replaces them all. */
export const platformFaultsSchema = z.strictObject({
  /** Every call answers 503 and has no effect. */
  down: z.boolean().default(false),
  /** Every call is left without an answer and has no effect. */
  hang: z.boolean().default(false),
  /** Every call waits this long before it takes effect, in ms. */
  slowMs: z.int().min(0).default(0),
  /** Calls beyond this many in a second answer 503 and have no effect; 0 is no bound. */
  readsPerSecond: z.int().min(0).default(0),
  writesPerSecond: z.int().min(0).default(0),
  /** The next writes take effect, but their connections are cut without an answer. */
  loseAnswers: z.int().min(0).default(0),
  /** The next writes have no effect, and their connections are cut without an answer. */
  loseWrites: z.int().min(0).default(0),
});
export type PlatformFaults = z.infer<typeof platformFaultsSchema>;
