/** What evicting a running job costs: work lost, weighed by who can bear it. */
import { acceleratorsOf, ranMs, type RunningJob } from '../scheduler/running-jobs.js';
import type { EvictionCost } from './victims.js';

/** For whom room is made, and what may be evicted for it. */
export interface EvictionRules {
  now: number;
  /** Account that asks for the room. */
  account: string;
  checkpointLimitMs: number;
  /**
   * `claim`: anything but jobs inside a guarantee. `home`: the same, but nothing for good and nobody too often.
   * `urgent`: waiting kinds that lose nothing for good. `defragment`: of these, what can be checkpointed.
   */
  purpose: 'claim' | 'home' | 'urgent' | 'defragment';
  /** Whether an account uses no more than what it is guaranteed. */
  isInside(account: string): boolean;
  /** How far an account is above its due part; 1 is exactly its part. */
  overuse(account: string): number;
}

/** Steps between classes of victims: any number of one class is cheaper than one of the next. */
const CLASS_STEP = 1e15;

/** After this many evictions a job is spared while others will do. */
const SPARED_AFTER = 3;

/** Rank of a victim: 0 first, 3 last; Infinity never. */
function rank({ job, kind, inside }: RunningJob, rules: EvictionRules): number {
  const own = job.account === rules.account;
  if (inside && !own) return Infinity;
  const recoverable = kind.checkpointable || kind.idempotent;
  const isSpared = (job.evictions ?? 0) >= SPARED_AFTER;
  if (rules.purpose === 'home' && (!recoverable || isSpared)) return Infinity;
  if (rules.purpose === 'urgent' || rules.purpose === 'defragment') {
    if (!recoverable || kind.urgency === 'urgent') return Infinity;
    if (rules.purpose === 'defragment' && !kind.checkpointable) return Infinity;
    if (isSpared) return Infinity;
    return !own && rules.isInside(job.account) ? Infinity : 0;
  }
  if (!recoverable) return 4;
  if (!own && rules.isInside(job.account)) return 3;
  if (kind.urgency === 'urgent') return 2;
  return isSpared ? 1 : 0;
}

/** Accelerator-ms lost: the whole run without a checkpoint, else the time that taking one needs. */
function workLost(running: RunningJob, { now, checkpointLimitMs }: EvictionRules): number {
  const ran = ranMs(running, now);
  const lost = running.kind.checkpointable ? Math.min(ran, checkpointLimitMs) : ran;
  return (1 + lost) * Math.max(1, acceleratorsOf(running.members));
}

/** Cost function for one search of victims. */
export function evictionCost(rules: EvictionRules): EvictionCost {
  return (running) => {
    const place = rank(running, rules);
    if (place === Infinity) return Infinity;
    const again = 1 + 2 * (running.job.evictions ?? 0);
    const greed = Math.max(0.5, rules.overuse(running.job.account));
    return place * CLASS_STEP + (workLost(running, rules) * again) / greed;
  };
}
