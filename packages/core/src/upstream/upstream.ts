/** Upstreams: runners, which serve short requests, and workers, which run tasks under leases. */
import * as z from 'zod';
import { addressSchema, incarnationSchema, nameSchema } from '../vm/vm.js';

/** What a runner says of itself. `kinds` empty means every request kind. */
export const runnerSchema = z.strictObject({
  type: z.literal('runner'),
  id: nameSchema,
  address: addressSchema,
  slots: z.int().min(1).max(1024),
  connections: z.int().min(1).max(4096),
  kinds: z.array(nameSchema).default([]),
});
export type Runner = z.infer<typeof runnerSchema>;

/** What a worker says of itself. Accelerators are numbered 0 to accelerators - 1, neighbours adjacent. */
export const workerSchema = z.strictObject({
  type: z.literal('worker'),
  id: nameSchema,
  address: addressSchema,
  rack: nameSchema,
  /** Place of the rack in its row: racks whose positions differ by one are neighbours. */
  rackPosition: z.int().min(0).default(0),
  cores: z.int().min(1),
  memoryMb: z.int().min(1),
  accelerators: z.int().min(0).max(64),
});
export type Worker = z.infer<typeof workerSchema>;

/** An upstream of either type. */
export const upstreamSchema = z.discriminatedUnion('type', [runnerSchema, workerSchema]);
export type Upstream = z.infer<typeof upstreamSchema>;

/** A guard's announcement of its upstream. `sequence` grows with each change within an incarnation. */
export const announcementSchema = z.strictObject({
  upstream: upstreamSchema,
  failureDomain: nameSchema,
  guard: nameSchema,
  incarnation: incarnationSchema,
  sequence: z.int().min(0),
  /** `draining` upstreams finish what they have and get nothing new. */
  state: z.enum(['ready', 'draining', 'withdrawn']),
  /** The guard repeats the announcement well within this time; silence past it expires the upstream. */
  ttlMs: z.int().min(500).max(600_000),
});
export type Announcement = z.infer<typeof announcementSchema>;
