/** How client accounts are served: pooled over all days, and loads in which one account sends more than the others. */
import type { DayResult } from './simulated-cell.js';

const OTHERS = 9;

const HEAVY = 'heavy';

/** Ten accounts of which one sends `weight` times as many jobs as each of the others; none of them heavy if 0. */
export function withHeavyAccount(weight: number): string[] {
  const others = Array.from({ length: OTHERS }, (_, index) => `account-${index + 1}`);
  return [...others, ...Array.from({ length: weight }, () => HEAVY)];
}

/** Shares in their objectives. */
export interface AccountFigures {
  heavy: number;
  worst: number;
  others: number;
  /** Of the urgent jobs of the accounts that aren't heavy. */
  urgentOfOthers: number;
}

/** Figures over the jobs of all days together; 1 where there are no jobs. */
export function accountFigures(results: readonly DayResult[]): AccountFigures {
  const jobs = results.flatMap((day) => day.jobs);
  const share = (own: typeof jobs): number => {
    const inTime = own.filter(({ job, tookMs }) => (tookMs ?? Infinity) <= job.objectiveMs);
    return own.length === 0 ? 1 : inTime.length / own.length;
  };
  const accountOf = ({ job }: (typeof jobs)[number]): string => job.submission.account;
  const others = jobs.filter((job) => accountOf(job) !== HEAVY);
  const names = [...new Set(others.map(accountOf))];
  return {
    heavy: share(jobs.filter((job) => accountOf(job) === HEAVY)),
    worst: Math.min(
      1,
      ...names.map((name) => share(others.filter((job) => accountOf(job) === name))),
    ),
    others: share(others),
    urgentOfOthers: share(others.filter(({ job }) => job.kind.priority === 0)),
  };
}
