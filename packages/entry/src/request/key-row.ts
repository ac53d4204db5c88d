/** Rows that make a caller's own retry safe: one per client account and `Idempotency-Key`, non-idempotent kinds only. */
import { createHash } from 'node:crypto';
import { incarnationSchema, nameSchema, problemSchema } from '@zincspan/core';
import * as z from 'zod';
import type { Answer } from './attempt.js';
import type { RequestOrder } from './request-order.js';

/** Answers up to this many bytes are kept in the row; longer ones only at the guard, as long as it keeps them. */
export const MAX_KEPT_BODY_BYTES = 8192;

const common = {
  /** Digest of kind, content type and body, to tell a repeat from a reused key. */
  digest: z.string(),
  requestId: z.string(),
  guard: nameSchema,
  incarnation: incarnationSchema,
  /** Wall-clock ms of the claim; rows are deleted some time after it. */
  at: z.number(),
};

/**
 * Row `keys/<account>/<sha256 of the key>`. `claimed` is written before the request is sent to the guard named.
 * `free` says that it surely didn't run. The row isn't deleted then, as its version would start anew, and a late write
 * over an old version could pass for a new one.
 */
export const keyRowSchema = z.discriminatedUnion('state', [
  z.strictObject({ ...common, state: z.literal('claimed') }),
  z.strictObject({ ...common, state: z.literal('free') }),
  z.strictObject({
    ...common,
    state: z.literal('answered'),
    status: z.int(),
    contentType: z.string(),
    /** Base64; absent when the body was too long to be kept here. */
    body: z.optional(z.string()),
  }),
  z.strictObject({ ...common, state: z.literal('failed'), problem: problemSchema }),
]);
export type KeyRow = z.infer<typeof keyRowSchema>;

/** Prefix of all such rows. */
export const KEY_ROWS = 'keys/';

/** Key of the row. The caller's own text is hashed, as it may be long or private. */
export function keyRowKey(account: string, idempotencyKey: string): string {
  return `${KEY_ROWS}${account}/${createHash('sha256').update(idempotencyKey).digest('hex')}`;
}

/** Digest of what is asked. */
export function orderDigest({ kind, contentType, body }: RequestOrder): string {
  const head = JSON.stringify([kind.name, contentType]);
  return createHash('sha256').update(head).update('\n').update(body).digest('hex');
}

/** The row of an ended request. */
export function answeredRow(
  { digest, requestId, guard, incarnation, at }: KeyRow,
  answer: Answer,
): KeyRow {
  const { status, contentType, body } = answer;
  const kept = body.byteLength <= MAX_KEPT_BODY_BYTES;
  return {
    state: 'answered',
    digest,
    requestId,
    guard,
    incarnation,
    at,
    status,
    contentType,
    ...(kept ? { body: Buffer.from(body).toString('base64') } : {}),
  };
}
