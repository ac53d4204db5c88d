/** Switches of the decisions that a deployment's settings can turn off, one for each part. */
import * as z from 'zod';

/** `auto`: acts where the configuration and the jobs call for it. */
const switchSchema = z.enum(['auto', 'off']);

/** Fields that the settings leave out have the defaults given here. */
export const cellPolicySchema = z.strictObject({
  /** Refuses submissions that cannot be served in time. */
  admission: switchSchema.default('auto'),
  /** Orders jobs by what their client accounts use. */
  fairShares: switchSchema.default('auto'),
  /** Keeps whole workers free for tasks that need them. Off by default: no gain is shown, see docs/design/capacity-fit.md. */
  capacityFit: switchSchema.default('off'),
  /**
   * Preempts only where that saves more than it loses. Off by default: fewer urgent jobs are in time than with a bound on the work
   * that a stop discards, see docs/design/stops-by-value.md.
   */
  stopsByValue: switchSchema.default('off'),
  /** Learns how fast each worker is. Off by default: no gain is shown, see docs/design/worker-speeds.md. */
  workerSpeeds: switchSchema.default('off'),
  /** Runs copies of tasks that allow it, and moves long tasks. */
  taskCopies: switchSchema.default('auto'),
});
export type CellPolicy = z.infer<typeof cellPolicySchema>;

/** The switches of a deployment without a policy file. */
export const DEFAULT_CELL_POLICY: CellPolicy = cellPolicySchema.parse({});
