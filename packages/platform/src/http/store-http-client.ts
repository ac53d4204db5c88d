/** Calls to the platform under bounds: attempts, time, concurrency, and a circuit breaker. */
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

/** Shortest pause between attempts that are limited by time alone, in ms. */
const MIN_RETRY_DELAY_MS = 10;

/** Why a call wasn't made, in words. */
const REJECTION_REASONS: Record<LimiterRejection, string> = {
  full: 'too many calls wait for it',
  'waited-too-long': 'other calls kept it busy',
  dismissed: 'its last calls failed',
};

/** An answer of the service, whatever its status. */
export type StoreResponse = Extract<AttemptResult, { outcome: 'answered' }>;

/** No attempt was answered. `maybeActed`: the service may have acted on one. */
export interface NoResponse {
  outcome: 'unanswered';
  mayHaveTakenEffect: boolean;
  detail: string;
}

/** The time that one logical call has left. */
export interface TimeBudget {
  /** On the caller's clock, in ms. */
  deadline: number;
  /** Kept back from repeats, for settling a write afterwards. */
  reserveMs: number;
}

/** Makes calls to one service. */
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

  /** Time until another call makes sense, in ms, with jitter so that callers don't return in step. */
  get retryAfterMs(): number {
    const { openMs, random } = this.#options;
    return Math.max(this.#breaker.waitMs, openMs) + random() * openMs;
  }

  /** Runs `call` in its turn. Rejects with `store-unavailable`, not run, when it gets none. */
  async withSlot<T>(reserveMs: number, call: (time: TimeBudget) => Promise<T>): Promise<T> {
    const deadline = this.#clock.now() + this.#options.totalMs;
    this.#throwIfOpen(this.#breaker.waitMs);
    const rejection = await this.#limiter.acquire(this.#options.totalMs - reserveMs);
    if (rejection !== undefined) throw this.#notAttempted(REJECTION_REASONS[rejection]);
    try {
      this.#throwIfOpen(this.#breaker.admit());
      return await call({ deadline, reserveMs });
    } finally {
      this.#limiter.release();
    }
  }

  /** Repeats the call until it is answered, or attempts or time have run out. */
  async sendWithRetries(
    request: HttpRequest,
    budget: TimeBudget,
  ): Promise<StoreResponse | NoResponse> {
    let mayHaveTakenEffect = false;
    let detail = 'No attempt was made in time.';
    for (let attempt = 0; attempt < this.#options.maxAttempts; attempt++) {
      if (attempt > 0) await this.#delayBeforeRetry(attempt, budget);
      const timeoutMs = this.#attemptTimeoutMs(budget);
      if (timeoutMs <= 0 || (attempt > 0 && this.#breaker.waitMs > 0)) break;
      const result = await this.#attempt(request, { timeoutMs, fresh: attempt > 0 });
      if (result.outcome === 'answered') return result;
      mayHaveTakenEffect ||= result.outcome === 'lost';
      detail = result.detail;
    }
    return { outcome: 'unanswered', mayHaveTakenEffect: mayHaveTakenEffect, detail };
  }

  /** Repeats a call that must be answered if at all possible: until the deadline, past an open breaker. */
  async sendUntilDeadline(
    request: HttpRequest,
    deadline: number,
  ): Promise<StoreResponse | undefined> {
    const budget = { deadline, reserveMs: 0 };
    for (let attempt = 1; this.#attemptTimeoutMs(budget) > 0; attempt++) {
      const timeoutMs = this.#attemptTimeoutMs(budget);
      const result = await this.#attempt(request, { timeoutMs, fresh: true });
      if (result.outcome === 'answered') return result;
      await this.#delayBeforeRetry(attempt, budget, MIN_RETRY_DELAY_MS);
    }
    return undefined;
  }

  close(): void {
    this.#connections.close();
  }

  async #attempt(
    call: HttpRequest,
    options: { timeoutMs: number; fresh: boolean },
  ): Promise<AttemptResult> {
    const { metrics } = this.#options;
    const startedAt = this.#clock.now();
    const result = await this.#connections.attempt(call, options);
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

  async #delayBeforeRetry(attempt: number, time: TimeBudget, minMs = 0): Promise<void> {
    const leftMs = time.deadline - time.reserveMs - this.#clock.now();
    const pauseMs = Math.max(minMs, fullJitterMs(attempt, this.#options));
    if (leftMs > 0) await sleep(Math.min(pauseMs, leftMs));
  }

  #attemptTimeoutMs({ deadline, reserveMs }: TimeBudget): number {
    return Math.min(this.#options.timeoutMs, deadline - reserveMs - this.#clock.now());
  }

  #throwIfOpen(waitMs: number): void {
    if (waitMs > 0) throw this.#notAttempted(REJECTION_REASONS.dismissed);
  }

  #onBreakerChange(state: 'open' | 'closed'): void {
    const { metrics, log, address } = this.#options;
    metrics.count(`store.breaker-${state}`);
    // Whoever waits for a turn is given up at once, rather than when its time has run out.
    if (state === 'open') this.#limiter.cancelQueued();
    if (state === 'open') log.warn({ address }, 'store failing, calls refused');
    else log.info({ address }, 'store answering again');
  }

  #notAttempted(why: string): ProblemError {
    this.#options.metrics.count('store.not-tried');
    const detail = `The store at ${this.#options.address} wasn't asked: ${why}.`;
    return new ProblemError(
      storeUnavailable({ detail, ran: 'not-run', retryAfterMs: this.retryAfterMs }),
    );
  }
}
