/** Results of callers' calls, independent of the wire format. */
import * as z from 'zod';

const retryAfterMs = z.number();
const detail = z.string();

/** Why a job was not accepted: `overload`, `store` or `configuration`. Later versions may have more. */
const reason = z.optional(z.string());

/** Reasons for not serving a call. A job that was not accepted never runs. */
const refusalSchemas = [
  /** This entry has no configuration yet, or the one it has is too old to use. */
  z.strictObject({ outcome: z.literal('not-ready'), retryAfterMs, detail }),
  z.strictObject({ outcome: z.literal('no-such-queue') }),
  z.strictObject({ outcome: z.literal('not-authenticated') }),
  z.strictObject({ outcome: z.literal('bad-input'), detail }),
  /** Certainly not accepted; the caller may retry after this time. Unknown fields of a later version are dropped. */
  z.object({ outcome: z.literal('not-accepted'), retryAfterMs, detail, reason }),
  /** It is not known whether the job was accepted; the caller retries with the same id after this time. */
  z.strictObject({ outcome: z.literal('unknown'), retryAfterMs, detail }),
] as const;

export const callRefusalSchema = z.discriminatedUnion('outcome', refusalSchemas);
export type CallRefusal = z.infer<typeof callRefusalSchema>;

/** `again`: the job had already been accepted. */
export const submitResultSchema = z.discriminatedUnion('outcome', [
  z.strictObject({ outcome: z.literal('accepted'), again: z.boolean() }),
  ...refusalSchemas,
]);
export type SubmitResult = z.infer<typeof submitResultSchema>;

export const stateResultSchema = z.discriminatedUnion('outcome', [
  z.strictObject({
    outcome: z.literal('state'),
    state: z.enum(['queued', 'running', 'completed', 'failed', 'cancelled']),
  }),
  z.strictObject({ outcome: z.literal('no-such-job') }),
  ...refusalSchemas,
]);
export type StateResult = z.infer<typeof stateResultSchema>;

export const cancelResultSchema = z.discriminatedUnion('outcome', [
  z.strictObject({ outcome: z.literal('cancelled') }),
  z.strictObject({ outcome: z.literal('no-such-job') }),
  ...refusalSchemas,
]);
export type CancelResult = z.infer<typeof cancelResultSchema>;

export type WaitingResult = { outcome: 'waiting'; count: number } | CallRefusal;
