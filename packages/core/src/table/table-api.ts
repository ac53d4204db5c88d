/**
 * The HTTP interface of the platform's table service and object store, as this project's stand-in offers it.
 *
 *   GET  /v1/rows/:key                          -> 200 { key, version, value }, version 0 and value null if absent
 *   GET  /v1/rows?prefix=P&after=K&limit=N      -> 200 { rows }
 *   POST /v1/transactions { writeId, writes }   -> 200 { versions }, 409 { rows }: all or nothing
 *   GET  /v1/transactions/:writeId              -> 200 { versions } if it took effect, 404 if it never will:
 *                                                 asking bars a write id that hasn't arrived yet
 *   GET  /v1/objects/:key                       -> 200 bytes, 404
 *   PUT  /v1/objects/:key                       -> 204
 * Keys are URL-encoded. Repeating a transaction with its write id answers as the first time. 503 means down.
 */
import * as z from 'zod';

export const rowSchema = z.strictObject({
  key: z.string().min(1).max(300),
  version: z.int().min(0),
  value: z.unknown(),
});

export const rowWriteSchema = z.strictObject({
  key: z.string().min(1).max(300),
  ifVersion: z.int().min(0),
  value: z.unknown(),
});

export const transactionSchema = z.strictObject({
  writeId: z.string().min(8).max(64),
  writes: z.array(rowWriteSchema).min(1).max(25),
});
export type Transaction = z.infer<typeof transactionSchema>;

export const rowListSchema = z.strictObject({ rows: z.array(rowSchema) });
export const versionListSchema = z.strictObject({ versions: z.array(z.int().min(0)) });
