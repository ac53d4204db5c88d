/** Kinds of work that operators declare: which are urgent, which may wait, and what they may do. */
import * as z from 'zod';
import { contractSchema } from '../contract/contract.js';
import { nameSchema } from '../vm/vm.js';

/** A kind of work, either a short request to a runner or a job of one or more tasks on workers. */
export const kindSchema = z.strictObject({
  name: nameSchema,
  path: z.enum(['request', 'job']),
  urgency: z.enum(['urgent', 'waiting']),
  /** May it run again after an attempt whose outcome is unknown? Bookings and entries may not. */
  idempotent: z.boolean(),
  contract: z.optional(contractSchema),
  /** Whether tasks can be checkpointed and later continued. Jobs only. */
  checkpointable: z.boolean().default(false),
  /** Longest run before the system stops it, in ms. */
  maxRunMs: z.int().min(1).default(86_400_000),
  /** Tasks spread over workers rather than packed. */
  spread: z.boolean().default(false),
});
export type Kind = z.infer<typeof kindSchema>;
