/** Decides stops by value: what the group gains by starting now, against what the stopped jobs lose. One instance per pass. */
import { isServiceBusy } from '../placing/available-worker.js';
import type { CapacityLedger } from '../placing/capacity-ledger.js';
import type { UrgencyFactors } from '../placing/job-urgency.js';
import { planPreemption, type PreemptionPlan } from '../placing/preemption.js';
import { gainOfStop } from '../placing/stop-value.js';
import { gangFailures } from './group-order.js';
import type { OwnedJob } from './owned-job.js';
import type { PendingGroup } from './pending-groups.js';
import type { PlacementInput, RunningUnit, WeighedStop } from './placement-types.js';
import type { RankedGroup } from './ranked-groups.js';
import { StopCosts } from './stop-costs.js';
import type { StopRecords } from './stop-records.js';
import { expectedDurations } from './urgency-factors.js';

/** A smaller gain isn't weighed: it is a hundredth of the value of a job of mean size and the lowest priority. */
const MIN_GAIN = 0.01;

/**
 * A group that stops nothing and is expected to fit within this time, in ms, keeps what is free of that room: smaller groups would
 * take it meanwhile. Longer waits would leave too much idle.
 */
const MAX_AWAITED_MS = 1000;

/** A stop to be made. */
export interface ChosenStop {
  units: RunningUnit[];
  gain: number;
  cost: number;
  waitMs: number;
}

interface Weighing {
  victims: readonly RunningUnit[];
  costs: StopCosts;
  waitMs: number;
  canWait: boolean;
}

/** State of a pass. */
export interface ValuedStopsOptions {
  input: PlacementInput;
  records: StopRecords;
  ledger: CapacityLedger;
  factorsOf: (job: OwnedJob) => UrgencyFactors;
}

/** Stops weighed in one pass. */
export class ValuedStops {
  /** Stops that were made or declined. */
  readonly weighed: WeighedStop[] = [];

  readonly #input: PlacementInput;

  readonly #records: StopRecords;

  readonly #ledger: CapacityLedger;

  readonly #factorsOf: (job: OwnedJob) => UrgencyFactors;

  #costs: StopCosts | undefined;

  constructor({ input, records, ledger, factorsOf }: ValuedStopsOptions) {
    this.#input = input;
    this.#records = records;
    this.#ledger = ledger;
    this.#factorsOf = factorsOf;
  }

  /** Counts what ends within the time of a stop as becoming free. Called before anything is reserved for a group. */
  expectEnds(): void {
    if (this.#costs !== undefined) return;
    this.#costs = new StopCosts(this.#input, this.#factorsOf);
    this.#ledger.addStopping([...this.#costs.endingSoon].flatMap(({ members }) => members));
  }

  /**
   * Units to stop for the group, of `victims`; undefined if stopping isn't possible or isn't worth it. `canWait`: a guaranteed job
   * need not start yet.
   */
  choose(
    ranked: RankedGroup,
    victims: readonly RunningUnit[],
    canWait: boolean,
  ): ChosenStop | undefined {
    const { pending, factors } = ranked;
    const costs = this.#costs;
    if (costs === undefined || (!factors.claim && gangFailures(pending) > 0)) return undefined;
    const { waitMs, members } = costs.forecast.roomFor(
      pending.group,
      this.#ledger.projected,
      expectedDurations(pending.job, this.#input.durations)(pending.step),
    );
    const stop = this.#weigh(ranked, { victims, costs, waitMs, canWait });
    // On a service that isn't busy, nothing that could start waits.
    const keepsRoom =
      waitMs <= MAX_AWAITED_MS && isServiceBusy(pending.group.service, this.#input.workers);
    if (stop === undefined && keepsRoom) this.#ledger.withhold(members);
    return stop;
  }

  /** Records a stop that is made, with the capacity that the group gets by it. */
  noteMade(pending: PendingGroup, stop: ChosenStop, held: WeighedStop['held']): void {
    this.#note(pending, stop, { isMade: true, held });
  }

  #weigh(
    { pending, factors }: RankedGroup,
    { victims, costs, waitMs, canWait }: Weighing,
  ): ChosenStop | undefined {
    const gain = gainOfStop(factors, { stopMs: this.#input.bounds.stopMs, waitMs });
    const mayDecline = !factors.claim || canWait;
    if (mayDecline && gain < MIN_GAIN) return undefined;
    const plan = this.#plan(pending, factors, victims, costs);
    if (plan === undefined) return undefined;
    const units = victims.filter((unit) => plan.victims.includes(costs.priced(unit)));
    const stop = { units, gain, cost: plan.loss, waitMs };
    if (plan.loss < gain || !mayDecline) return stop;
    this.#note(pending, stop, { isMade: false, held: [] });
    return undefined;
  }

  #plan(
    pending: PendingGroup,
    { claim }: UrgencyFactors,
    victims: readonly RunningUnit[],
    costs: StopCosts,
  ): PreemptionPlan | undefined {
    const { now } = this.#input;
    const stoppable = victims.filter((unit) => !costs.endingSoon.has(unit));
    const unspared = stoppable.filter((unit) => !this.#records.wasStoppedRecently(unit, now));
    const planOf = (units: readonly RunningUnit[]): PreemptionPlan | undefined =>
      planPreemption(
        pending.group,
        this.#ledger.projected,
        units.map((unit) => costs.priced(unit)),
      );
    // A guaranteed job has to start, whatever was stopped before.
    return planOf(unspared) ?? (claim ? planOf(stoppable) : undefined);
  }

  #note(
    pending: PendingGroup,
    { units, gain, cost, waitMs }: ChosenStop,
    { isMade, held }: Pick<WeighedStop, 'isMade' | 'held'>,
  ): void {
    const victims = units.map((unit) => this.#costs?.priced(unit) ?? unit);
    this.weighed.push({ pending, isMade, gain, cost, waitMs, victims, held });
  }
}
