/** Faults of the lossy proxy. */
import * as z from 'zod';

export const silenceSchema = z.enum(['none', 'to-server', 'to-client', 'both']);
/** Directions in which bytes are swallowed. */
export type Silence = z.infer<typeof silenceSchema>;

/** All off by default; a PUT replaces them all. */
export const proxyFaultsSchema = z.strictObject({
  /** Swallows bytes on connections opened from now on, without closing them. */
  silence: silenceSchema.default('none'),
  /** Bytes arrive this much later, in ms, in order. */
  delayMs: z.int().min(0).default(0),
  /** New connections are cut at once. */
  refuse: z.boolean().default(false),
});
export type ProxyFaults = z.infer<typeof proxyFaultsSchema>;

/** Body of the proxy's `PUT /faults`: the faults, and what is done once to the connections open now. */
export const proxyOrderSchema = proxyFaultsSchema.extend({
  /** Silences the connections open now, for good: they never recover, as when a middlebox lost track. */
  silenceOpen: silenceSchema.default('none'),
  /** Cuts the connections open now. */
  cutOpen: z.boolean().default(false),
});
export type ProxyOrder = z.infer<typeof proxyOrderSchema>;
