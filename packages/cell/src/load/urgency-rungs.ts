/** Cumulative amounts of work by urgency, in few steps: how much goes ahead of a job of a given urgency. */
import { MAX_RUNGS } from './load-summary.js';

/** Some work of one urgency, in any unit. */
export interface Rung {
  urgency: number;
  work: number;
}

/** Highest value of an urgency's logarithm. */
const MAX_LOG_URGENCY = 30_000;

/** Logarithm of an urgency in thousandths. */
export function logUrgency(urgency: number): number {
  const log = Math.round(Math.log(Math.max(Number.MIN_VALUE, urgency)) * 1000);
  return Math.max(-MAX_LOG_URGENCY, Math.min(MAX_LOG_URGENCY, log));
}

/** The urgency of which this is the logarithm in thousandths. */
export function urgencyOfLog(log: number): number {
  return log >= MAX_LOG_URGENCY ? Infinity : Math.exp(log / 1000);
}

/** Divides the items, the most urgent first, into at most eight groups of about the same work. */
export function groupByUrgency<T extends Rung>(items: readonly T[]): T[][] {
  const sorted = [...items].sort((a, b) => b.urgency - a.urgency);
  const total = sorted.reduce((sum, { work }) => sum + work, 0);
  const groups: T[][] = [];
  let current: T[] = [];
  let work = 0;
  sorted.forEach((item, index) => {
    current.push(item);
    work += item.work;
    const isLast = index === sorted.length - 1;
    const isDue =
      groups.length < MAX_RUNGS - 1 && work >= ((groups.length + 1) * total) / MAX_RUNGS;
    if (!isLast && !isDue) return;
    groups.push(current);
    current = [];
  });
  return groups;
}

/** Last of the cumulative rungs that is wholly at least as urgent; undefined if there is none. */
export function lastAhead<T extends readonly [number, ...number[]]>(
  rungs: readonly T[],
  urgency: number,
): T | undefined {
  const own = logUrgency(urgency);
  return rungs.filter(([lowest]) => lowest >= own).at(-1);
}
