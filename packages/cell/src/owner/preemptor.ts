/** Chooses running units to preempt for a group that did not fit. */
import { compareByUrgency, type UrgencyFactors } from '../placing/job-urgency.js';
import { planPreemption } from '../placing/preemption.js';
import type { CapacityLedger } from '../placing/capacity-ledger.js';
import { planByShares } from '../share/share-victims.js';
import type { RankedGroup } from './ranked-groups.js';
import type { OwnedJob } from './owned-job.js';
import type { RunningUnit, PlacementInput, Preemption } from './placement-types.js';
import { urgencyFactorsOf } from './urgency-factors.js';
import { withoutPlaced, type PendingGroup } from './pending-groups.js';

/**
 * Most work that an urgent group outside a guarantee may destroy by preemption: nearly what a job of mean size
 * takes itself. Tasks that are not a gang get as much of their capacity as this allows.
 */
const MAX_PREEMPTION_LOSS_ACCELERATOR_MS = 40_000;

/** Such a job doesn't preempt again before this has passed: earlier stops take effect meanwhile. */
const PREEMPTION_INTERVAL_MS = 1500;

/** Time to store and carry out a start, with the passes in between, in addition to `ReclaimBounds`. */
const RECLAIM_OVERHEAD_MS = 900;

/** A guaranteed job preempts at once where no more than this is lost: being late would cost it more. */
const CHEAP_LOSS_ACCELERATOR_MS = 15_000;

/** A guaranteed job waits for free capacity only while it is expected to finish within this share of its objective. */
const MAX_WAIT_SHARE = 0.9;

/** Plans the preemptions of one pass. */
export class Preemptor {
  /** Preemptions planned so far. */
  readonly preemptions: Preemption[] = [];

  readonly #input: PlacementInput;

  readonly #ledger: CapacityLedger;

  /** Cached urgency factors of jobs whose runs may be preempted, as many groups need them. */
  readonly #factorsByJob = new Map<OwnedJob, UrgencyFactors>();

  constructor(input: PlacementInput, ledger: CapacityLedger) {
    this.#input = input;
    this.#ledger = ledger;
  }

  /** Preempts others for the group if allowed. Returns the tasks that still lack capacity; undefined if all will get it. */
  preemptFor(ranked: RankedGroup): PendingGroup | undefined {
    const { pending, factors } = ranked;
    if (!factors.claim && factors.priority > 0) return pending;
    // Needed even while it may not preempt: the runs stopped for it earlier end one by one.
    const unplaced = this.#reserveProjected(pending);
    if (unplaced === undefined) return undefined;
    if (!this.#input.allWorkersKnown) return unplaced;
    if (!factors.claim && !this.#mayPreempt(pending.job, factors)) return unplaced;
    const victims = this.#victimsFor(factors, pending.job);
    const maxLoss = factors.claim ? Infinity : MAX_PREEMPTION_LOSS_ACCELERATOR_MS;
    const plan = planByShares(ranked, victims, this.#input.shares, (allowed) =>
      planPreemption(unplaced.group, this.#ledger.projected, allowed, maxLoss),
    );
    if (plan === undefined) return unplaced;
    const isCostly = factors.claim && plan.loss > CHEAP_LOSS_ACCELERATOR_MS;
    if (isCostly && this.#canWait(pending, factors)) return unplaced;
    const chosen = victims.filter((unit) => plan.victims.includes(unit));
    chosen.forEach((unit) => {
      this.preemptions.push({ unit, forJob: pending.job });
      this.#ledger.addStopping(unit.members);
    });
    return this.#reserveProjected(unplaced);
  }

  /** Reserves capacity that is becoming free; returns the tasks left without, undefined if none are. */
  #reserveProjected(pending: PendingGroup): PendingGroup | undefined {
    return withoutPlaced(pending, this.#ledger.reserve(pending.group));
  }

  #mayPreempt({ lastPreemptionAt }: OwnedJob, { ageMs, objectiveMs }: UrgencyFactors): boolean {
    return this.#input.now - lastPreemptionAt >= PREEMPTION_INTERVAL_MS && ageMs <= objectiveMs;
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
