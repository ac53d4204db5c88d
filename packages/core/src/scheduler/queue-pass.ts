/** One pass through the queue: places what fits, makes room for what may not wait, reserves for large gangs. */
import type { ClaimBook } from '../guarantee/claim-book.js';
import type { Member } from '../gang/shape.js';
import type { DomainState } from './domain-state.js';
import { Placer, sizeOf, type Place } from './placer.js';
import type { QueuedWork } from './queued-work.js';
import type { Reservations } from './reservations.js';
import type { RoomMaking } from './room-making.js';
import type { Decision, QueuedJob } from './scheduler.js';
import type { Waits } from './waits.js';

/** Blocked jobs looked at in one pass, and of one account and kind. */
const MAX_BLOCKED = 400;
const MAX_LOOK_AHEAD = 8;

/** Urgent jobs for which room is made in one pass. */
const MAX_URGENT = 4;

/** A job of a waiting kind waits this long before borrowers leave the home that it belongs in. */
const INSIDE_PATIENCE_MS = 30_000;

/** Part of its contract that an urgent job waits before others are evicted for it. */
const URGENT_PATIENCE = 0.05;

/** Gangs for which jobs are moved at once: one, and one more for this many racks. */
const RACKS_PER_MOVE = 16;

/**
 * A large gang that has waited this long gets a place cleared for it: the first where only completion time
 * counts, the second where only fragmentation does.
 */
const STARVING_MS = 10_800_000;
const STARVING_SOONEST_MS = 1_800_000;

/** Places cleared for one gang. Evicted from them by urgent work, it would only close the room again. */
const MAX_TURNS = 2;

/** A place to clear for a gang is looked for again after this long. */
const GANG_RETRY_MS = 10_000;

/** What a pass works with. */
export interface PassParts {
  state: DomainState;
  claims: ClaimBook;
  reservations: Reservations;
  rooms: RoomMaking;
  waits: Waits;
  queued: QueuedWork;
}

/** Where a job was put by a pass. */
export interface Placed {
  job: QueuedJob;
  place: Place;
  within?: string;
}

/** A job for which a place is being cleared; `inside`: in its account's home. */
export interface Cleared {
  job: QueuedJob;
  inside: boolean;
}

/** Passes through the queue of one failure domain. */
export class QueuePass {
  readonly #parts: PassParts;

  readonly #placer: Placer;

  /** Jobs told to be late; once is enough. */
  readonly #toldLate = new Set<string>();

  /** Jobs that got a place being cleared in this pass. */
  #clearing: Cleared[] = [];

  #urgentLeft = MAX_URGENT;

  #gangsLeft = 1;

  /** When a place to clear was last looked for, by job. */
  readonly #triedAt = new Map<string, number>();

  #blocked = 0;

  /** Blocked jobs by account and kind. */
  readonly #blockedOf = new Map<string, number>();

  /** Jobs that couldn't be placed in the last pass through the whole queue. */
  #blockedInAll = 0;

  constructor(parts: PassParts) {
    this.#parts = parts;
    this.#placer = new Placer(parts);
  }

  /** Jobs that couldn't be placed of late. */
  get blocked(): number {
    return this.#blocked + this.#blockedInAll;
  }

