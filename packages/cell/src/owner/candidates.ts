/** All groups that wait, the most urgent first. */
import { compareByUrgency, type UrgencyFactors } from '../placing/job-urgency.js';
import type { AvailableWorker } from '../placing/available-worker.js';
import type { PassInput } from './pass-input.js';
import { durationsOf, standingOf } from './standings.js';
import { wantedGroups, type WantedGroup } from './wanted-groups.js';

/** A group and where its job stands. */
export interface Candidate {
  wanted: WantedGroup;
  standing: UrgencyFactors;
}

/** Groups of all jobs in the order in which they are placed. */
export function candidates(input: PassInput): Candidate[] {
  const { jobs, claims, evacuatedRacks, means, durations, now, wallMs } = input;
  const busy = busyServices(input.rooms);
  return jobs
    .flatMap((job) =>
      wantedGroups(job, now, {
        isBusy: busy.has(job.terms.service),
        claim: claims.has(job),
        evacuatedRacks,
        expectedMs: durationsOf(job, durations),
      }),
    )
    .map((wanted) => ({
      wanted,
      standing: standingOf(wanted.job, {
        claim: claims.has(wanted.job),
        wallMs,
        means,
        durations,
        occurrence: wanted.group.occurrence,
      }),
    }))
    .sort((a, b) => compareByUrgency(a.standing, b.standing));
}

/** Services of whose accelerators half or more are in use. */
function busyServices(rooms: readonly AvailableWorker[]): Set<string> {
  const services = [...new Set(rooms.map(({ service }) => service))];
  const isBusy = (service: string): boolean => {
    const own = rooms.filter((room) => room.service === service);
    const free = own.reduce((sum, room) => sum + room.free.accelerators, 0);
    const capacity = own.reduce((sum, room) => sum + room.capacity.accelerators, 0);
    return free * 2 <= capacity;
  };
  return new Set(services.filter(isBusy));
}
