/** What a request is expected to cost at a runner, in ms. */
import type { KnownRunner } from './known-runners.js';
import type { LatencyTracker } from './latency-tracker.js';
import type { LoadContext } from './runner-load.js';

/** Share of the service time that a fully used runner counts dearer, before anyone waits. */
const LOAD_COST = 0.2;

/** Expected times, from observed latencies and what is known of the load. */
export class RunnerCosts {
  readonly #latency: LatencyTracker;

  readonly #failureDomain: string;

  readonly #domainCostMs: number;

  constructor({
    latency,
    failureDomain,
    domainCostMs,
  }: {
    latency: LatencyTracker;
    /** Where this entry is. */
    failureDomain: string;
    /** Round trip to another failure domain. */
    domainCostMs: number;
  }) {
    this.#latency = latency;
    this.#failureDomain = failureDomain;
    this.#domainCostMs = domainCostMs;
  }

  /** Until the answer: service, waiting for a slot, and the way there. */
  answerMs(known: KnownRunner, kind: string, context: LoadContext): number {
    const { runner, occupancy } = known;
    const load = occupancy.total(runner.slots, context) / runner.slots;
    const farMs = runner.failureDomain === this.#failureDomain ? 0 : this.#domainCostMs;
    const serviceMs = this.#serviceMs(known, kind);
    return serviceMs * (1 + LOAD_COST * load) + this.waitMs(known, kind, context) + farMs;
  }

  /** Until a slot is free. */
  waitMs(known: KnownRunner, kind: string, context: LoadContext): number {
    const { slots } = known.runner;
    const excess = Math.max(0, known.occupancy.total(slots, context) + 1 - slots);
    return (this.#serviceMs(known, kind) * excess) / slots;
  }

  #serviceMs({ runner }: KnownRunner, kind: string): number {
    return this.#latency.typicalMs(kind) * this.#latency.slowness(runner.id);
  }
}
