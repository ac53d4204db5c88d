/** What the worker stand-in reads from a task's `params`. */
import * as z from 'zod';

/** All optional; unknown ones are left alone. Times in ms. */
export const taskParamsSchema = z.object({
  /** Run time at full speed. */
  runMs: z.number().min(0).default(100),
  /** The task fails at its end. */
  fail: z.boolean().default(false),
  /** How long a checkpoint takes. */
  checkpointMs: z.number().min(0).default(5),
  /** From the order to stop until it has stopped; it runs on meanwhile. */
  stopMs: z.number().min(0).default(0),
  /** What it truly uses, where that differs from what was declared. */
  useCores: z.optional(z.number().min(0)),
  useMemoryMb: z.optional(z.number().min(0)),
  /** Given back with success. */
  result: z.optional(z.unknown()),
});
export type TaskParams = z.infer<typeof taskParamsSchema>;

const REF_PATTERN = /^progress:([0-9.]+)$/;

/** Reference to a checkpoint at `progress`, 0 to 1. */
export function checkpointRef(progress: number): string {
  return `progress:${progress.toFixed(6)}`;
}

/** Progress that a checkpoint holds; 0 for none or one that isn't ours. */
export function checkpointProgress(ref: string | undefined): number {
  const match = REF_PATTERN.exec(ref ?? '');
  return match === null ? 0 : Math.min(1, Number(match[1]));
}
