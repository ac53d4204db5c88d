/** A submitted job: a graph of steps. It never changes after acceptance. */
import * as z from 'zod';

/** Maximum number of tasks per step: the progress of a step must fit into one row of the store. */
export const MAX_TASKS_PER_STEP = 400;

/** Maximum number of tasks of all steps of a job, for the same reason. */
export const MAX_TASKS_PER_JOB = 800;

export const MAX_STEPS = 100;
const MAX_OCCURRENCES = 1000;

/** Maximum length of `spec`, in characters. */
export const MAX_SPEC_LENGTH = 4000;

/** Resources of a worker that one task uses while it runs. */
export const demandSchema = z.strictObject({
  /** Thousandths of a core. */
  milliCores: z.int().min(0),
  memoryMb: z.int().min(0),
  accelerators: z.int().min(0),
});
export type Demand = z.infer<typeof demandSchema>;

/** One step: independent tasks, or a gang, whose tasks only work together. */
export const stepSchema = z.strictObject({
  tasks: z.int().min(1).max(MAX_TASKS_PER_STEP),
  demand: demandSchema,
  /** The caller's rough estimate of a task's duration, in ms. */
  estimateMs: z.number().min(0),
  /** Indexes of earlier steps whose tasks must all be done first. */
  after: z.array(z.int().min(0)),
  gang: z.boolean(),
  /** Saves checkpoints, so that a later run continues from the last one. */
  checkpointing: z.boolean(),
  /** Slower by some factor when its tasks run on more than one rack. */
  rackSensitive: z.boolean(),
  /** Rack that holds its data; slower by the same factor on any other rack. */
  preferredRack: z.optional(z.string()),
  /** Label that a worker must have. */
  requiredLabel: z.optional(z.string()),
  /** Maximum number of tasks of the step on one worker. */
  maxPerWorker: z.optional(z.int().min(1)),
  /** Copies of a task may run in parallel. */
  duplicates: z.boolean(),
  /** Its tasks run until the job is cancelled and are restarted however they end. */
  lasting: z.boolean(),
  /** Its cores aren't counted against a worker's capacity, as it uses only what other tasks leave. */
  fills: z.boolean(),
  /** Target for the tail latency of the requests that its tasks serve, in ms. */
  targetMs: z.optional(z.number().min(0)),
  /** How many tasks of a lasting step the scheduler may have stopped at the same time. */
  mayMiss: z.int().min(0),
});
export type Step = z.infer<typeof stepSchema>;

/** When a job with occurrences runs: occurrence k is due at `firstAtMs + k * everyMs` (time of day). */
export const scheduleSchema = z.strictObject({
  count: z.int().min(1).max(MAX_OCCURRENCES),
  firstAtMs: z.number(),
  everyMs: z.number().min(0),
});
export type Schedule = z.infer<typeof scheduleSchema>;

/** Settings of the job's queue at its acceptance; they still apply after the queue is removed from the configuration. */
export const queueTermsSchema = z.strictObject({
  service: z.string(),
  priority: z.int(),
  maxAttempts: z.int(),
  stretch: z.number(),
  targetLatencyMs: z.number(),
  needsAdvice: z.boolean(),
});
export type QueueTerms = z.infer<typeof queueTermsSchema>;

/** An accepted job. */
export const submissionSchema = z.strictObject({
  id: z.string().min(1).max(64),
  queue: z.string(),
  terms: queueTermsSchema,
  /** Name of the client account; empty on a public queue that was called without a key. */
  account: z.string(),
  /** Passed to the runner unchanged. */
  spec: z.string().max(MAX_SPEC_LENGTH),
  steps: z.array(stepSchema).min(1).max(MAX_STEPS),
  schedule: z.optional(scheduleSchema),
  /** Time of day at the entry that accepted it, in ms. */
  acceptedAtMs: z.number(),
});
export type Submission = z.infer<typeof submissionSchema>;

/** A caller's decoded request. */
export const jobRequestSchema = submissionSchema.pick({ spec: true, steps: true, schedule: true });
export type JobRequest = z.infer<typeof jobRequestSchema>;

/** Describes what is wrong with the graph of steps; undefined if it is valid. */
export function findGraphError(steps: readonly Step[]): string | undefined {
  const total = steps.reduce((sum, step) => sum + step.tasks, 0);
  if (total > MAX_TASKS_PER_JOB) {
    return `The job has ${total} tasks; at most ${MAX_TASKS_PER_JOB} are allowed. Split it into several jobs.`;
  }
  const index = steps.findIndex((step, own) => step.after.some((other) => other >= own));
  if (index < 0) return undefined;
  return `Step ${index} waits for itself or a later step. Let "after" name earlier steps only.`;
}

/** Length of the critical path through the steps, in ms, by the expected duration of a task of each. */
export function criticalPathMs(
  steps: readonly Step[],
  expectedMs: (step: Step, index: number) => number,
): number {
  const ends: number[] = [];
  steps.forEach((step, index) => {
    const startMs = Math.max(0, ...step.after.map((other) => ends[other] ?? 0));
    ends.push(startMs + expectedMs(step, index));
  });
  return Math.max(0, ...ends);
}

export function isSameDemand(a: Demand, b: Demand): boolean {
  return (
    a.milliCores === b.milliCores && a.memoryMb === b.memoryMb && a.accelerators === b.accelerators
  );
}
