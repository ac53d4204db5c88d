/** One look over all that waits: what starts where, and whose runs are stopped for it. Decides; changes nothing. */
import type { AdviceBook } from '../advice/advice-book.js';
import type { AdviceQuestion } from '../advice/advice-desk.js';
import { GroupAdvice } from './advised.js';
import type { OwnedJob } from './owned-job.js';
import { durationsOf, standingOf, type QueueMeans } from './standings.js';
import { wantedGroups, type WantedGroup } from './wanted-groups.js';
import { placeGroup } from '../placing/fit.js';
import type { DurationBook } from '../placing/duration-book.js';
import { byUrgency, urgencyOf, type Standing } from '../placing/order.js';
import { planRoom, type Victim } from '../placing/reclaim.js';
import type { Assignment } from '../worker/worker.js';
import { RoomLedger } from '../placing/room-ledger.js';
import { fits, isEligible, type Group, type Placed, type Room } from '../placing/room.js';

/** Runs that may be stopped for somebody else, with what is needed to choose among them. */
export interface Occupant extends Victim {
  job: OwnedJob;
  assignments: readonly Assignment[];
  /** Its stop was ordered: its room will come. */
  stopping: boolean;
  /** Within its account's guarantee: never stopped for others. */
  isProtected: boolean;
}

/** What a pass sees. */
export interface PassInput {
  jobs: readonly OwnedJob[];
  claims: ReadonlySet<OwnedJob>;
  rooms: readonly Room[];
  /** Nothing starts on these for now. */
  evacuatedRacks: ReadonlySet<string>;
  occupants: readonly Occupant[];
  means: QueueMeans;
  durations: DurationBook;
  bounds: ReclaimBounds;
  /** Monotonic, in ms. */
  now: number;
  /** Time of day, in ms. */
  wallMs: number;
  advice: AdviceBook;
  /** All workers that will be heard of have been: nobody is stopped for room that another worker may have. */
  knowsWorkers: boolean;
}

/** A group that is to start. */
export interface Start {
  wanted: WantedGroup;
  placed: Placed[];
}

/** What a pass decided. */
export interface PassResult {
  starts: Start[];
  /** Occupants to be stopped, each with the job that it makes room for. */
  stops: { occupant: Occupant; forJob: OwnedJob }[];
  /** What the placement advisor is to be asked, the most urgent first. */
  questions: AdviceQuestion[];
}

/** Groups that found no room and for which room is kept: beyond these, keeping it would leave too much idle. */
const MOST_RESERVATIONS = 2;

/**
 * An urgent group outside a guarantee stops others' runs at once, but throws away at most this much, in accelerator-ms:
 * nearly what a job of mean size takes itself. Of 15, 40, 60 and 120 accelerator-seconds, `bench:cell` met the objectives of 0.929,
 * 0.942, 0.951 and 0.956 of the urgent jobs and of 0.90 of the large ones with each, and threw away 8, 21, 34 and 55
 * accelerator-seconds a day (20 days of 8 scenarios and 3 loads); on the platform more than 40 cost as much as it gained.
 * Tasks that work alone get a part of their room for it.
 */
const PREEMPT_LOSS = 40_000;

/** It doesn't ask again before that, in ms: stops take effect meanwhile. */
const PREEMPT_PAUSE_MS = 1500;

/** Bounds within which claims are met, in ms. */
export interface ReclaimBounds {
  /** From a job's acceptance to the start of its first step. */
  reclaimMs: number;
  /** A runner takes up to this long to stop a run. */
  stopMs: number;
}

/** Writing the start down, carrying it out and the looks between, in ms, beside what the bounds name. */
const RECLAIM_SLACK_MS = 900;

/** A claim stops others at once where they lose no more than this, in accelerator-ms: being late would cost it more. */
const CHEAP_LOSS = 15_000;

/** And where waiting for room would make it late. */
const LATE_SHARE = 0.9;

interface Candidate {
  wanted: WantedGroup;
  standing: Standing;
}

function candidates(input: PassInput): Candidate[] {
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
    .sort((a, b) => byUrgency(a.standing, b.standing));
}

