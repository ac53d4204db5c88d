/** Observed latency of requests: quantiles per kind, and how slow each runner is beside its peers. */
import type { RequestEnd } from './runner-choice.js';
import { DecayedHistogram } from '../statistics/decayed-histogram.js';

/** Weight of one new latency in a runner's mean. */
const ALPHA = 0.1;
/** Weight of one answer in the mean overhead. */
const OVERHEAD_ALPHA = 0.05;
/** Bounds what one odd request says of its runner. */
const LARGEST_RATIO = 50;
const MAX_KINDS = 2000;

/** A kind's latencies, with the quantiles asked for since the last one was added. */
interface KindLatency {
  histogram: DecayedHistogram;
  quantiles: Map<number, number | undefined>;
}

interface RunnerLatency {
  /** Mean of latency over the kind's median: 1 is like everyone else. */
  slowness: number;
  samples: number;
}

/** Latencies as one entry sees them, in ms. */
export class LatencyTracker {
  readonly #kinds = new Map<string, KindLatency>();

  readonly #runners = new Map<string, RunnerLatency>();

  readonly #assumedMs: number;

  #overheadMs: number | undefined;

  /** `assumedMs` stands in for kinds that nothing is known of. */
  constructor({ assumedMs = 100 }: { assumedMs?: number } = {}) {
    this.#assumedMs = assumedMs;
  }

  /** Mean time that requests take beyond their service: the way to the runner and the wait for a slot. */
  get overheadMs(): number {
    return this.#overheadMs ?? 0;
  }

  /** Notes how a request at a runner ended. Times that were only waited for are held against service times. */
  ended(runner: string, { kind, how, ms, elapsedMs }: RequestEnd): void {
    if (ms === undefined || how === 'failed') return;
    if (how === 'abandoned') {
      this.observe({ runner, kind, ms: Math.max(0, ms - this.overheadMs), atLeast: true });
      return;
    }
    if (elapsedMs !== undefined) this.#noteOverhead(Math.max(0, elapsedMs - ms));
    this.observe({ runner, kind, ms });
  }

  /** Notes an answer. `ms` should be service time where the guard tells it, so that queueing isn't blamed. */
  observe({
    runner,
    kind,
    ms,
    atLeast = false,
  }: {
    runner: string;
    kind: string;
    ms: number;
    /** Nobody waited for the answer any longer: counts only if it makes the runner look slower. */
    atLeast?: boolean;
  }): void {
    const seen = this.#runners.get(runner) ?? { slowness: 1, samples: 0 };
    const ratio = Math.min(LARGEST_RATIO, ms / this.typicalMs(kind));
    if (atLeast && ratio <= seen.slowness) return;
    // The first few count for more, so that a new runner's mean doesn't start from a guess.
    const alpha = Math.max(ALPHA, 1 / (seen.samples + 2));
    seen.slowness += alpha * (ratio - seen.slowness);
    seen.samples += 1;
    this.#runners.set(runner, seen);
    const { histogram, quantiles } = this.#kind(kind);
    histogram.add(Math.max(0.01, ms), { censored: atLeast });
    quantiles.clear();
  }

  /** Median of the kind. */
  typicalMs(kind: string): number {
    return this.quantile(kind, 0.5) ?? this.#assumedMs;
  }

  /** A quantile of the kind over all runners; undefined while nothing is known. */
  quantile(kind: string, q: number): number | undefined {
    const known = this.#kinds.get(kind);
    if (known === undefined) return undefined;
    if (!known.quantiles.has(q)) known.quantiles.set(q, known.histogram.quantile(q));
    return known.quantiles.get(q);
  }

  /** Answers behind the kind's quantiles, recent ones counting most. */
  weight(kind: string): number {
    return this.#kinds.get(kind)?.histogram.weight ?? 0;
  }

  /** How slow a runner is: 1 is like its peers. */
  slowness(runner: string): number {
    return this.#runners.get(runner)?.slowness ?? 1;
  }

  samples(runner: string): number {
    return this.#runners.get(runner)?.samples ?? 0;
  }

  /** Starts a runner's record afresh: it left, or comes back on trial. */
  forget(runner: string): void {
    this.#runners.delete(runner);
  }

  #noteOverhead(ms: number): void {
    const mean = this.#overheadMs ?? ms;
    this.#overheadMs = mean + OVERHEAD_ALPHA * (ms - mean);
  }

  #kind(kind: string): KindLatency {
    const known = this.#kinds.get(kind);
    if (known) return known;
    if (this.#kinds.size >= MAX_KINDS) {
      const [oldest] = this.#kinds.keys();
      if (oldest !== undefined) this.#kinds.delete(oldest);
    }
    const made = { histogram: new DecayedHistogram({ decay: 0.998 }), quantiles: new Map() };
    this.#kinds.set(kind, made);
    return made;
  }
}
