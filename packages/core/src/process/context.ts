/** What every part of a process is given: who it is, its clocks, and where it reports. */
import type { Clock } from '../clock/clock.js';
import type { HybridClock } from '../clock/hybrid-clock.js';
import type { Timeline } from '../timeline/timeline.js';
import type { ProcessId } from '../vm/vm.js';
import type { Metrics } from './metrics.js';

/** Structured log. Lines are for changes of state only; what happens often is counted. */
export interface Log {
  info(fields: object, msg: string): void;
  warn(fields: object, msg: string): void;
  error(fields: object, msg: string): void;
}

/** Passed to every part of a daemon. */
export interface ProcessContext {
  self: ProcessId;
  clock: Clock;
  hybrid: HybridClock;
  timeline: Timeline;
  metrics: Metrics;
  log: Log;
}