class Pass {
  readonly result: PassResult = { starts: [], stops: [], questions: [] };

  readonly #input: PassInput;

  readonly #ledger: RoomLedger;

  /** Standings of jobs whose runs may be stopped: each is worked out once, though many groups look at it. */
  readonly #standings = new Map<OwnedJob, Standing>();

  #reservations = 0;

  constructor(input: PassInput) {
    this.#input = input;
    const stopping = input.occupants.filter((occupant) => occupant.stopping);
    this.#ledger = new RoomLedger(
      input.rooms,
      stopping.flatMap(({ members }) => members),
    );
  }

  place(candidate: Candidate): void {
    if (candidate.wanted.job.terms.needsAdvice) this.#placeAdvised(candidate);
    else this.#makeRoomForRest(candidate, this.#start(candidate.wanted));
  }

  /** Starts what fits; answers what doesn't, undefined if all did. */
  #start(wanted: WantedGroup): WantedGroup | undefined {
    const placed = this.#ledger.place(wanted.group);
    if (placed.length > 0) this.result.starts.push({ wanted, placed });
    return restOf(wanted, placed);
  }

  #makeRoomForRest(candidate: Candidate, rest: WantedGroup | undefined): void {
    if (rest === undefined) return;
    const lacking = this.#makeRoom({ ...candidate, wanted: rest });
    if (lacking !== undefined) this.#reserve({ ...candidate, wanted: lacking });
  }

  /** Only where the placement advisor approves, and with a ticket that still holds. */
  #placeAdvised(candidate: Candidate): void {
    const { wanted } = candidate;
    const ready = this.#adviceOn(wanted.group).restrictedTo('ready');
    const rest = this.#start({ ...wanted, group: ready });
    if (rest === undefined) return;
    const advice = this.#adviceOn({ ...rest.group, avoided: wanted.group.avoided });
    const approved = advice.restrictedTo('ready', 'approved');
    const trial = placeGroup(
      approved,
      this.#ledger.free.map((room) => room.copy()),
    );
    const question = advice.renewal(new Set(trial.map(({ vm }) => vm))) ?? advice.enquiry();
    if (question === undefined) {
      this.#makeRoomForRest(candidate, { ...rest, group: approved });
      return;
    }
    this.result.questions.push(question);
    // It starts there as soon as it has its tickets.
    this.#ledger.place(approved);
  }

  #adviceOn(group: Group): GroupAdvice {
    const { advice: book, now, rooms } = this.#input;
    return new GroupAdvice({ group, rooms, book, now });
  }

  /** Stops others' runs for it, if it may. Answers what still lacks room then; undefined if all of it will come. */
  #makeRoom({ wanted, standing }: Candidate): WantedGroup | undefined {
    if (!standing.claim && standing.priority > 0) return wanted;
    // Also while it may stop nobody: what was stopped for it goes one by one.
    const lacking = this.#promise(wanted);
    if (lacking === undefined) return undefined;
    if (!this.#input.knowsWorkers) return lacking;
    if (!standing.claim && !this.#mayStopOthers(wanted.job, standing)) return lacking;
    const victims = this.#victimsFor(standing, wanted.job);
    const mostLoss = standing.claim ? Infinity : PREEMPT_LOSS;
    const plan = planRoom(lacking.group, this.#ledger.coming, victims, mostLoss);
    if (plan === undefined) return lacking;
    const isDear = standing.claim && plan.loss > CHEAP_LOSS;
    if (isDear && this.#canWait(wanted, standing)) return lacking;
    const chosen = victims.filter((occupant) => plan.victims.includes(occupant));
    chosen.forEach((occupant) => {
      this.result.stops.push({ occupant, forJob: wanted.job });
      this.#ledger.noteStopping(occupant.members);
    });
    return this.#promise(lacking);
  }

  /** Keeps what will come for it; answers what is left without, undefined if nothing is. */
  #promise(wanted: WantedGroup): WantedGroup | undefined {
    return restOf(wanted, this.#ledger.promise(wanted.group));
  }

  #mayStopOthers({ madeRoomAt }: OwnedJob, { ageMs, objectiveMs }: Standing): boolean {
    return this.#input.now - madeRoomAt >= PREEMPT_PAUSE_MS && ageMs <= objectiveMs;
  }

  /** Room may come by itself before the claim has to be met. */
  #canWait({ readySince }: WantedGroup, { ageMs, leftChainMs, objectiveMs }: Standing): boolean {
    const { reclaimMs, stopMs } = this.#input.bounds;
    const waitedMs = Math.max(ageMs, this.#input.now - readySince);
    if (waitedMs >= reclaimMs - stopMs - RECLAIM_SLACK_MS) return false;
    return ageMs + leftChainMs + stopMs < LATE_SHARE * objectiveMs;
  }

  /** Outside a guarantee only those that come after it: others would take the room at once. */
  #victimsFor(standing: Standing, job: OwnedJob): Occupant[] {
    return this.#input.occupants.filter((occupant) => {
      if (occupant.isProtected || this.#isStopping(occupant) || occupant.job === job) return false;
      if (standing.claim) return true;
      if (occupant.job.terms.priority <= standing.priority) return false;
      return byUrgency(standing, this.#standingOf(occupant.job)) < 0;
    });
  }

  #standingOf(job: OwnedJob): Standing {
    const known = this.#standings.get(job) ?? this.#workOutStanding(job);
    this.#standings.set(job, known);
    return known;
  }

  #workOutStanding(job: OwnedJob): Standing {
    const { wallMs, means, durations, claims } = this.#input;
    const occurrence = job.progress.occurrences[0]?.index ?? 0;
    return standingOf(job, { claim: claims.has(job), wallMs, means, durations, occurrence });
  }

  #isStopping(occupant: Occupant): boolean {
    return occupant.stopping || this.result.stops.some((stop) => stop.occupant === occupant);
  }

  /** Keeps the workers that are nearest to having its room, so that small tasks don't fill them for ever. */
  #reserve({ wanted, standing }: Candidate): void {
    if (!isLarge(wanted, this.#input.rooms) || urgencyOf(standing) <= 0) return;
    if (this.#reservations >= MOST_RESERVATIONS) return;
    const { group } = wanted;
    const hosts = this.#ledger.free
      .filter((room) => isEligible(group, room) && fits(room.capacity, group.demand) > 0)
      .sort((a, b) => b.free.accelerators - a.free.accelerators);
    let missing = group.indexes.length;
    const kept = hosts.filter((room) => {
      if (missing <= 0) return false;
      missing -= fits(room.capacity, group.demand);
      return true;
    });
    if (missing > 0) return;
    this.#reservations += 1;
    this.#ledger.close(kept.map(({ vm }) => vm));
  }
}

/** Decides one pass. */
export function decidePass(input: PassInput): PassResult {
  const pass = new Pass(input);
  candidates(input).forEach((candidate) => pass.place(candidate));
  return pass.result;
}

/** Services of whose accelerators half or more are in use. */
function busyServices(rooms: readonly Room[]): Set<string> {
  const services = [...new Set(rooms.map(({ service }) => service))];
  const isBusy = (service: string): boolean => {
    const own = rooms.filter((room) => room.service === service);
    const free = own.reduce((sum, room) => sum + room.free.accelerators, 0);
    const capacity = own.reduce((sum, room) => sum + room.capacity.accelerators, 0);
    return free * 2 <= capacity;
  };
  return new Set(services.filter(isBusy));
}

/** A gang, or tasks that need more than half of a worker: what small tasks could starve. */
function isLarge({ group }: WantedGroup, rooms: readonly Room[]): boolean {
  if (group.gang && group.indexes.length > 1) return true;
  const largest = Math.max(0, ...rooms.map(({ capacity }) => capacity.accelerators));
  return group.demand.accelerators > largest / 2;
}

/** The tasks that weren't placed; undefined if all were. */
function restOf(wanted: WantedGroup, placed: readonly Placed[]): WantedGroup | undefined {
  const started = new Set(placed.map(({ index }) => index));
  const indexes = wanted.group.indexes.filter((index) => !started.has(index));
  return indexes.length === 0 ? undefined : { ...wanted, group: { ...wanted.group, indexes } };
}
