/** Calls to the platform under bounds: attempts, time, concurrency, and a circuit breaker. */
import { ProblemError, type Clock } from '@zincspan/core';
import { fullJitterMs, pause } from './backoff.js';
import { CallLimit, type LimitRefusal } from './call-limit.js';
import { CircuitBreaker } from './circuit-breaker.js';
import { HttpConnection, type AttemptResult, type HttpCall } from './http-attempt.js';
import { withDefaults, type StoreOptions } from './store-options.js';
import { storeUnavailable } from './store-problem.js';

/** Shortest pause between attempts that are limited by time alone, in ms. */
const MIN_INSIST_PAUSE_MS = 10;

/** Why a call wasn't made, in words. */
const REFUSALS: Record<LimitRefusal, string> = {
  full: 'too many calls wait for it',
  'waited-too-long': 'other calls kept it busy',
  dismissed: 'its last calls failed',
};

/** An answer of the service, whatever its status. */
export type Answer = Extract<AttemptResult, { outcome: 'answered' }>;

/** No attempt was answered. `maybeActed`: the service may have acted on one. */
export interface Unanswered {
  outcome: 'unanswered';
  maybeActed: boolean;
  detail: string;
}

/** The time that one logical call has left. */
export interface CallTime {
  /** On the caller's clock, in ms. */
  deadline: number;
  /** Kept back from repeats, for settling a write afterwards. */
  reserveMs: number;
}

/** Makes calls to one service. */
export class StoreCaller {
  readonly #options: Required<StoreOptions>;

  readonly #clock: Clock;

  readonly #connection: HttpConnection;

  readonly #limit: CallLimit;

  readonly #breaker: CircuitBreaker;

  constructor(options: StoreOptions) {
    this.#options = withDefaults(options);
    this.#clock = this.#options.clock;
    const { address, concurrency } = this.#options;
    this.#connection = new HttpConnection({ address, maxSockets: concurrency });
    this.#limit = new CallLimit(this.#options);
    this.#breaker = new CircuitBreaker({
      ...this.#options,
      onChange: (state) => this.#breakerChanged(state),
    });
  }

  /** Time until another call makes sense, in ms, with jitter so that callers don't return in step. */
  get retryAfterMs(): number {
    const { openMs, random } = this.#options;
    return Math.max(this.#breaker.waitMs, openMs) + random() * openMs;
  }

  /** Runs `call` in its turn. Rejects with `store-unavailable`, not run, when it gets none. */
  async inTurn<T>(reserveMs: number, call: (time: CallTime) => Promise<T>): Promise<T> {
    const deadline = this.#clock.now() + this.#options.totalMs;
    this.#refuseIfOpen(this.#breaker.waitMs);
    const refusal = await this.#limit.acquire(this.#options.totalMs - reserveMs);
    if (refusal !== undefined) throw this.#refused(REFUSALS[refusal]);
    try {
      this.#refuseIfOpen(this.#breaker.enter());
      return await call({ deadline, reserveMs });
    } finally {
      this.#limit.release();
    }
  }

  /** Repeats the call until it is answered, or attempts or time have run out. */
  async repeat(call: HttpCall, time: CallTime): Promise<Answer | Unanswered> {
    let maybeActed = false;
    let detail = 'No attempt was made in time.';
    for (let attempt = 0; attempt < this.#options.attempts; attempt++) {
      if (attempt > 0) await this.#pauseBefore(attempt, time);
      const timeoutMs = this.#timeLeft(time);
      if (timeoutMs <= 0 || (attempt > 0 && this.#breaker.waitMs > 0)) break;
      const result = await this.#attempt(call, { timeoutMs, fresh: attempt > 0 });
      if (result.outcome === 'answered') return result;
      maybeActed ||= result.outcome === 'lost';
      detail = result.detail;
    }
    return { outcome: 'unanswered', maybeActed, detail };
  }

  /** Repeats a call that must be answered if at all possible: until the deadline, past an open breaker. */
  async insist(call: HttpCall, deadline: number): Promise<Answer | undefined> {
    const time = { deadline, reserveMs: 0 };
    for (let attempt = 1; this.#timeLeft(time) > 0; attempt++) {
      const timeoutMs = this.#timeLeft(time);
      const result = await this.#attempt(call, { timeoutMs, fresh: true });
      if (result.outcome === 'answered') return result;
      await this.#pauseBefore(attempt, time, MIN_INSIST_PAUSE_MS);
    }
    return undefined;
  }

  close(): void {
    this.#connection.close();
  }

  async #attempt(
    call: HttpCall,
    options: { timeoutMs: number; fresh: boolean },
  ): Promise<AttemptResult> {
    const { metrics } = this.#options;
    const startedAt = this.#clock.now();
    const result = await this.#connection.attempt(call, options);
    metrics.timing('store.attempt', this.#clock.now() - startedAt);
    if (result.outcome === 'answered') {
      this.#breaker.succeeded();
      return result;
    }
    metrics.count(`store.${result.outcome}`);
    if (result.outcome === 'lost') this.#connection.dropIdle();
    this.#breaker.failed();
    return result;
  }

  async #pauseBefore(attempt: number, time: CallTime, minMs = 0): Promise<void> {
    const leftMs = time.deadline - time.reserveMs - this.#clock.now();
    const pauseMs = Math.max(minMs, fullJitterMs(attempt, this.#options));
    if (leftMs > 0) await pause(Math.min(pauseMs, leftMs));
  }

  #timeLeft({ deadline, reserveMs }: CallTime): number {
    return Math.min(this.#options.timeoutMs, deadline - reserveMs - this.#clock.now());
  }

  #refuseIfOpen(waitMs: number): void {
    if (waitMs > 0) throw this.#refused(REFUSALS.dismissed);
  }

  #breakerChanged(state: 'open' | 'closed'): void {
    const { metrics, log, address } = this.#options;
    metrics.count(`store.breaker-${state}`);
    // Whoever waits for a turn is given up at once, rather than when its time has run out.
    if (state === 'open') this.#limit.dismiss();
    if (state === 'open') log.warn({ address }, 'store failing, calls refused');
    else log.info({ address }, 'store answering again');
  }

  #refused(why: string): ProblemError {
    this.#options.metrics.count('store.not-tried');
    const detail = `The store at ${this.#options.address} wasn't asked: ${why}.`;
    return new ProblemError(
      storeUnavailable({ detail, ran: 'not-run', retryAfterMs: this.retryAfterMs }),
    );
  }
}
