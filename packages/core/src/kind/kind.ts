/** Kinds of work that operators declare: which are urgent, which may wait, and what they may do. */
import * as z from 'zod';
import { contractSchema } from '../contract/contract.js';
import { nameSchema } from '../vm/vm.js';

/** Longest run of a kind that names none: a day. */
const DEFAULT_MAX_RUN_MS = 86_400_000;

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
  maxRunMs: z.int().min(1).default(DEFAULT_MAX_RUN_MS),
  /** Tasks spread over workers rather than packed. */
  spread: z.boolean().default(false),
});
export type Kind = z.infer<typeof kindSchema>;

/** Taken for a kind that the bundle in force doesn't know: the strictest, as nothing may be assumed of it. */
export function unknownKind(name: string): Kind {
  return {
    name,
    path: 'job',
    urgency: 'waiting',
    idempotent: false,
    checkpointable: false,
    maxRunMs: DEFAULT_MAX_RUN_MS,
    spread: false,
  };
}
