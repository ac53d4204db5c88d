/** What a run is judged by. */
import type { Adjacency } from '@zincspan/core';

/** How one submission fared. Times in ms. */
export interface Fate {
  urgent: boolean;
  withinMs: number | undefined;
  /** Accelerators of the whole gang. */
  size: number;
  adjacency: Adjacency;
  submittedAt: number;
  startedAt?: number;
  endedAt?: number;
  cancelled?: boolean;
  refused?: boolean;
  lost?: boolean;
}

/** Figures of one run. */
export interface Figures {
  urgentP50: number;
  urgentP99: number;
  urgentInContract: number;
  waitingP50: number;
  waitingP99: number;
  claimP99: number;
  claimsInTime: string;
  refused: number;
  refusedTruly: number;
  lostJobs: number;
  evictions: number;
  /** Accelerator-hours. */
  workLost: number;
  fragMean: number;
  fragP95: number;
  fragNight: number;
  largestGang: number;
  largeWait: number;
  utilisation: number;
  unfinished: number;
}

/** Gangs of at least this many accelerators count as large. */
const LARGE = 8;

/** Collects a run. */
export class Tally {
  readonly fates = new Map<string, Fate>();

  readonly claimWaits: { waitMs: number; withinMs: number }[] = [];

  refused = 0;

  refusedTruly = 0;

  lostJobs = 0;

  evictions = 0;

  /** Accelerator-ms of work done twice or for nothing. */
  workLost = 0;

  /** Samples, one a minute and failure domain. */
  readonly frag: number[] = [];

  readonly fragNight: number[] = [];

  readonly largest: number[] = [];

  busy = 0;

  available = 0;

  /** A cancelled job counts no more. */
  cancel(key: string): void {
    const fate = this.fates.get(key);
    if (fate !== undefined) fate.cancelled = true;
  }

  figures(now: number): Figures {
    const all = [...this.fates.values()].filter(({ cancelled, refused }) => !cancelled && !refused);
    const times = (urgent: boolean) =>
      all.filter((fate) => fate.urgent === urgent).map((fate) => completion(fate, now));
    const contracts = all.filter(({ urgent, withinMs }) => urgent && withinMs !== undefined);
    const kept = contracts.filter((fate) => completion(fate, now) <= fate.withinMs!);
    const large = all.filter(({ size }) => size >= LARGE);
    const held = this.claimWaits.filter(({ waitMs, withinMs }) => waitMs <= withinMs);
    return {
      urgentP50: quantile(times(true), 0.5),
      urgentP99: quantile(times(true), 0.99),
      urgentInContract: contracts.length === 0 ? 1 : kept.length / contracts.length,
      waitingP50: quantile(times(false), 0.5),
      waitingP99: quantile(times(false), 0.99),
      claimP99: quantile(
        this.claimWaits.map(({ waitMs }) => waitMs),
        0.99,
      ),
      claimsInTime: `${held.length}/${this.claimWaits.length}`,
      refused: this.refused,
      refusedTruly: this.refusedTruly,
      lostJobs: this.lostJobs,
      evictions: this.evictions,
      workLost: this.workLost / 3_600_000,
      fragMean: mean(this.frag),
      fragP95: quantile(this.frag, 0.95),
      fragNight: mean(this.fragNight),
      largestGang: mean(this.largest),
      largeWait: Math.max(0, ...large.map((f) => (f.startedAt ?? now) - f.submittedAt)),
      utilisation: this.available === 0 ? 0 : this.busy / this.available,
      unfinished: all.filter(({ endedAt, lost }) => endedAt === undefined && !lost).length,
    };
  }
}

/** Time to completion; a job not done yet counts with its age, a lost one as never done. */
function completion({ submittedAt, endedAt, lost }: Fate, now: number): number {
  return lost ? Infinity : (endedAt ?? now) - submittedAt;
}

/** Quantile of numbers, 0 of none. */
export function quantile(numbers: number[], part: number): number {
  if (numbers.length === 0) return 0;
  const sorted = [...numbers].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.ceil(part * sorted.length) - 1)]!;
}

function mean(numbers: number[]): number {
  return numbers.length === 0 ? 0 : numbers.reduce((sum, n) => sum + n, 0) / numbers.length;
}
