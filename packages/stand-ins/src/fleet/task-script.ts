/** What an emulated task does: written into the job's `spec` as JSON, as the emulator knows no other work. */
import * as z from 'zod';

const scriptSchema = z.object({
  /** Work of each task, in ms. */
  workMs: z.number().min(0).default(200),
  /** Work of single tasks of each step where it differs, in ms, by their place in it. */
  workMsOf: z.record(z.string(), z.number().min(0)).default({}),
  /** The first so many runs of each task fail at once. */
  failRuns: z.int().min(0).default(0),
  /** The first so many runs of each of these tasks crash their runner right after their start; all tasks if none is named. */
  crashRuns: z.int().min(0).default(0),
  crashTasks: z.optional(z.array(z.int())),
  /** Sizes of gangs by the number of their step. */
  gangs: z.record(z.string(), z.int()).default({}),
  /** Time between checkpoints, in ms of work; 0: none are saved. */
  checkpointMs: z.number().min(0).default(0),
  /** It lasts until it is stopped, and serves users with this tail latency while nothing disturbs it, in ms. */
  servesMs: z.optional(z.number().min(0)),
  /** By how much it raises the tail latency of each serving task beside it while it works in full, in ms. */
  disturbsMs: z.number().min(0).default(0),
});
export type TaskScript = z.infer<typeof scriptSchema>;

/** The script in a spec; a spec that isn't one is a task with the defaults. */
export function readScript(spec: string): TaskScript {
  try {
    return scriptSchema.parse(JSON.parse(spec));
  } catch {
    return scriptSchema.parse({});
  }
}
