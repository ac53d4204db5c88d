/** What processes cost during a span of time. */
import { setTimeout as sleep } from 'node:timers/promises';
import { sampleUsage, usageBetween, type Usage, type UsageSample } from '../path/process-usage.js';

/** Cost of each of these processes over the next `ms`. */
export async function usageOver(pids: number[], ms: number): Promise<Usage[]> {
  const before = pids.map(sampleUsage);
  await sleep(ms);
  return pids.map((pid, n) => usageBetween(before[n]!, sampleUsage(pid)));
}

/** Processor time between two samples beyond what `idlePercent` of a core would have taken, in ms. */
export function cpuBeyond(before: UsageSample, after: UsageSample, idlePercent: number): number {
  return after.cpuMs - before.cpuMs - ((after.atMs - before.atMs) * idlePercent) / 100;
}
