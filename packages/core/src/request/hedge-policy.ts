/**
 * Second copies of slow requests: only of idempotent kinds, after most would have ended, under the budget. A kind
 * whose copies hardly ever answer first is slow by itself, not by its runners: it is copied rarely, to see whether
 * that has changed.
 */
import type { LatencyTracker } from './latency-tracker.js';

/** Answers needed before the quantile is believed. */
const MIN_WEIGHT = 50;
/** Weight of one copy in the share that answered first. */
const ALPHA = 0.05;
/** Below this share copies aren't worth their load. */
const LEAST_WINS = 0.05;
/** Of the requests that could be copied then, one in this many is. */
const SELDOM = 10;

interface CopyRecord {
  /** Share of copies that answered first. */
  wins: number;
  /** Requests passed over since the last copy. */
  passed: number;
}

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

  readonly #copies = new Map<string, CopyRecord>();

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
    // The tail is one of service times; the way there and the wait for a slot come on top.
    const delayMs = Math.max(this.#shortestMs, tailMs + this.#latency.overheadMs);
    const leftForCopyMs = timeLeftMs - delayMs;
    return leftForCopyMs > this.#latency.typicalMs(kind) ? delayMs : undefined;
  }

  /** Once the delay has passed: send the copy now? Takes from the account's budget. */
  mayHedge({
    account,
    kind,
    utilisation,
  }: {
    account: string;
    /** Without it, copies that never win aren't held back. */
    kind?: string;
    utilisation: number;
  }): boolean {
    if (utilisation >= this.#busiest) return false;
    if (kind !== undefined && !this.#isWorthIt(kind)) return false;
    return this.#budget.take(account);
  }

  /** A copied request was answered: by the copy, or by the first after all. */
  copyEnded(kind: string, { won }: { won: boolean }): void {
    const record = this.#record(kind);
    record.wins += ALPHA * ((won ? 1 : 0) - record.wins);
  }

  #isWorthIt(kind: string): boolean {
    const record = this.#record(kind);
    record.passed += 1;
    if (record.wins < LEAST_WINS && record.passed < SELDOM) return false;
    record.passed = 0;
    return true;
  }

  #record(kind: string): CopyRecord {
    const record = this.#copies.get(kind) ?? { wins: 4 * LEAST_WINS, passed: 0 };
    this.#copies.set(kind, record);
    return record;
  }
}
