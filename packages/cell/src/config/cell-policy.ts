/** Switches of the decisions that a deployment's settings can turn off, one for each part. */
import * as z from 'zod';

/** `auto`: acts where the configuration and the jobs call for it. */
const switchSchema = z.enum(['auto', 'off']).default('auto');

/** Fields that the settings leave out are `auto`. */
export const cellPolicySchema = z.strictObject({
  /** Refuses submissions that cannot be served in time. */
  admission: switchSchema,
  /** Orders jobs by what their client accounts use. */
  fairShares: switchSchema,
  /** Keeps whole workers free for tasks that need them. */
  capacityFit: switchSchema,
  /** Preempts only where that saves more than it loses. */
  stopsByValue: switchSchema,
  /** Learns how fast each worker is. */
  workerSpeeds: switchSchema,
  /** Runs copies of tasks that allow it, and moves long tasks. */
  taskCopies: switchSchema,
});
export type CellPolicy = z.infer<typeof cellPolicySchema>;

/** All parts decide for themselves when to act. */
export const DEFAULT_CELL_POLICY: CellPolicy = cellPolicySchema.parse({});
