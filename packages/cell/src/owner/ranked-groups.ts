/** Ranks the pending groups of all jobs, the most urgent first. */
import { compareByUrgency, type UrgencyFactors } from '../placing/job-urgency.js';
import { isServiceBusy, type AvailableWorker } from '../placing/available-worker.js';
import { orderByShares } from '../share/share-order.js';
import type { PlacementInput } from './placement-types.js';
import { expectedDurations, urgencyFactorsOf } from './urgency-factors.js';
import { pendingGroups, type PendingGroup } from './pending-groups.js';

/** A pending group with the inputs that decide its rank. */
export interface RankedGroup {
  pending: PendingGroup;
  factors: UrgencyFactors;
  /** Starting it takes its account beyond its share, while accounts compete. */
  isBeyondShare?: boolean;
}

/** Pending groups of all jobs in placement order. */
export function rankPendingGroups(input: PlacementInput): RankedGroup[] {
  const { jobs, guaranteedJobs, evacuatedRacks, profile, queueMeans, durations, now, wallMs } =
    input;
  const busy = busyServices(input.workers);
  const ranked = jobs
    .flatMap((job) =>
      pendingGroups(job, now, {
        isBusy: busy.has(job.terms.service),
        isGuaranteed: guaranteedJobs.has(job),
        evacuatedRacks,
        expectedMs: expectedDurations(job, durations),
      }),
    )
    .map((pending) => ({
      pending,
      factors: urgencyFactorsOf(pending.job, {
        isGuaranteed: guaranteedJobs.has(pending.job),
        wallMs,
        profile,
        queueMeans,
        durations,
        occurrence: pending.group.occurrence,
      }),
    }))
    .sort((a, b) => compareByUrgency(a.factors, b.factors));
  const { shares, workers } = input;
  return shares === undefined ? ranked : orderByShares(ranked, { shares, workers });
}

function busyServices(workers: readonly AvailableWorker[]): Set<string> {
  const services = [...new Set(workers.map(({ service }) => service))];
  return new Set(services.filter((service) => isServiceBusy(service, workers)));
}
