/** Sends requests to a store with limits on retries, time and concurrency, and with a circuit breaker. */
import { ProblemError, type Clock } from '@zincspan/core';
import { fullJitterMs, sleep } from './backoff.js';
import { ConcurrencyLimiter, type LimiterRejection } from './concurrency-limiter.js';
import { CircuitBreaker } from './circuit-breaker.js';
import {
  HttpConnectionPool,
  type AttemptResult,
  type HttpRequest,
} from './http-connection-pool.js';
import { withDefaults, type StoreOptions } from './store-options.js';
import { storeUnavailable } from './store-unavailable.js';

/** Shortest delay between attempts that are limited only by a deadline. */
const MIN_RETRY_DELAY_MS = 10;

/** Error texts for calls that were not attempted. */
const REJECTION_REASONS: Record<LimiterRejection, string> = {
  full: 'too many calls are waiting for it already',
  'wait-timeout': 'other calls used all its slots until the time limit',
  cancelled: 'its last calls failed',
};

/** A response of the service, with any status below 500. */
export type StoreResponse = Extract<AttemptResult, { outcome: 'answered' }>;

/** No attempt got a response. `mayHaveTakenEffect`: the service may have acted on one of them. */
export interface NoResponse {
  outcome: 'unanswered';
  mayHaveTakenEffect: boolean;
  detail: string;
}

/** Time budget of one call with all its attempts. */
export interface TimeBudget {
  /** On the client's clock, in ms. */
  deadline: number;
  /** Not available to retries: kept to ask for the outcome of a write afterwards. */
  reserveMs: number;
}

/** Client of one service. */
export class StoreHttpClient {
  readonly #options: Required<StoreOptions>;

  readonly #clock: Clock;

  readonly #connections: HttpConnectionPool;

  readonly #limiter: ConcurrencyLimiter;

  readonly #breaker: CircuitBreaker;

  constructor(options: StoreOptions) {
    this.#options = withDefaults(options);
    this.#clock = this.#options.clock;
    const { address, concurrency } = this.#options;
    this.#connections = new HttpConnectionPool({ address, maxSockets: concurrency });
    this.#limiter = new ConcurrencyLimiter(this.#options);
    this.#breaker = new CircuitBreaker({
      ...this.#options,
      onChange: (state) => this.#onBreakerChange(state),
    });
  }

  /** Recommended time until the next call, in ms, with jitter so that callers don't retry in lockstep. */
  get retryAfterMs(): number {
    const { openMs, random } = this.#options;
    return Math.max(this.#breaker.remainingOpenMs, openMs) + random() * openMs;
  }

  /** Runs `call` once there is a free slot. Rejects with `store-unavailable` and `not-run` if it gets none. */
  async withSlot<T>(reserveMs: number, call: (budget: TimeBudget) => Promise<T>): Promise<T> {
    const deadline = this.#clock.now() + this.#options.totalMs;
    this.#throwIfOpen(this.#breaker.remainingOpenMs);
    const rejection = await this.#limiter.acquire(this.#options.totalMs - reserveMs);
    if (rejection !== undefined) throw this.#notAttempted(REJECTION_REASONS[rejection]);
    try {
      this.#throwIfOpen(this.#breaker.admit());
      return await call({ deadline, reserveMs });
    } finally {
      this.#limiter.release();
    }
  }

  /** Retries the request until it gets a response, attempts or time run out, or the circuit breaker opens. */
  async sendWithRetries(
    request: HttpRequest,
    budget: TimeBudget,
  ): Promise<StoreResponse | NoResponse> {
    let mayHaveTakenEffect = false;
    let detail = 'No attempt was made, as no time was left.';
    for (let attempt = 0; attempt < this.#options.maxAttempts; attempt++) {
      if (attempt > 0) await this.#delayBeforeRetry(attempt, budget);
      const timeoutMs = this.#attemptTimeoutMs(budget);
      if (timeoutMs <= 0 || (attempt > 0 && this.#breaker.remainingOpenMs > 0)) break;
      const result = await this.#attempt(request, { timeoutMs, newConnection: attempt > 0 });
      if (result.outcome === 'answered') return result;
      mayHaveTakenEffect ||= result.outcome === 'lost';
      detail = result.detail;
    }
    return { outcome: 'unanswered', mayHaveTakenEffect, detail };
  }

  /** Retries until the deadline, even while the circuit breaker is open: for requests that need a response. */
  async sendUntilDeadline(
    request: HttpRequest,
    deadline: number,
  ): Promise<StoreResponse | undefined> {
    const budget = { deadline, reserveMs: 0 };
    for (let attempt = 1; this.#attemptTimeoutMs(budget) > 0; attempt++) {
      const timeoutMs = this.#attemptTimeoutMs(budget);
      const result = await this.#attempt(request, { timeoutMs, newConnection: true });
      if (result.outcome === 'answered') return result;
      await this.#delayBeforeRetry(attempt, budget, MIN_RETRY_DELAY_MS);
    }
    return undefined;
  }

  close(): void {
    this.#connections.close();
  }

  async #attempt(
    request: HttpRequest,
    options: { timeoutMs: number; newConnection: boolean },
  ): Promise<AttemptResult> {
    const { metrics } = this.#options;
    const startedAt = this.#clock.now();
    const result = await this.#connections.attempt(request, options);
    metrics.timing('store.attempt', this.#clock.now() - startedAt);
    if (result.outcome === 'answered') {
      this.#breaker.recordSuccess();
      return result;
    }
    metrics.count(`store.${result.outcome}`);
    if (result.outcome === 'lost') this.#connections.closeIdle();
    this.#breaker.recordFailure();
    return result;
  }

  async #delayBeforeRetry(attempt: number, budget: TimeBudget, minDelayMs = 0): Promise<void> {
    const leftMs = budget.deadline - budget.reserveMs - this.#clock.now();
    const delayMs = Math.max(minDelayMs, fullJitterMs(attempt, this.#options));
    if (leftMs > 0) await sleep(Math.min(delayMs, leftMs));
  }

  #attemptTimeoutMs({ deadline, reserveMs }: TimeBudget): number {
    return Math.min(this.#options.timeoutMs, deadline - reserveMs - this.#clock.now());
  }

  #throwIfOpen(remainingOpenMs: number): void {
    if (remainingOpenMs > 0) throw this.#notAttempted(REJECTION_REASONS.cancelled);
  }

  #onBreakerChange(state: 'open' | 'closed'): void {
    const { metrics, log, address } = this.#options;
    metrics.count(`store.breaker-${state}`);
    // Queued calls are rejected at once, rather than when their time has run out.
    if (state === 'open') this.#limiter.cancelQueued();
    if (state === 'open') log.warn({ address }, 'circuit breaker opened, rejecting calls');
    else log.info({ address }, 'circuit breaker closed, store answers again');
  }

  #notAttempted(reason: string): ProblemError {
    this.#options.metrics.count('store.not-tried');
    const detail = `The store at ${this.#options.address} was not called: ${reason}.`;
    return new ProblemError(
      storeUnavailable({ detail, ran: 'not-run', retryAfterMs: this.retryAfterMs }),
    );
  }
}
