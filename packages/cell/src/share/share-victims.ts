/** Chooses by fair shares whose runs may be stopped for a group. */
import type { RankedGroup } from '../owner/ranked-groups.js';
import type { RunningUnit } from '../owner/placement-types.js';
import type { AccountShares, ServiceShares } from './account-shares.js';

/**
 * Plans with the runs of accounts that use more than their fair share; where that gives no plan, with all of them. For an account
 * above its share, no run of another one that uses less than its fair share is considered. Guaranteed groups take what loses least,
 * as without shares.
 */
export function planByShares<Plan>(
  ranked: RankedGroup,
  victims: RunningUnit[],
  shares: AccountShares | undefined,
  plan: (allowed: RunningUnit[]) => Plan | undefined,
): Plan | undefined {
  const { pending, factors, isBeyondShare = false } = ranked;
  const ofService = shares?.of(pending.group.service);
  if (factors.claim || ofService === undefined || ofService.competitors < 2) return plan(victims);
  const { account } = pending.job.submission;
  if (isBeyondShare && ofService.isAboveShare(account)) {
    const isOwn = ({ job }: RunningUnit): boolean => job.submission.account === account;
    return plan(victims.filter((unit) => isOwn(unit) || usesMoreThanFair(unit, ofService)));
  }
  const above = victims.filter((unit) => usesMoreThanFair(unit, ofService));
  if (above.length === 0 || above.length === victims.length) return plan(victims);
  return plan(above) ?? plan(victims);
}

function usesMoreThanFair({ job }: RunningUnit, shares: ServiceShares): boolean {
  return shares.overuse(job.submission.account) > 1;
}
