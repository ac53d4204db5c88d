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
  /** What stopping it loses; work that would have to be done again, in accelerator-milliseconds, unless a caller measures by value. */
  loss: number;
  /** What its job loses once, however many of its runs are stopped. */
  jobLoss?: JobLoss;
}

/** Loss of one job, in the unit of `Victim.loss`. */
export interface JobLoss {
  jobId: string;
  loss: number;
}

/** Runs to stop, and the work that they lose together. */
export interface PreemptionPlan {
  victims: Victim[];
  loss: number;
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
      rest.forEach((each) => releaseOn(trial, each));
      return tasksFitting(group, trial) > fittingBefore ? rest : kept;
    },
    [...stopped],
  );
}

function releaseOn(worker: AvailableWorker, { members }: Victim): void {
  members.filter(({ vm }) => vm === worker.vm).forEach(({ demand }) => worker.allocate(demand, -1));
}

/**
 * Chooses victims for one group step by step. What each worker's next victims are is kept until that worker changes, so that a plan
 * takes time in proportion to the runs and not to the runs times the tasks of the group.
 */
class VictimSearch {
  readonly chosen: Victim[] = [];

  loss = 0;

  readonly #group: TaskGroup;

  readonly #workers: ReadonlyMap<string, AvailableWorker>;

  readonly #victimsByVm = new Map<string, Victim[]>();

  readonly #nextByVm = new Map<string, PreemptionPlan | undefined>();

  readonly #chosenSet = new Set<Victim>();

  /** Jobs whose `jobLoss` is part of the loss so far. */
  readonly #lossyJobs = new Set<string>();

  #fitting: number;

  constructor(group: TaskGroup, workers: readonly AvailableWorker[], victims: readonly Victim[]) {
    this.#group = group;
    this.#workers = new Map(workers.map((worker) => [worker.vm, worker.copy()]));
    this.#fitting = totalTasksFitting(group, this.#workers.values());
    victims.forEach((victim) =>
      new Set(victim.members.map(({ vm }) => vm)).forEach((vm) => {
        const local = this.#victimsByVm.get(vm) ?? [];
        local.push(victim);
        this.#victimsByVm.set(vm, local);
      }),
    );
  }

  /** Tasks of the group that fit once the chosen victims have stopped. */
  get fitting(): number {
    return this.#fitting;
  }

  /** Victims on one worker, chosen for the least loss, that must stop so that at least one more task fits there. */
  cheapestNext(): PreemptionPlan | undefined {
    let best: PreemptionPlan | undefined;
    this.#workers.forEach((worker, vm) => {
      if (!this.#nextByVm.has(vm)) this.#nextByVm.set(vm, this.#nextOn(worker));
      const next = this.#nextByVm.get(vm);
      if (next !== undefined && (best === undefined || next.loss < best.loss)) best = next;
    });
    return best;
  }

  choose({ victims, loss }: PreemptionPlan): void {
    this.loss += loss;
    const jobsBefore = this.#lossyJobs.size;
    victims.forEach((victim) => {
      this.chosen.push(victim);
      this.#chosenSet.add(victim);
      if (victim.jobLoss !== undefined) this.#lossyJobs.add(victim.jobLoss.jobId);
      victim.members.forEach((member) => this.#release(member));
    });
    // Further victims of the same job have become cheaper, on whatever worker they are.
    if (this.#lossyJobs.size > jobsBefore) this.#nextByVm.clear();
  }

  #release({ vm, demand }: HeldCapacity): void {
    const worker = this.#workers.get(vm);
    if (worker === undefined) return;
    this.#fitting -= tasksFitting(this.#group, worker);
    worker.allocate(demand, -1);
    this.#fitting += tasksFitting(this.#group, worker);
    this.#nextByVm.delete(vm);
  }

  #nextOn(worker: AvailableWorker): PreemptionPlan | undefined {
    const local = (this.#victimsByVm.get(worker.vm) ?? [])
      .filter((victim) => !this.#chosenSet.has(victim))
      .sort((a, b) => this.#lossOf([a]) - this.#lossOf([b]));
    const fittingBefore = tasksFitting(this.#group, worker);
    const trial = worker.copy();
    const stopped: Victim[] = [];
    local.some((victim) => {
      stopped.push(victim);
      releaseOn(trial, victim);
      return tasksFitting(this.#group, trial) > fittingBefore;
    });
    if (tasksFitting(this.#group, trial) <= fittingBefore) return undefined;
    const victims = dropUnneeded(this.#group, worker, stopped, fittingBefore);
    return { victims, loss: this.#lossOf(victims) };
  }

  /** Loss of stopping these as well. */
  #lossOf(victims: readonly Victim[]): number {
    const counted = new Set(this.#lossyJobs);
    return victims.reduce((sum, { loss, jobLoss }) => {
      if (jobLoss === undefined || counted.has(jobLoss.jobId)) return sum + loss;
      counted.add(jobLoss.jobId);
      return sum + loss + jobLoss.loss;
    }, 0);
  }
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
  const search = new VictimSearch(group, workers, victims);
  while (search.fitting < group.indexes.length) {
    const next = search.cheapestNext();
    if (next === undefined || search.loss + next.loss > maxLoss) {
      const isPartialPlanUseful = !group.gang && maxLoss < Infinity && search.chosen.length > 0;
      return isPartialPlanUseful ? { victims: search.chosen, loss: search.loss } : undefined;
    }
    search.choose(next);
  }
  return { victims: search.chosen, loss: search.loss };
}
