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

  readonly #meters = new Set<TrafficMeter>();

  #ended = NONE;

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

  /** Live links and those that ended. */
  get total(): Traffic {
    return [...this.#meters].reduce((total, { traffic }) => sum(total, traffic), this.#ended);
  }

  open(meter: TrafficMeter): void {
    this.#meters.add(meter);
  }

  end(meter: TrafficMeter): void {
    if (this.#meters.delete(meter)) this.#ended = sum(this.#ended, meter.traffic);
  }

  /** Adds what came since the last report to the metrics, if that was `everyMs` ago or more. */
  report(everyMs = 0): void {
    const now = this.#ctx.clock.now();
    if (now - this.#reportedAt < everyMs) return;
    const { total } = this;
    const { framesIn, framesOut, bytesIn, bytesOut } = difference(total, this.#reported);
    this.#reported = total;
    this.#reportedAt = now;
    const { metrics } = this.#ctx;
    metrics.count('link.frames.in', framesIn);
    metrics.count('link.frames.out', framesOut);
    metrics.count('link.bytes.in', bytesIn);
    metrics.count('link.bytes.out', bytesOut);
  }
}

/** One link's part in its process's totals. */
export class TrafficMeter {
  readonly #totals: TrafficTotals;

  readonly #read: () => Traffic;

  constructor({ ctx, read }: { ctx: ProcessContext; read: () => Traffic }) {
    this.#totals = TrafficTotals.of(ctx);
    this.#read = read;
    this.#totals.open(this);
  }

  get traffic(): Traffic {
    return this.#read();
  }

  /** Has the process's totals reported, unless that was done within the last `everyMs`. */
  report(everyMs: number): void {
    this.#totals.report(everyMs);
  }

  /** The link is over: what it counted stays in the totals. */
  end(): void {
    this.#totals.end(this);
    this.#totals.report();
  }
}

/** Totals over all links of a process, live and ended, as of now. */
export function linkTraffic(ctx: ProcessContext): Traffic {
  return TrafficTotals.of(ctx).total;
}
