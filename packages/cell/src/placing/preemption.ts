/**
 * Preemption: chooses the runs to stop so that a group gets capacity, for example when a client account claims its guarantee
 * while others use the accelerators. The victims are those that lose the least work.
 */
import {
  groupByRack,
  isEligible,
  tasksFitting,
  totalTasksFitting,
  type TaskGroup,
  type AvailableWorker,
} from './available-worker.js';
import type { HeldCapacity } from './capacity-ledger.js';

/** Runs that are stopped together: a single run, or all members of a gang. */
export interface Victim {
  key: string;
  members: readonly HeldCapacity[];
  /** Accelerator-milliseconds of work that would have to be done again. */
  loss: number;
}

/** Runs to stop, and the work that they lose together. */
export interface PreemptionPlan {
  victims: Victim[];
  loss: number;
}

/**
 * The cheapest victims whose capacity takes the whole group; undefined if there are none. With a bound on their loss, a group
 * that isn't a gang gets capacity for as many of its tasks as the bound allows.
 */
export function planPreemption(
  group: TaskGroup,
  workers: readonly AvailableWorker[],
  victims: readonly Victim[],
  maxLoss = Infinity,
): PreemptionPlan | undefined {
  const eligible = workers.filter((worker) => isEligible(group, worker));
  const candidateSets = group.gang && group.oneRack ? groupByRack(eligible) : [eligible];
  return candidateSets
    .map((candidates) => planOnWorkers(group, candidates, victims, maxLoss))
    .filter((plan) => plan !== undefined)
    .sort((a, b) => a.loss - b.loss)[0];
}

function planOnWorkers(
  group: TaskGroup,
  workers: readonly AvailableWorker[],
  victims: readonly Victim[],
  maxLoss: number,
): PreemptionPlan | undefined {
  const workersByVm = new Map(workers.map((worker) => [worker.vm, worker.copy()]));
  const chosen: Victim[] = [];
  let loss = 0;
  while (totalTasksFitting(group, workersByVm.values()) < group.indexes.length) {
    const nextVictims = cheapestNextVictims(group, workersByVm, victims, chosen);
    const nextLoss = totalLoss(nextVictims ?? []);
    if (nextVictims === undefined || loss + nextLoss > maxLoss) {
      const isPartialPlanUseful = !group.gang && maxLoss < Infinity && chosen.length > 0;
      return isPartialPlanUseful ? { victims: chosen, loss } : undefined;
    }
    nextVictims.forEach((victim) => releaseCapacity(workersByVm, victim));
    chosen.push(...nextVictims);
    loss += nextLoss;
  }
  return { victims: chosen, loss };
}

function totalLoss(victims: readonly Victim[]): number {
  return victims.reduce((sum, { loss }) => sum + loss, 0);
}

/** Victims on one worker, chosen for the least loss, that must stop so that at least one more task fits there. */
function cheapestNextVictims(
  group: TaskGroup,
  workersByVm: ReadonlyMap<string, AvailableWorker>,
  victims: readonly Victim[],
  chosen: readonly Victim[],
): Victim[] | undefined {
  let best: { victims: Victim[]; loss: number } | undefined;
  workersByVm.forEach((worker, vm) => {
    const localVictims = victims
      .filter((victim) => !chosen.includes(victim))
      .filter(({ members }) => members.some((member) => member.vm === vm))
      .sort((a, b) => a.loss - b.loss);
    const fittingBefore = tasksFitting(group, worker);
    const trial = worker.copy();
    const stopped: Victim[] = [];
    localVictims.some((victim) => {
      stopped.push(victim);
      victim.members
        .filter((member) => member.vm === vm)
        .forEach(({ demand }) => trial.allocate(demand, -1));
      return tasksFitting(group, trial) > fittingBefore;
    });
    if (tasksFitting(group, trial) <= fittingBefore) return;
    const needed = dropUnneeded(group, worker, stopped, fittingBefore);
    const loss = totalLoss(needed);
    if (best === undefined || loss < best.loss) best = { victims: needed, loss };
  });
  return best?.victims;
}

/** Removes victims whose capacity turns out not to be needed, the costliest first. */
function dropUnneeded(
  group: TaskGroup,
  worker: AvailableWorker,
  stopped: readonly Victim[],
  fittingBefore: number,
): Victim[] {
  return [...stopped].reverse().reduce(
    (kept, victim) => {
      const rest = kept.filter((each) => each !== victim);
      const trial = worker.copy();
      rest.forEach(({ members }) =>
        members
          .filter(({ vm }) => vm === worker.vm)
          .forEach(({ demand }) => trial.allocate(demand, -1)),
      );
      return tasksFitting(group, trial) > fittingBefore ? rest : kept;
    },
    [...stopped],
  );
}

function releaseCapacity(
  workersByVm: ReadonlyMap<string, AvailableWorker>,
  { members }: Victim,
): void {
  members.forEach(({ vm, demand }) => {
    const worker = workersByVm.get(vm);
    worker?.allocate(demand, -1);
  });
}
