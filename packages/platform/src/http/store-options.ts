/** Options that the table and object store clients share. */
import { SystemClock, type Clock, type Log, type Metrics } from '@zincspan/core';

/** How a client reaches the platform. All times in ms. */
export interface StoreOptions {
  /** `IP:port` of the service. */
  address: string;
  /** Bound on one attempt, from dialling to the last byte of the answer. */
  timeoutMs?: number;
  /** Bound on a whole call: waiting, attempts, pauses and settling. */
  totalMs?: number;
  /** Attempts of one call. */
  maxAttempts?: number;
  /** Longest pause before the second attempt; it doubles with each further one, up to `maxBackoffMs`. */
  backoffMs?: number;
  maxBackoffMs?: number;
  /** Calls at once; further ones wait, up to `waiting` of them, and the rest are refused. */
  concurrency?: number;
  maxQueued?: number;
  /** Failed attempts in a row that open the circuit breaker, and how long it stays open. */
  failureThreshold?: number;
  openMs?: number;
  /** Must keep step with the host's timers. */
  clock?: Clock;
  /** 0 to 1; for the jitter of pauses. */
  random?: () => number;
  metrics?: Metrics;
  /** Told when the circuit breaker opens and closes. */
  log?: Log;
}

const NO_METRICS: Metrics = { count() {}, gauge() {}, timing() {} };

const NO_LOG: Log = { info() {}, warn() {}, error() {} };

/** The options with every default filled in. The total allows for all attempts unless it is given. */
export function withDefaults(options: StoreOptions): Required<StoreOptions> {
  const timeoutMs = options.timeoutMs ?? 1000;
  return {
    timeoutMs,
    totalMs: 3 * timeoutMs,
    maxAttempts: 3,
    backoffMs: 50,
    maxBackoffMs: 1000,
    concurrency: 32,
    maxQueued: 512,
    failureThreshold: 8,
    openMs: 1000,
    clock: new SystemClock(),
    random: Math.random,
    metrics: NO_METRICS,
    log: NO_LOG,
    ...withoutUndefined(options),
  };
}

/** The options without those that were passed as undefined. */
function withoutUndefined(options: StoreOptions): StoreOptions {
  const entries = Object.entries(options).filter(([, value]) => value !== undefined);
  return Object.fromEntries(entries) as unknown as StoreOptions;
}
