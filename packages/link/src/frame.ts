/** Frames of a link: their schemas, maximum size and encoding. */
import { MAX_BODY_BYTES, hybridStampSchema, processIdSchema, problemSchema } from '@zincspan/core';
import { Packr } from 'msgpackr';
import * as z from 'zod';

/** Longest frame, in bytes: the longest body plus 64 KiB for the fields around it. */
export const MAX_FRAME_BYTES = MAX_BODY_BYTES + 65_536;

/** Frames are sent unfragmented. Each fragment takes some hundred bytes beside its content. */
export const MAX_MESSAGE_FRAGMENTS = 16;

const nonce = z
  .instanceof(Uint8Array)
  .refine((bytes) => bytes.byteLength === 32, 'must be 32 bytes');
const mac = nonce;

/** Frames of the handshake, in this order: challenge (server), proof (dialer), welcome (server). */
export const challengeSchema = z.strictObject({ t: z.literal('link.challenge'), nonce });
export const proofSchema = z.strictObject({
  t: z.literal('link.proof'),
  process: processIdSchema,
  /** When the process started by its own wall clock, in ms: tells which of two incarnations is older. */
  bornAt: z.number().min(0),
  nonce,
  /** One for each key that the dialer holds, newest first. */
  macs: z.array(mac).min(1).max(4),
});
export const welcomeSchema = z.strictObject({
  t: z.literal('link.welcome'),
  process: processIdSchema,
  /** Index of the accepted entry in the dialer's `macs`. */
  key: z.int().min(0),
  mac,
});
export type Proof = z.infer<typeof proofSchema>;
export type Welcome = z.infer<typeof welcomeSchema>;

const hlc = hybridStampSchema;

/** Frames after the handshake. `t` is a method or `link.heartbeat`. */
export const callSchema = z.strictObject({
  t: z.string().max(64),
  id: z.int().min(1),
  hlc,
  body: z.unknown(),
});
export const responseSchema = z.strictObject({
  t: z.string().max(64),
  re: z.int().min(1),
  hlc,
  body: z.optional(z.unknown()),
  problem: z.optional(problemSchema),
});
export const heartbeatSchema = z.strictObject({
  t: z.literal('link.heartbeat'),
  hlc,
  bundleVersion: z.int().min(0),
  status: z.optional(z.record(z.string(), z.unknown())),
});
export const frameSchema = z.union([heartbeatSchema, callSchema, responseSchema]);
export type Frame = z.infer<typeof frameSchema>;

// `copyBuffers`: a body that is kept would otherwise keep the memory of its whole frame.
const packr = new Packr({ useRecords: false, copyBuffers: true, encodeUndefinedAsNil: false });

export function encodeFrame(frame: object): Uint8Array {
  return packr.pack(frame);
}

/** Decodes a frame; throws if the bytes are truncated or malformed. */
export function decodeFrame(bytes: Uint8Array): unknown {
  return packr.unpack(bytes);
}
