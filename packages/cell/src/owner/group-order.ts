/** Order of the groups of a pass where stops are weighed by value: it protects what stops free, and who has to wait for it. */
import { LATE_LIMIT_OBJECTIVES, type UrgencyFactors } from '../placing/job-urgency.js';
import type { PlacementInput } from './placement-types.js';
import type { RankedGroup } from './ranked-groups.js';
import type { PendingGroup } from './pending-groups.js';

/** A gang that has failed this often by its own fault waits behind first tries of the same priority. */
const MAX_FAILURES_IN_RANK = 1;

/** Failed runs of a gang by its members' own fault; 0 for other groups. */
export function gangFailures({ job, group }: PendingGroup): number {
  if (!group.gang) return 0;
  return job.progress.findStep(group)?.failures ?? 0;
}

/**
 * Claims first, then groups for which stops free capacity, the earliest stop first: otherwise a group of higher rank would take that
 * capacity, and others would be stopped for the same group again. Gangs that failed twice go behind first tries of their priority.
 */
export function orderForStops(
  ranked: readonly RankedGroup[],
  { stopRecords, now }: PlacementInput,
): readonly RankedGroup[] {
  if (stopRecords === undefined) return ranked;
  const { heldRoom } = stopRecords;
  const claims = ranked.filter(({ factors }) => factors.claim);
  const others = ranked.filter(({ factors }) => !factors.claim);
  const sinceOf = ({ pending }: RankedGroup): number | undefined =>
    heldRoom.heldSince(pending.group, now);
  const holders = others
    .filter((each) => sinceOf(each) !== undefined)
    .sort((a, b) => (sinceOf(a) ?? 0) - (sinceOf(b) ?? 0));
  const rest = others.filter((each) => sinceOf(each) === undefined);
  return [...claims, ...holders, ...repeatedFailuresLast(rest)];
}

/** Moves such gangs behind the last first try of the same priority that can still be of use. */
function repeatedFailuresLast(ranked: readonly RankedGroup[]): readonly RankedGroup[] {
  const isRepeated = ({ pending }: RankedGroup): boolean =>
    gangFailures(pending) > MAX_FAILURES_IN_RANK;
  if (!ranked.some(isRepeated)) return ranked;
  const lastFirstTry = new Map<number, number>();
  ranked.forEach(({ pending, factors }, index) => {
    const isFirstTry = gangFailures(pending) === 0 && isUseful(factors);
    if (isFirstTry) lastFirstTry.set(factors.priority, index);
  });
  return ranked
    .map((each, index) => {
      const last = isRepeated(each) ? (lastFirstTry.get(each.factors.priority) ?? -1) : -1;
      // Between the last first try and the group after it.
      return { each, place: last > index ? last + 0.5 : index };
    })
    .sort((a, b) => a.place - b.place)
    .map(({ each }) => each);
}

function isUseful({ ageMs, remainingCriticalPathMs, objectiveMs }: UrgencyFactors): boolean {
  return ageMs + remainingCriticalPathMs <= LATE_LIMIT_OBJECTIVES * objectiveMs;
}
