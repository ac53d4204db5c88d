/** Chooses running units to preempt for a group that did not fit. */
import { compareByUrgency, type UrgencyFactors } from '../placing/job-urgency.js';
import { planPreemption } from '../placing/preemption.js';
import type { CapacityLedger } from '../placing/capacity-ledger.js';
import { planByShares } from '../share/share-victims.js';
import type { RankedGroup } from './ranked-groups.js';
import type { OwnedJob } from './owned-job.js';
import type { RunningUnit, PlacementInput, Preemption, WeighedStop } from './placement-types.js';
import { urgencyFactorsOf } from './urgency-factors.js';
import { ValuedStops } from './valued-stops.js';
import { withoutPlaced, type PendingGroup } from './pending-groups.js';

/**
 * Where stops aren't weighed by value: most work that an urgent group outside a guarantee may destroy by preemption: nearly what a job of mean size
 * takes itself. Tasks that are not a gang get as much of their capacity as this allows.
 */
const MAX_PREEMPTION_LOSS_ACCELERATOR_MS = 40_000;

/** Such a job doesn't preempt again before this has passed: earlier stops take effect meanwhile. */
const PREEMPTION_INTERVAL_MS = 1500;

/** Time to store and carry out a start, with the passes in between, in addition to `ReclaimBounds`. */
const RECLAIM_OVERHEAD_MS = 900;

/** Where stops aren't weighed by value: a guaranteed job preempts at once where no more than this is lost: being late would cost it more. */
const CHEAP_LOSS_ACCELERATOR_MS = 15_000;

/** A guaranteed job waits for free capacity only while it is expected to finish within this share of its objective. */
const MAX_WAIT_SHARE = 0.9;

/** Plans the preemptions of one pass. */
export class Preemptor {
  /** Preemptions planned so far. */
  readonly preemptions: Preemption[] = [];

  readonly #input: PlacementInput;

  readonly #ledger: CapacityLedger;

  /** Undefined if stops are bounded by constants. */
  readonly #valuedStops: ValuedStops | undefined;

  /** Cached urgency factors of jobs whose runs may be preempted, as many groups need them. */
  readonly #factorsByJob = new Map<OwnedJob, UrgencyFactors>();

  constructor(input: PlacementInput, ledger: CapacityLedger) {
    this.#input = input;
    this.#ledger = ledger;
    const { stopRecords: records } = input;
    const factorsOf = (job: OwnedJob): UrgencyFactors => this.#factorsOf(job);
    this.#valuedStops = records && new ValuedStops({ input, records, ledger, factorsOf });
  }

  /** Stops weighed by value so far. */
  get weighedStops(): readonly WeighedStop[] {
    return this.#valuedStops?.weighed ?? [];
  }

  /** Preempts others for the group if allowed. Returns the tasks that still lack capacity; undefined if all will get it. */
  preemptFor(ranked: RankedGroup): PendingGroup | undefined {
    const { pending, factors } = ranked;
    if (!factors.claim && factors.priority > 0) return pending;
    this.#valuedStops?.expectEnds();
    // Needed even while it may not preempt: the runs stopped for it earlier end one by one.
    const unplaced = this.#reserveProjected(pending);
    if (unplaced === undefined) return undefined;
    const rest = this.#preemptForUnplaced({ ...ranked, pending: unplaced });
    if (rest !== undefined) this.#withholdHeldRoom(rest);
    return rest;
  }

