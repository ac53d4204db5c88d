/** The configuration bundle: the one way operators change how the system behaves. */
import * as z from 'zod';
import { clientAccountSchema } from '../client-account/client-account.js';
import { guaranteeSchema } from '../guarantee/guarantee.js';
import { kindSchema } from '../kind/kind.js';
import { nameSchema } from '../vm/vm.js';

/** Knobs of the decisions that operators own. */
export const policySchema = z.strictObject({
  /** 0 weighs completion time only, 1 fragmentation only. */
  fragmentationWeight: z.number().min(0).max(1).default(0.5),
  /** `fifo` is the first-fit baseline, kept for comparison. */
  scheduler: z.enum(['contract', 'fifo']).default('contract'),
  checkpointLimitMs: z.int().min(100).default(10_000),
  /** A waiting large gang triggers defragmentation after this long. */
  defragmentAfterMs: z.int().min(1000).default(60_000),
  /** Retries as a share of first attempts, per account. */
  retryBudget: z.number().min(0).max(1).default(0.1),
  /** Failures of distinct jobs on one worker, that others finish, before quarantine. */
  quarantineAfter: z.int().min(1).max(20).default(3),
  probationMs: z.int().min(1000).default(300_000),
});
export type Policy = z.infer<typeof policySchema>;

/** Longest body of a bundle as canonical JSON, in bytes: a daemon that starts fetches it in one message. */
export const MAX_BUNDLE_BYTES = 900_000;

/** Body of a bundle. Its version and signatures live in the head that points at it. */
export const bundleSchema = z.strictObject({
  accounts: z.array(clientAccountSchema).max(2000),
  kinds: z.array(kindSchema).max(2000),
  guarantees: z.array(guaranteeSchema).max(5000).default([]),
  policy: policySchema.prefault({}),
  /** Upstreams that operators take out of service; their guards drain them. */
  drained: z.array(nameSchema).max(5000).default([]),
});
export type Bundle = z.infer<typeof bundleSchema>;

/** An operator's Ed25519 signature over the head without its signatures (base64url). */
export const signatureSchema = z.strictObject({
  operator: nameSchema,
  signature: z.string().min(80).max(100),
});
export type Signature = z.infer<typeof signatureSchema>;

/** Row `bundle/head`, and what daemons tell each other: which bundle is in force. */
export const bundleHeadSchema = z.strictObject({
  version: z.int().min(1),
  /** Digest of the body, see digestBundle. */
  digest: z.string().regex(/^[0-9a-f]{64}$/),
  /** Version this one was proposed against; a rollout over any other is refused. */
  parent: z.int().min(0),
  note: z.string().max(500).default(''),
  signatures: z.array(signatureSchema).max(8),
});
export type BundleHead = z.infer<typeof bundleHeadSchema>;

/** One named part of a bundle, the unit in which changes travel: `account/tuul`, `kind/match`, `policy`. */
export const bundleSectionSchema = z.strictObject({
  name: z.string().max(200),
  value: z.unknown(),
});
export type BundleSection = z.infer<typeof bundleSectionSchema>;

/** Changed and removed sections that lead from version `from` (0: empty) to the head's version. */
export const bundleDeltaSchema = z.strictObject({
  from: z.int().min(0),
  head: bundleHeadSchema,
  set: z.array(bundleSectionSchema),
  remove: z.array(z.string()),
});
export type BundleDelta = z.infer<typeof bundleDeltaSchema>;
