/** The lease row by which one entry owns the placement of a failure domain. */
import * as z from 'zod';
import { addressSchema, incarnationSchema, nameSchema } from '../vm/vm.js';

/**
 * Row `owners/<failureDomain>`. The lease is for liveness: others take it once they have seen the row unchanged
 * for `leaseMs` of their own clock. Safety comes from the term, which guards check.
 */
export const ownerRowSchema = z.strictObject({
  failureDomain: nameSchema,
  /** Absent when the last holder handed the failure domain over. */
  holder: z.optional(
    z.strictObject({ id: nameSchema, incarnation: incarnationSchema, address: addressSchema }),
  ),
  term: z.int().min(1),
  leaseMs: z.int().min(500),
  /** Grows with each renewal, so that every renewal changes the row. */
  renewals: z.int().min(0),
});
export type OwnerRow = z.infer<typeof ownerRowSchema>;
