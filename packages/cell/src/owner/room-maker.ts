/** Whose runs are stopped so that a group which found no room gets some. */
import { compareByUrgency, type UrgencyFactors } from '../placing/job-urgency.js';
import { planPreemption } from '../placing/preemption.js';
import type { CapacityLedger } from '../placing/capacity-ledger.js';
import type { Candidate } from './candidates.js';
import type { OwnedJob } from './owned-job.js';
import type { Occupant, PassInput, Stop } from './pass-input.js';
import { standingOf } from './standings.js';
import { withoutPlaced, type WantedGroup } from './wanted-groups.js';

/**
 * An urgent group outside a guarantee stops others' runs at once, but throws away at most this much, in accelerator-ms: nearly
 * what a job of mean size takes itself. Tasks that work alone get a part of their room for it.
 */
const PREEMPT_LOSS = 40_000;

/** It doesn't ask again before that, in ms: stops take effect meanwhile. */
const PREEMPT_PAUSE_MS = 1500;

/** Writing the start down, carrying it out and the looks between, in ms, beside what the bounds name. */
const RECLAIM_SLACK_MS = 900;

/** A claim stops others at once where they lose no more than this, in accelerator-ms: being late would cost it more. */
const CHEAP_LOSS = 15_000;

/** It counts as late, unless it gets its room now, from this share of its objective on. */
const LATE_FROM_SHARE = 0.9;

/** Makes room during one pass. */
export class RoomMaker {
  /** What it decided to stop so far. */
  readonly stops: Stop[] = [];

  readonly #input: PassInput;

  readonly #ledger: CapacityLedger;

  /** Standings of jobs whose runs may be stopped: each is worked out once, though many groups look at it. */
  readonly #standings = new Map<OwnedJob, UrgencyFactors>();

  constructor(input: PassInput, ledger: CapacityLedger) {
    this.#input = input;
    this.#ledger = ledger;
  }

  /** Stops others' runs for it, if it may. Answers what still lacks room then; undefined if all of it will come. */
  makeRoom({ wanted, standing }: Candidate): WantedGroup | undefined {
    if (!standing.claim && standing.priority > 0) return wanted;
    // Also while it may stop nobody: what was stopped for it goes one by one.
    const lacking = this.#promise(wanted);
    if (lacking === undefined) return undefined;
    if (!this.#input.knowsWorkers) return lacking;
    if (!standing.claim && !this.#mayStopOthers(wanted.job, standing)) return lacking;
    const victims = this.#victimsFor(standing, wanted.job);
    const mostLoss = standing.claim ? Infinity : PREEMPT_LOSS;
    const plan = planPreemption(lacking.group, this.#ledger.projected, victims, mostLoss);
    if (plan === undefined) return lacking;
    const isDear = standing.claim && plan.loss > CHEAP_LOSS;
    if (isDear && this.#canWait(wanted, standing)) return lacking;
    const chosen = victims.filter((occupant) => plan.victims.includes(occupant));
    chosen.forEach((occupant) => {
      this.stops.push({ occupant, forJob: wanted.job });
      this.#ledger.addStopping(occupant.members);
    });
    return this.#promise(lacking);
  }

  /** Keeps what will come for it; answers what is left without, undefined if nothing is. */
  #promise(wanted: WantedGroup): WantedGroup | undefined {
    return withoutPlaced(wanted, this.#ledger.reserve(wanted.group));
  }

  #mayStopOthers({ madeRoomAt }: OwnedJob, { ageMs, objectiveMs }: UrgencyFactors): boolean {
    return this.#input.now - madeRoomAt >= PREEMPT_PAUSE_MS && ageMs <= objectiveMs;
  }

  /** Room may come by itself before the claim has to be met. */
  #canWait(
    { readySince }: WantedGroup,
    { ageMs, remainingCriticalPathMs: leftChainMs, objectiveMs }: UrgencyFactors,
  ): boolean {
    const { reclaimMs, stopMs } = this.#input.bounds;
    const waitedMs = Math.max(ageMs, this.#input.now - readySince);
    if (waitedMs >= reclaimMs - stopMs - RECLAIM_SLACK_MS) return false;
    return ageMs + leftChainMs + stopMs < LATE_FROM_SHARE * objectiveMs;
  }

  /** Outside a guarantee only those that come after it: others would take the room at once. */
  #victimsFor(standing: UrgencyFactors, job: OwnedJob): Occupant[] {
    return this.#input.occupants.filter((occupant) => {
      if (occupant.isProtected || this.#isStopping(occupant) || occupant.job === job) return false;
      if (standing.claim) return true;
      if (occupant.job.terms.priority <= standing.priority) return false;
      return compareByUrgency(standing, this.#standingOf(occupant.job)) < 0;
    });
  }

  #standingOf(job: OwnedJob): UrgencyFactors {
    const known = this.#standings.get(job) ?? this.#workOutStanding(job);
    this.#standings.set(job, known);
    return known;
  }

  #workOutStanding(job: OwnedJob): UrgencyFactors {
    const { wallMs, means, durations, claims } = this.#input;
    const occurrence = job.progress.occurrences[0]?.index ?? 0;
    return standingOf(job, { claim: claims.has(job), wallMs, means, durations, occurrence });
  }

  #isStopping(occupant: Occupant): boolean {
    return occupant.stopping || this.stops.some((stop) => stop.occupant === occupant);
  }
}
