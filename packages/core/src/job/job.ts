/** Jobs: durable work of one or more tasks, with a row in the table for as long as it matters. */
import * as z from 'zod';
import { memberSchema, shapeSchema } from '../gang/shape.js';
import { contactTimesSchema } from '../lease/contact-times.js';
import { incarnationSchema, nameSchema } from '../vm/vm.js';

/** What a caller submits. Declared run times are hints: they are often far from the truth. */
export const jobSpecSchema = z.strictObject({
  kind: nameSchema,
  shape: shapeSchema,
  declaredRunMs: z.optional(z.int().min(1)),
  /** Free parameters handed to the tasks as they are. */
  params: z.record(z.string(), z.unknown()).default({}),
  /** Run inside this held claim of the account's guaranteed shape. */
  claim: z.optional(nameSchema),
});
export type JobSpec = z.infer<typeof jobSpecSchema>;

/** Did the job run? `not-run` is a promise: it never started and never will. */
export const ranSchema = z.enum(['not-run', 'ran', 'unknown']);
export type Ran = z.infer<typeof ranSchema>;

/** What two attempts came to together: `not-run` only if neither ran. */
export function mergeRan(a: Ran, b: Ran): Ran {
  if (a === 'ran' || b === 'ran') return 'ran';
  return a === 'unknown' || b === 'unknown' ? 'unknown' : 'not-run';
}

export const jobStateSchema = z.enum([
  'queued',
  'started',
  'succeeded',
  'failed',
  'cancelled',
  'refused',
]);
export type JobState = z.infer<typeof jobStateSchema>;

/** How a job ended. */
export const jobOutcomeSchema = z.strictObject({
  ran: ranSchema,
  /** Stable kind of the end: `done`, `task-failed`, `lost`, `cancelled`, `never-fits`, `ran-too-long`, … */
  kind: z.string().max(64),
  detail: z.string().max(1000).default(''),
  result: z.optional(z.unknown()),
});
export type JobOutcome = z.infer<typeof jobOutcomeSchema>;

/**
 * Row of a job: key `jobs/<account>/<id>`. While it isn't final a row `active/<failureDomain>/<account>/<id>`
 * stands beside it, changed in the same transaction, so that an owner finds its jobs.
 */
export const jobRowSchema = z.strictObject({
  id: nameSchema,
  account: nameSchema,
  failureDomain: nameSchema,
  spec: jobSpecSchema,
  /** Digest of the submission, to tell a repeat from a reused key. */
  digest: z.string(),
  state: jobStateSchema,
  /** Attempts started so far; the current one while `started`. */
  attempt: z.int().min(0),
  /** What the attempts that have ended came to, all together. */
  ranBefore: ranSchema.default('not-run'),
  /** Attempts lost one after the other, none of which left a new checkpoint. */
  lostInARow: z.optional(z.int().min(0)),
  /** Highest attempt number given to guards before the job was moved here: a number is never used twice. */
  lastAttempt: z.optional(z.int().min(0)),
  /** Owner term that wrote `started`. */
  term: z.int().min(0),
  members: z
    .array(
      memberSchema.extend({
        guard: nameSchema,
        incarnation: incarnationSchema,
        /** As its guard told them: a later owner may never reach it. */
        contact: z.optional(contactTimesSchema),
      }),
    )
    .default([]),
  cancelRequested: z.boolean().default(false),
  /** Where the last checkpoint lies; the next attempt continues from it. */
  checkpoint: z.optional(z.string()),
  submittedAt: z.number(),
  startedAt: z.optional(z.number()),
  endedAt: z.optional(z.number()),
  outcome: z.optional(jobOutcomeSchema),
});
export type JobRow = z.infer<typeof jobRowSchema>;
