/** Elapsed time between readings of several clocks that may disagree, with suspensions of the VM included. */
import { uptime } from 'node:os';
import type { Clock } from '@zincspan/core';

/** The wall clock may lag the monotonic clock by this much before it counts as set back, in ms: clock corrections are smaller. */
const SET_BACK_TOLERANCE_MS = 50;

/** Readings of all clocks at one moment, in ms. */
export interface ClockReading {
  /** Doesn't advance while the VM is suspended. */
  monotonicMs: number;
  /** Advances during suspensions; may be set. */
  wallMs: number;
  /** Advances during suspensions; may be the host's and run at another rate than the VM's own clocks. */
  uptimeMs: number;
}

/** Reads all clocks. */
export function readClocks(clock: Clock): ClockReading {
  return { monotonicMs: clock.now(), wallMs: clock.wall(), uptimeMs: uptime() * 1000 };
}

/**
 * Time from one reading to a later one, in ms, suspensions included. The uptime counts only where the wall clock was set back: on
 * VMs that share a processor it was seen to run several times as fast as their own clocks.
 */
export function elapsedMs(from: ClockReading, to: ClockReading): number {
  const monotonicMs = to.monotonicMs - from.monotonicMs;
  const wallMs = to.wallMs - from.wallMs;
  if (wallMs >= monotonicMs - SET_BACK_TOLERANCE_MS) return Math.max(monotonicMs, wallMs);
  return Math.max(monotonicMs, to.uptimeMs - from.uptimeMs);
}
