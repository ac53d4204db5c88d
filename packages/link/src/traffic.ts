/**
 * Counts frames and bytes over the links of one process. Plain numbers are summed up and added to the metrics once per
 * heartbeat interval.
 */
import type { ProcessContext } from '@zincspan/core';

/** Totals of one link, or of all links of a process. */
export interface Traffic {
  framesIn: number;
  framesOut: number;
  bytesIn: number;
  bytesOut: number;
}

const NO_TRAFFIC: Traffic = { framesIn: 0, framesOut: 0, bytesIn: 0, bytesOut: 0 };

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

/** Totals over all links of a process: an entry with a thousand links still reports once per heartbeat interval. */
export class TrafficTotals {
  static readonly #byProcess = new WeakMap<ProcessContext, TrafficTotals>();

  readonly #ctx: ProcessContext;

  readonly #meters = new Set<TrafficMeter>();

  #endedLinks = NO_TRAFFIC;

  #lastReported = NO_TRAFFIC;

  #lastReportedAt = -Infinity;

  private constructor(ctx: ProcessContext) {
    this.#ctx = ctx;
  }

  /** Returns the totals of this process, created on first use. */
  static forProcess(ctx: ProcessContext): TrafficTotals {
    const known = TrafficTotals.#byProcess.get(ctx);
    if (known !== undefined) return known;
    const created = new TrafficTotals(ctx);
    TrafficTotals.#byProcess.set(ctx, created);
    return created;
  }

  /** Sum over open and closed links. */
  get total(): Traffic {
    return [...this.#meters].reduce((total, { traffic }) => sum(total, traffic), this.#endedLinks);
  }

  addMeter(meter: TrafficMeter): void {
    this.#meters.add(meter);
  }

  removeMeter(meter: TrafficMeter): void {
    if (this.#meters.delete(meter)) this.#endedLinks = sum(this.#endedLinks, meter.traffic);
  }

  /** Adds the traffic since the last report to the metrics, unless that report is less than `everyMs` ago. */
  report(everyMs = 0): void {
    const now = this.#ctx.clock.now();
    if (now - this.#lastReportedAt < everyMs) return;
    const { total } = this;
    const { framesIn, framesOut, bytesIn, bytesOut } = difference(total, this.#lastReported);
    this.#lastReported = total;
    this.#lastReportedAt = now;
    const { metrics } = this.#ctx;
    metrics.count('link.frames.in', framesIn);
    metrics.count('link.frames.out', framesOut);
    metrics.count('link.bytes.in', bytesIn);
    metrics.count('link.bytes.out', bytesOut);
  }
}

/** Feeds one link's traffic into the totals of its process. */
export class TrafficMeter {
  readonly #totals: TrafficTotals;

  readonly #read: () => Traffic;

  constructor({ ctx, read }: { ctx: ProcessContext; read: () => Traffic }) {
    this.#totals = TrafficTotals.forProcess(ctx);
    this.#read = read;
    this.#totals.addMeter(this);
  }

  get traffic(): Traffic {
    return this.#read();
  }

  /** Reports the totals of the process, unless that was done within the last `everyMs`. */
  report(everyMs: number): void {
    this.#totals.report(everyMs);
  }

  /** To be called when the link has ended; its traffic stays in the totals. */
  finish(): void {
    this.#totals.removeMeter(this);
    this.#totals.report();
  }
}

/** Current totals over all links of a process, open and closed. */
export function totalLinkTraffic(ctx: ProcessContext): Traffic {
  return TrafficTotals.forProcess(ctx).total;
}
