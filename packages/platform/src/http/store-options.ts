/** Options that the table and object store clients share. */
import { SystemClock, type Clock, type Log, type Metrics } from '@zincspan/core';

/** Settings of a client. All times in ms. */
export interface StoreOptions {
  /** `IP:port` of the service. */
  address: string;
  /** Limit of one attempt, from connecting to the last byte of the response. */
  timeoutMs?: number;
  /** Limit of a whole call: queueing, attempts, delays, and asking for the outcome of a write. */
  totalMs?: number;
  /** Attempts of one call, the first included. */
  maxAttempts?: number;
  /** Longest delay before the first retry; it doubles with each further one, up to `maxBackoffMs`. */
  backoffMs?: number;
  maxBackoffMs?: number;
  /** Concurrent calls; up to `maxQueued` further ones wait, and the rest are rejected. */
  concurrency?: number;
  maxQueued?: number;
  /** Consecutive failed attempts that open the circuit breaker, and how long it stays open. */
  failureThreshold?: number;
  openMs?: number;
  /** Must run at the same rate as the host's timers, as time limits use both. */
  clock?: Clock;
  /** Returns 0 to 1; for the jitter of delays. */
  random?: () => number;
  metrics?: Metrics;
  /** Gets a message when the circuit breaker opens or closes. */
  log?: Log;
}

const NO_METRICS: Metrics = { count() {}, gauge() {}, timing() {} };

const NO_LOG: Log = { info() {}, warn() {}, error() {} };

/** Fills in the defaults. Unless given, `totalMs` allows for all attempts. */
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

/** Drops the options that were passed as undefined. */
function withoutUndefined(options: StoreOptions): StoreOptions {
  const entries = Object.entries(options).filter(([, value]) => value !== undefined);
  return Object.fromEntries(entries) as unknown as StoreOptions;
}
