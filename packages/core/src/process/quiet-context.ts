/** A process context that reports nowhere, for tests, benches and tools. */
import { SystemClock, type Clock } from '../clock/clock.js';
import { HybridClock } from '../clock/hybrid-clock.js';
import { Timeline } from '../timeline/timeline.js';
import type { ProcessId } from '../vm/vm.js';
import type { Log, ProcessContext } from './context.js';
import { CountingMetrics } from './metrics.js';

/** What differs from an entry on the host's clock. */
export interface QuietContextOptions extends Partial<Omit<ProcessId, 'id'>> {
  id: string;
  clock?: Clock;
  /** Where lines go; nowhere by default. */
  log?: Log;
}

const NO_LOG: Log = { info: () => {}, warn: () => {}, error: () => {} };

/** Keeps counters and time line in memory, and no log unless one is given. */
export function quietContext({
  id,
  role = 'entry',
  failureDomain = 'ernakulam',
  incarnation = `${id}-incarnation`,
  clock = new SystemClock(),
  log = NO_LOG,
}: QuietContextOptions): ProcessContext & { metrics: CountingMetrics } {
  const hybrid = new HybridClock({ clock });
  return {
    self: { id, role, incarnation, failureDomain },
    clock,
    hybrid,
    timeline: new Timeline({ process: id, hybrid }),
    metrics: new CountingMetrics(),
    log,
  };
}
