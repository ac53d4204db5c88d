/** Events of the time line that all daemons keep. */
import * as z from 'zod';
import { hybridStampSchema } from '../clock/hybrid-clock.js';

/** One event. `subject` is what it is about: a job, request, claim, upstream, failure domain or bundle id. */
export const timelineEventSchema = z.strictObject({
  at: hybridStampSchema,
  process: z.string(),
  type: z.string().max(64),
  subject: z.string().max(200),
  job: z.optional(z.string()),
  detail: z.record(z.string(), z.union([z.string(), z.number(), z.boolean()])).default({}),
});
export type TimelineEvent = z.infer<typeof timelineEventSchema>;
