/** Frames and bytes over the links of one process, counted as plain numbers and reported once a heartbeat. */
import type { ProcessContext } from '@zincspan/core';

/** Totals of one link, or of all links of a process. */
export interface Traffic {
  framesIn: number;
  framesOut: number;
  bytesIn: number;
  bytesOut: number;
}

const NONE: Traffic = { framesIn: 0, framesOut: 0, bytesIn: 0, bytesOut: 0 };

function sum(a: Traffic, b: Traffic): Traffic {
  return {
    framesIn: a.framesIn + b.framesIn,
    framesOut: a.framesOut + b.framesOut,
    bytesIn: a.bytesIn + b.bytesIn,
    bytesOut: a.bytesOut + b.bytesOut,
  };
}

function difference(a: Traffic, b: Traffic): Traffic {
  return {
    framesIn: a.framesIn - b.framesIn,
    framesOut: a.framesOut - b.framesOut,
    bytesIn: a.bytesIn - b.bytesIn,
    bytesOut: a.bytesOut - b.bytesOut,
  };
}

/** All links of a process together: an entry with a thousand of them still reports once a heartbeat. */
export class TrafficTotals {
  static readonly #byProcess = new WeakMap<ProcessContext, TrafficTotals>();

  readonly #ctx: ProcessContext;

  #total = NONE;

  #reported = NONE;

  #reportedAt = -Infinity;

  private constructor(ctx: ProcessContext) {
    this.#ctx = ctx;
  }

  /** The totals of this process. */
  static of(ctx: ProcessContext): TrafficTotals {
    const known = TrafficTotals.#byProcess.get(ctx);
    if (known !== undefined) return known;
    const created = new TrafficTotals(ctx);
    TrafficTotals.#byProcess.set(ctx, created);
    return created;
  }

  get total(): Traffic {
    return this.#total;
  }

  add(traffic: Traffic): void {
    this.#total = sum(this.#total, traffic);
  }

  /** Adds what came since the last report to the metrics, if that was `everyMs` ago or more. */
  report(everyMs = 0): void {
    const now = this.#ctx.clock.now();
    if (now - this.#reportedAt < everyMs) return;
    const { framesIn, framesOut, bytesIn, bytesOut } = difference(this.#total, this.#reported);
    this.#reported = this.#total;
    this.#reportedAt = now;
    const { metrics } = this.#ctx;
    metrics.count('link.frames.in', framesIn);
    metrics.count('link.frames.out', framesOut);
    metrics.count('link.bytes.in', bytesIn);
    metrics.count('link.bytes.out', bytesOut);
  }
}

/** Moves one link's counts into its process's totals. */
export class TrafficMeter {
  readonly #totals: TrafficTotals;

  readonly #read: () => Traffic;

  #collected = NONE;

  constructor({ ctx, read }: { ctx: ProcessContext; read: () => Traffic }) {
    this.#totals = TrafficTotals.of(ctx);
    this.#read = read;
  }

  /** Collects, and reports unless that was done within the last `everyMs`. */
  collect(everyMs = 0): void {
    const now = this.#read();
    this.#totals.add(difference(now, this.#collected));
    this.#collected = now;
    this.#totals.report(everyMs);
  }
}

/** Totals over all links of a process, live and ended, for status pages. */
export function linkTraffic(ctx: ProcessContext): Traffic {
  return TrafficTotals.of(ctx).total;
}