  /** Whether a job would be placed at once, if only where a large gang has a reservation. */
  fitOf(job: QueuedJob, now: number): 'fits' | 'in-the-way' | 'blocked' {
    if (this.#placer.find(job, now) === undefined) return 'blocked';
    return this.#placer.needsReserved(job, now) ? 'in-the-way' : 'fits';
  }

  /** Whether enough jobs of this one's account and kind have been found blocked in this pass. */
  readonly isHopeless = ({ account, spec }: QueuedJob): boolean =>
    (this.#blockedOf.get(`${account}/${spec.kind}`) ?? 0) >= MAX_LOOK_AHEAD;

  forget(key: string): void {
    this.#toldLate.delete(key);
    this.#triedAt.delete(key);
    this.#parts.reservations.drop(key);
  }

  /** Goes through `jobs` in order. `place` is called for each job placed, before the next is looked at. */
  run(
    { jobs, all }: { jobs: Iterable<QueuedJob>; all: boolean },
    now: number,
    place: (placed: Placed) => Decision,
  ): { decisions: Decision[]; clearing: Cleared[] } {
    const decisions: Decision[] = [];
    this.#placer.reset();
    this.#parts.reservations.beginPass();
    this.#clearing = [];
    this.#urgentLeft = MAX_URGENT;
    this.#gangsLeft = 1;
    this.#blocked = 0;
    this.#blockedOf.clear();
    for (const job of jobs) {
      const placed = this.#findPlace(job, now);
      if (placed !== undefined) decisions.push(place(placed));
      else if (!this.#block(job, now, decisions)) break;
    }
    if (all) this.#blockedInAll = this.#blocked;
    return { decisions, clearing: this.#clearing };
  }

  #findPlace(job: QueuedJob, now: number): Placed | undefined {
    if (job.spec.claim !== undefined) return this.#findWithin(job, job.spec.claim);
    if (!this.#isWithinQuota(job)) return undefined;
    const place = this.#placer.find(job, now);
    return place && { job, place };
  }

  #isWithinQuota({ account, spec: { shape } }: QueuedJob): boolean {
    const { fairShare } = this.#parts.state;
    const withinGuarantee = this.#parts.state.isInside(account, sizeOf(shape));
    return fairShare.mayStart(account, sizeOf(shape), { withinGuarantee });
  }

  #findWithin(job: QueuedJob, id: string): Placed | undefined {
    const within = `claims/${job.account}/${id}`;
    const claim = this.#parts.claims.heldClaim(within);
    const { spread } = this.#parts.state.view.kind(job.spec.kind);
    const members: Member[] | undefined = claim?.findPlacement(job.spec.shape, spread);
    return members && { job, within, place: { members, firm: false, inside: true } };
  }

  /**
   * What to do for a job that doesn't start; false once the rest of the queue can't fit either. For one that its
   * account's quota holds back nothing is reserved and nobody evicted.
   */
  #block(job: QueuedJob, now: number, decisions: Decision[]): boolean {
    const line = `${job.account}/${job.spec.kind}`;
    this.#blockedOf.set(line, (this.#blockedOf.get(line) ?? 0) + 1);
    if (job.spec.claim === undefined && !this.#isWithinQuota(job)) {
      decisions.push(...this.#warnOf(job, now));
      return true;
    }
    this.#blocked += 1;
    if (job.spec.claim !== undefined) return true;
    const { state, queued } = this.#parts;
    if (this.#reclaim(job, now, decisions)) return true;
    if (state.view.isUrgent(job)) {
      decisions.push(...this.#hurry(job, now));
      return this.#blocked < MAX_BLOCKED;
    }
    const size = sizeOf(job.spec.shape);
    if (this.#blocked === 1 || this.#isLarge(size)) decisions.push(...this.#helpGang(job, now));
    if (state.capacity.free === 0 && queued.withoutAccelerators === 0) return false;
    return this.#blocked < MAX_BLOCKED;
  }

  /** Takes back the home that a job belongs in; true if that is under way. */
  #reclaim(job: QueuedJob, now: number, decisions: Decision[]): boolean {
    const { state, rooms, reservations } = this.#parts;
    const isUrgent = state.view.isUrgent(job);
    const patience = isUrgent ? 0 : INSIDE_PATIENCE_MS;
    if (now < job.submittedAt + patience || !state.belongsInside(job)) return false;
    // Else a steady trickle of small jobs into a home would keep a gang's reservation from ever draining.
    reservations.classOf(job.key, isUrgent);
    const evictions = rooms.forInside(job, now, (id) => reservations.mayUse(id, job.key, now));
    if (evictions === undefined) return false;
    decisions.push(...evictions);
    this.#clearing.push({ job, inside: true });
    return true;
  }

  /** Looking for a place to clear is dear: one gang in a pass, and each only now and then. */
  #mayTryGang(key: string, now: number): boolean {
    if (this.#gangsLeft === 0) return false;
    if (now - (this.#triedAt.get(key) ?? -Infinity) < GANG_RETRY_MS) return false;
    this.#gangsLeft -= 1;
    this.#triedAt.set(key, now);
    return true;
  }

  /** Waited too long for room; not while urgent jobs wait themselves, nor once it has had its turns. */
  #isStarving({ submittedAt, evictions = 0 }: QueuedJob, now: number): boolean {
    const { queued, rooms } = this.#parts;
    if (queued.urgentJobs > 0 || rooms.moving > 0 || evictions >= MAX_TURNS) return false;
    return now - submittedAt >= this.#starvingMs();
  }

  #starvingMs(): number {
    const { fragmentationWeight } = this.#parts.state.view.policy;
    return STARVING_MS + (STARVING_SOONEST_MS - STARVING_MS) * fragmentationWeight;
  }

  #isLarge(size: number): boolean {
    const { capacity } = this.#parts.state;
    return size >= capacity.largestWorker;
  }

  /** An urgent job: evicts for it once it has waited a little; says early if its contract is lost. */
  #hurry(job: QueuedJob, now: number): Decision[] {
    const { view } = this.#parts.state;
    const contractAt = view.contractAt(job);
    const patience =
      contractAt === undefined ? 0 : (contractAt - job.submittedAt) * URGENT_PATIENCE;
    if (now >= job.submittedAt + patience && this.#urgentLeft > 0) {
      this.#urgentLeft -= 1;
      const evictions = this.#parts.rooms.forUrgent(job, now);
      if (evictions !== undefined) {
        this.#clearing.push({ job, inside: false });
        return evictions;
      }
    }
    return this.#warnOf(job, now);
  }

  /** Says early that the contract of an urgent job is lost. */
  #warnOf(job: QueuedJob, now: number): Decision[] {
    const { view } = this.#parts.state;
    const contractAt = view.isUrgent(job) ? view.contractAt(job) : undefined;
    return contractAt === undefined ? [] : this.#warn(job, contractAt, now);
  }

  #warn(job: QueuedJob, contractAt: number, now: number): Decision[] {
    if (this.#toldLate.has(job.key)) return [];
    const { waits, state } = this.#parts;
    const waitMs = waits.expected(sizeOf(job.spec.shape), true, now);
    const expectedAt = now + waitMs + state.runMs(job).p50Ms;
    if (expectedAt <= contractAt) return [];
    this.#toldLate.add(job.key);
    return [{ type: 'late', key: job.key, expectedAt, contractAt }];
  }

  /** A gang that can't be placed: a reservation, and after a while others are moved for it. */
  #helpGang(job: QueuedJob, now: number): Decision[] {
    const { state, reservations, rooms } = this.#parts;
    const reservation = reservations.reserve(job, now);
    const { defragmentAfterMs } = state.view.policy;
    if (now - job.submittedAt < defragmentAfterMs) return [];
    if (rooms.moving > state.capacity.racks.size / RACKS_PER_MOVE) return [];
    if (!this.#mayTryGang(job.key, now)) return [];
    const waitMs =
      reservation === undefined ? defragmentAfterMs : Math.max(0, reservation.at - now);
    const isStarving = this.#isStarving(job, now);
    const moves =
      rooms.forGang(job, waitMs, now) ?? (isStarving ? rooms.forStarving(job, now) : undefined);
    if (moves === undefined) return [];
    this.#clearing.push({ job, inside: false });
    reservations.drop(job.key);
    return moves;
  }
}
