/** Settings of a daemon: one JSON file with comments, every field checked. */
import * as z from 'zod';
import { upstreamSchema } from '../upstream/upstream.js';
import { addressSchema, nameSchema } from '../vm/vm.js';

const common = {
  id: nameSchema,
  failureDomain: nameSchema,
  /** Shared secrets of the links between zincspan's processes, newest first; 32 bytes or more as text. */
  linkKeys: z.array(z.string().min(32).max(200)).min(1).max(4),
  /** Operators and their Ed25519 public keys (base64url of the raw 32 bytes). Two must sign a bundle. */
  operators: z
    .array(z.strictObject({ name: nameSchema, publicKey: z.string().length(43) }))
    .min(2)
    .max(64),
  log: z
    .strictObject({ level: z.enum(['trace', 'debug', 'info', 'warn', 'error']).default('info') })
    .prefault({}),
  /** StatsD over UDP; absent: counters are kept but not sent. */
  metrics: z.optional(
    z.strictObject({ address: addressSchema, prefix: z.string().max(64).default('zincspan.') }),
  ),
  heartbeat: z
    .strictObject({
      everyMs: z.int().min(50).max(60_000).default(1000),
      silenceMs: z.int().min(150).max(180_000).default(3000),
    })
    .prefault({}),
  timelineEvents: z.int().min(100).max(100_000).default(5000),
};

/** Another entry, as listed in settings. */
export const entryPeerSchema = z.strictObject({
  id: nameSchema,
  failureDomain: nameSchema,
  address: addressSchema,
});
export type EntryPeer = z.infer<typeof entryPeerSchema>;

/** Settings of an entry. */
export const entrySettingsSchema = z.strictObject({
  role: z.literal('entry'),
  ...common,
  /** Callers and operators, over HTTP. */
  listenHttp: addressSchema,
  /** Guards and other entries. */
  listenLink: addressSchema,
  /** All entries, this one included or not. */
  entries: z.array(entryPeerSchema).max(256).default([]),
  failureDomains: z.array(nameSchema).min(1).max(64),
  table: z.strictObject({ address: addressSchema, timeoutMs: z.int().min(10).default(1000) }),
  objectStore: z.strictObject({ address: addressSchema, timeoutMs: z.int().min(10).default(2000) }),
  owner: z
    .strictObject({
      leaseMs: z.int().min(500).default(1500),
      renewMs: z.int().min(100).default(500),
    })
    .prefault({}),
  limits: z
    .strictObject({
      bodyBytes: z.int().min(1024).max(1_048_576).default(262_144),
      connections: z.int().min(1).default(2000),
      /** Estimated memory of connections, unanswered requests and their bodies. */
      requestMemoryBytes: z.int().min(1_048_576).default(134_217_728),
      requestsInProgress: z.int().min(1).default(1000),
      defaultDeadlineMs: z.int().min(10).default(30_000),
      maxDeadlineMs: z.int().min(10).default(300_000),
    })
    .prefault({}),
  /** Rows of jobs and claims are removed this long after their end. */
  keepEndedMs: z.int().min(3_600_000).default(604_800_000),
  /** Longest wait for requests in progress after SIGTERM. */
  drainMs: z.int().min(0).default(30_000),
});
export type EntrySettings = z.infer<typeof entrySettingsSchema>;

/** Settings of a guard. The upstream may be given here or announce itself over HTTP. */
export const guardSettingsSchema = z.strictObject({
  role: z.literal('guard'),
  ...common,
  /** Where the upstream announces itself; health for the platform. */
  listenHttp: addressSchema,
  entries: z.array(entryPeerSchema).min(1).max(256),
  upstream: z.optional(upstreamSchema),
  /** Announcements to entries expire after this long. */
  announceTtlMs: z.int().min(500).default(10_000),
  taskLeaseMs: z.int().min(500).default(10_000),
  /** Without an answer of its owner for this long, a guard stops its tasks unless the owner is gone. */
  ownerSilenceMs: z.int().min(500).max(600_000).default(20_000),
  /** Allowance for the worker's clock running slower than the guard's, as a share of the lease. */
  clockMargin: z.number().min(0).max(1).default(0.1),
  limits: z
    .strictObject({
      queuedRequests: z.int().min(0).max(10_000).default(64),
      ledgerEntries: z.int().min(100).max(1_000_000).default(10_000),
      ledgerBytes: z.int().min(65_536).default(2_097_152),
      ledgerMs: z.int().min(1000).default(600_000),
    })
    .prefault({}),
  drainMs: z.int().min(0).default(30_000),
});
export type GuardSettings = z.infer<typeof guardSettingsSchema>;

/** Settings of either role. */
export const settingsSchema = z.discriminatedUnion('role', [
  entrySettingsSchema,
  guardSettingsSchema,
]);
export type Settings = z.infer<typeof settingsSchema>;
