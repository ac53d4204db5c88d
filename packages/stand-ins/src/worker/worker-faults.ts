/** Faults of the worker stand-in. */
import * as z from 'zod';

/** All off by default; a PUT replaces them all. */
export const workerFaultsSchema = z.strictObject({
  /** Every task fails shortly after its start, while the worker's own word looks fine. */
  failAll: z.boolean().default(false),
  /** Checkpoints are refused. */
  refuseCheckpoint: z.boolean().default(false),
  /** No call is answered; tasks go on until their leases lapse. */
  freeze: z.boolean().default(false),
  /** Every call waits this long before it takes effect, in ms. */
  slowMs: z.int().min(0).default(0),
  /** Tasks run this many times longer than `params.runMs` says; taken at their start. */
  lie: z.number().gt(0).default(1),
});
export type WorkerFaults = z.infer<typeof workerFaultsSchema>;
