/** What a caller is told, before any wire format. */
import * as z from 'zod';

const retryAfterMs = z.number();
const detail = z.string();

/** Why a call wasn't served. Where the job wasn't accepted, it never runs. */
const refusalSchemas = [
  /** No configuration is known here yet, or it is too old to answer by. */
  z.strictObject({ outcome: z.literal('not-ready'), retryAfterMs, detail }),
  z.strictObject({ outcome: z.literal('no-such-queue') }),
  z.strictObject({ outcome: z.literal('not-authenticated') }),
  z.strictObject({ outcome: z.literal('bad-input'), detail }),
  /** Surely not accepted; another try makes sense after this time. */
  z.strictObject({ outcome: z.literal('not-accepted'), retryAfterMs, detail }),
  /** It isn't known whether it was accepted: the caller asks again with the same id after this time. */
  z.strictObject({ outcome: z.literal('unknown'), retryAfterMs, detail }),
] as const;

export const callRefusalSchema = z.discriminatedUnion('outcome', refusalSchemas);
export type CallRefusal = z.infer<typeof callRefusalSchema>;

/** `again`: it was accepted before. */
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