  #preemptForUnplaced(ranked: RankedGroup): PendingGroup | undefined {
    const { pending, factors } = ranked;
    if (!this.#input.allWorkersKnown) return pending;
    if (!factors.claim && !this.#mayPreempt(pending.job, factors)) return pending;
    const victims = this.#victimsFor(factors, pending.job);
    if (this.#valuedStops !== undefined) {
      return this.#stopByValue(ranked, victims, this.#valuedStops);
    }
    const maxLoss = factors.claim ? Infinity : MAX_PREEMPTION_LOSS_ACCELERATOR_MS;
    const plan = planByShares(ranked, victims, this.#input.shares, (allowed) =>
      planPreemption(pending.group, this.#ledger.projected, allowed, maxLoss),
    );
    if (plan === undefined) return pending;
    const isCostly = factors.claim && plan.loss > CHEAP_LOSS_ACCELERATOR_MS;
    if (isCostly && this.#canWait(pending, factors)) return pending;
    this.#stop(
      victims.filter((unit) => plan.victims.includes(unit)),
      pending.job,
    );
    return this.#reserveProjected(pending);
  }

  #stopByValue(
    ranked: RankedGroup,
    victims: readonly RunningUnit[],
    valuedStops: ValuedStops,
  ): PendingGroup | undefined {
    const { pending, factors } = ranked;
    const canWait = factors.claim && this.#canWait(pending, factors);
    const stop = valuedStops.choose(ranked, victims, canWait);
    if (stop === undefined) return pending;
    this.#stop(stop.units, pending.job);
    const { demand } = pending.group;
    const placements = this.#ledger.reserve(pending.group);
    const held = placements.map(({ vm }) => ({ vm, demand }));
    valuedStops.noteMade(pending, stop, held);
    return withoutPlaced(pending, placements);
  }

  #stop(units: readonly RunningUnit[], forJob: OwnedJob): void {
    units.forEach((unit) => {
      this.preemptions.push({ unit, forJob });
      this.#ledger.addStopping(unit.members);
    });
  }

  /** What stops have freed for a group that can't start yet goes to no other group, although the group lacks more. */
  #withholdHeldRoom({ group }: PendingGroup): void {
    const { stopRecords, now } = this.#input;
    if (stopRecords !== undefined) this.#ledger.withhold(stopRecords.heldRoom.heldFor(group, now));
  }

  /** Reserves capacity that is becoming free; returns the tasks left without, undefined if none are. */
  #reserveProjected(pending: PendingGroup): PendingGroup | undefined {
    return withoutPlaced(pending, this.#ledger.reserve(pending.group));
  }

  #mayPreempt({ lastPreemptionAt }: OwnedJob, { ageMs, objectiveMs }: UrgencyFactors): boolean {
    if (this.#input.now - lastPreemptionAt < PREEMPTION_INTERVAL_MS) return false;
    return this.#valuedStops !== undefined || ageMs <= objectiveMs;
  }

  /** Capacity may become free by itself before the guaranteed job has to start. */
  #canWait(
    { readySince }: PendingGroup,
    { ageMs, remainingCriticalPathMs, objectiveMs }: UrgencyFactors,
  ): boolean {
    const { reclaimMs, stopMs } = this.#input.bounds;
    const waitedMs = Math.max(ageMs, this.#input.now - readySince);
    if (waitedMs >= reclaimMs - stopMs - RECLAIM_OVERHEAD_MS) return false;
    return ageMs + remainingCriticalPathMs + stopMs < MAX_WAIT_SHARE * objectiveMs;
  }

  /** A job outside a guarantee preempts only what ranks below it: anything else would take the capacity back at once. */
  #victimsFor(factors: UrgencyFactors, job: OwnedJob): RunningUnit[] {
    return this.#input.runningUnits.filter((unit) => {
      if (unit.isProtected || this.#isStopping(unit) || unit.job === job) return false;
      if (factors.claim) return true;
      if (unit.job.terms.priority <= factors.priority) return false;
      return compareByUrgency(factors, this.#factorsOf(unit.job)) < 0;
    });
  }

  #factorsOf(job: OwnedJob): UrgencyFactors {
    const cached = this.#factorsByJob.get(job) ?? this.#computeFactors(job);
    this.#factorsByJob.set(job, cached);
    return cached;
  }

  #computeFactors(job: OwnedJob): UrgencyFactors {
    const { wallMs, profile, queueMeans, durations, guaranteedJobs } = this.#input;
    const occurrence = job.progress.occurrences[0]?.index ?? 0;
    return urgencyFactorsOf(job, {
      isGuaranteed: guaranteedJobs.has(job),
      wallMs,
      profile,
      queueMeans,
      durations,
      occurrence,
    });
  }

  #isStopping(unit: RunningUnit): boolean {
    return unit.stopping || this.preemptions.some((preemption) => preemption.unit === unit);
  }
}
