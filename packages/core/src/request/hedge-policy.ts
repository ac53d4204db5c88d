/** Second copies of slow requests: only of idempotent kinds, after most would have ended, under the budget. */
import type { LatencyTracker } from './latency-tracker.js';

/** Answers needed before the quantile is believed. */
const MIN_WEIGHT = 50;

/** Allowance of further attempts per account, for example a RetryBudget. */
export interface AttemptBudget {
  take(account: string): boolean;
}

/** When to send a request a second time. Times in ms. */
export class HedgePolicy {
  readonly #latency: LatencyTracker;

  readonly #budget: AttemptBudget;

  readonly #quantile: number;

  readonly #busiest: number;

  readonly #shortestMs: number;

  constructor({
    latency,
    budget,
    quantile = 0.95,
    busiest = 0.8,
    shortestMs = 5,
  }: {
    latency: LatencyTracker;
    budget: AttemptBudget;
    quantile?: number;
    /** Utilisation above which copies would only add to the queue. */
    busiest?: number;
    shortestMs?: number;
  }) {
    this.#latency = latency;
    this.#budget = budget;
    this.#quantile = quantile;
    this.#busiest = busiest;
    this.#shortestMs = shortestMs;
  }

  /** How long to wait for the first copy; undefined if there should be no second. */
  delayMs({
    kind,
    idempotent,
    timeLeftMs,
  }: {
    kind: string;
    idempotent: boolean;
    timeLeftMs: number;
  }): number | undefined {
    if (!idempotent || this.#latency.weight(kind) < MIN_WEIGHT) return undefined;
    const tailMs = this.#latency.quantile(kind, this.#quantile);
    if (tailMs === undefined) return undefined;
    const delayMs = Math.max(this.#shortestMs, tailMs);
    const leftForCopyMs = timeLeftMs - delayMs;
    return leftForCopyMs > this.#latency.typicalMs(kind) ? delayMs : undefined;
  }

  /** Once the delay has passed: send the copy now? Takes from the account's budget. */
  mayHedge({ account, utilisation }: { account: string; utilisation: number }): boolean {
    return utilisation < this.#busiest && this.#budget.take(account);
  }
}
