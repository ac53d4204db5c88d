/** Contracts: what a client account was promised about the tail of one kind of work. */
import * as z from 'zod';

/** Promise that the share `quantile` of work finishes within `withinMs` of its submission. */
export const contractSchema = z.strictObject({
  quantile: z.number().gt(0).lt(1).default(0.99),
  withinMs: z.int().min(1),
});
export type Contract = z.infer<typeof contractSchema>;
