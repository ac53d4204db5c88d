/** Client accounts: who shares the capacity, how much of it, and how they prove who they are. */
import * as z from 'zod';
import { nameSchema } from '../vm/vm.js';

/** A bearer token, known by the SHA-256 of its text (lower-case hex), never by the text itself. */
export const accountTokenSchema = z.strictObject({
  id: nameSchema,
  sha256: z.string().regex(/^[0-9a-f]{64}$/, 'expected 64 lower-case hex digits'),
});

/** A client account. Shares weigh accounts against each other where they compete. */
export const clientAccountSchema = z.strictObject({
  name: nameSchema,
  share: z.number().gt(0).max(1000).default(1),
  tokens: z.array(accountTokenSchema).min(1).max(16),
  quota: z
    .strictObject({
      /** Accelerators in use at once over all failure domains, beyond its guarantees. */
      accelerators: z.int().min(0).default(1_000_000),
      /** Jobs waiting at once. */
      queuedJobs: z.int().min(1).default(10_000),
      /** Requests in progress at once over all entries. */
      requests: z.int().min(1).default(200),
    })
    .prefault({}),
});
export type ClientAccount = z.infer<typeof clientAccountSchema>;
