/** Guarantees: shapes of adjacent accelerators that a client account may claim at any time. */
import * as z from 'zod';
import { shapeSchema } from '../gang/shape.js';
import { nameSchema } from '../vm/vm.js';

/** `count` copies of `shape`, each held within `withinMs` of its claim. */
export const guaranteeSchema = z.strictObject({
  name: nameSchema,
  account: nameSchema,
  shape: shapeSchema,
  count: z.int().min(1).max(64).default(1),
  withinMs: z.int().min(100).default(30_000),
  /** Pinned to one failure domain, or packed wherever it fits. */
  failureDomain: z.optional(nameSchema),
});
export type Guarantee = z.infer<typeof guaranteeSchema>;

/** Row of a claim: key `claims/<account>/<id>`. */
export const claimRowSchema = z.strictObject({
  id: nameSchema,
  account: nameSchema,
  guarantee: nameSchema,
  failureDomain: nameSchema,
  state: z.enum(['claiming', 'held', 'released', 'failed']),
  submittedAt: z.number(),
  heldAt: z.optional(z.number()),
  /** When it was first seen to be over. */
  endedAt: z.optional(z.number()),
  reason: z.optional(z.string()),
});
export type ClaimRow = z.infer<typeof claimRowSchema>;
