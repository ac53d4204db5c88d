/** Making room by eviction: for urgent jobs that would be late, and for large gangs by moving jobs away. */
import { clear, type Clearance, type EvictionCost } from '../guarantee/victims.js';
import { findPlacement, slotsIn } from '../gang/placement.js';
import type { WorkerCapacity } from '../gang/placement-capacity.js';
import type { Member } from '../gang/shape.js';
import type { DomainState } from './domain-state.js';
import { sizeOf } from './placer.js';
import { acceleratorsOf, expectedEnd, markLeaving, type RunningJob } from './running-jobs.js';
import type { Decision, QueuedJob } from './scheduler.js';

/** Places compared for one urgent job, and for one gang. */
const MAX_PLACES = 6;

/** Jobs expected to end within this time are waited for rather than evicted. */
const DRAIN_MS = 30_000;

/** Makes room in one failure domain. */
export class RoomMaking {
  readonly #state: DomainState;

  /** Jobs being moved for the sake of a gang. */
  readonly #moving = new Set<string>();

  constructor({ state }: { state: DomainState }) {
    this.#state = state;
  }

  /** Gangs that others move away for now. */
  get moving(): number {
    this.#moving.forEach((key) => {
      if (!this.#state.clearings.has(key)) this.#moving.delete(key);
    });
    return this.#moving.size;
  }

  /** Evicts jobs of waiting kinds for an urgent one; undefined if there is no such place. */
  forUrgent(job: QueuedJob, now: number): Decision[] | undefined {
    const cost = memoized(this.#state.evictionCost(job.account, 'urgent', now));
    const clearance = this.#cheapest(job, cost);
    return clearance && this.#evict(job, clearance, 'urgent');
  }

  /** Evicts borrowers from its account's homes, where it may use them, for a job that belongs there. */
  forInside(
    job: QueuedJob,
    now: number,
    mayUse: (worker: string) => boolean,
  ): Decision[] | undefined {
    const cost = memoized(this.#state.evictionCost(job.account, 'home', now));
    const clearance = this.#cheapest(job, cost, (worker) =>
      mayUse(worker.id) ? this.#state.homeSlots(job.account, worker, job.spec.shape) : 0,
    );
    return clearance && this.#evict(job, clearance, 'claim');
  }

  /** Moves checkpointable jobs away for a gang if that costs less than its wait of `waitMs`. */
  forGang(job: QueuedJob, waitMs: number, now: number): Decision[] | undefined {
    const { capacity, view } = this.#state;
    const { checkpointLimitMs, fragmentationWeight } = view.policy;
    const size = sizeOf(job.spec.shape);
    if (capacity.free < size) return undefined;
    const cost = memoized(this.#state.evictionCost(job.account, 'defragment', now));
    const clearance = this.#cheapest(job, cost);
    if (clearance === undefined || !this.#canMove(clearance)) return undefined;
    const moved = clearance.victims.reduce((sum, { members }) => sum + acceleratorsOf(members), 0);
    const moveCost = clearance.cost + moved * checkpointLimitMs;
    if (moveCost > size * waitMs * 2 * fragmentationWeight) return undefined;
    this.#moving.add(job.key);
    return this.#evict(job, clearance, 'defragment');
  }

  /**
   * Clears a place for a gang that has waited too long: evicts jobs that lose nothing for good, and waits for
   * others that end soon, while nothing new gets in.
   */
  forStarving(job: QueuedJob, now: number): Decision[] | undefined {
    const evict = this.#state.evictionCost(job.account, 'urgent', now);
    const endsSoon = (running: RunningJob) => expectedEnd(running, now) - now <= DRAIN_MS;
    const cost = memoized((running) => (endsSoon(running) ? 1 : evict(running)));
    const clearance = this.#cheapest(job, cost);
    if (clearance === undefined) return undefined;
    if (clearance.cost > sizeOf(job.spec.shape) * (now - job.submittedAt)) return undefined;
    this.#moving.add(job.key);
    return this.#evict(job, clearance, 'defragment', (running) => !endsSoon(running));
  }

  #cheapest(
    job: QueuedJob,
    cost: EvictionCost,
    limit?: (worker: WorkerCapacity) => number,
  ): Clearance | undefined {
    const { capacity, running } = this.#state;
    let best: Clearance | undefined;
    for (const members of this.#places(job, cost, limit)) {
      const clearance = clear({ capacity, running, members, cost });
      if (clearance === undefined) continue;
      if (best === undefined || clearance.cost < best.cost) best = clearance;
    }
    return best;
  }

  /** Places that only evictable jobs keep from the gang, those with the most free room first. */
  *#places(
    { spec }: QueuedJob,
    cost: EvictionCost,
    limit: (worker: WorkerCapacity) => number = () => Infinity,
  ): Generator<Member[]> {
    const { capacity, view } = this.#state;
    const excluded = new Set<string>();
    const rooms = new Map<string, number>();
    const kind = view.kind(spec.kind);
    const slots = (worker: WorkerCapacity) => {
      if (excluded.has(worker.id) || !worker.open) return 0;
      const known =
        rooms.get(worker.id) ??
        Math.min(limit(worker), this.#slotsOnceClear(worker, spec.shape, cost));
      rooms.set(worker.id, known);
      return known;
    };
    for (let i = 0; i < MAX_PLACES; i += 1) {
      const place = findPlacement(capacity, {
        shape: spec.shape,
        spread: kind.spread,
        strategy: 'most-free',
        slots,
      });
      if (place === undefined) return;
      place.forEach(({ worker }) => excluded.add(worker));
      yield place;
    }
  }

  #slotsOnceClear(worker: WorkerCapacity, shape: QueuedJob['spec']['shape'], cost: EvictionCost) {
    const room = {
      accelerators: worker.free,
      cores: worker.freeCores,
      memoryMb: worker.freeMemoryMb,
    };
    for (const job of this.#state.running.on(worker.id)) {
      if (job.leaving || job.within !== undefined || cost(job) === Infinity) continue;
      job.members
        .filter((member) => member.worker === worker.id)
        .forEach((member) => {
          room.accelerators += member.accelerators.filter((n) => worker.uses[n] === 1).length;
          room.cores += member.cores;
          room.memoryMb += member.memoryMb;
        });
    }
    return slotsIn({ shape, ...room });
  }

  /** Whether the victims would find room elsewhere at once. */
  #canMove({ victims, members }: Clearance): boolean {
    const { capacity } = this.#state;
    const kept = new Set(members.map(({ worker }) => worker));
    const taken: Member[] = [];
    const allPlaced = victims.every(({ job, kind }) => {
      const place = findPlacement(capacity, {
        shape: job.spec.shape,
        spread: kind.spread,
        slots: (worker, shape) => {
          if (kept.has(worker.id) || !worker.open) return 0;
          return slotsIn({
            shape,
            accelerators: worker.free,
            cores: worker.freeCores,
            memoryMb: worker.freeMemoryMb,
          });
        },
      });
      if (place === undefined) return false;
      capacity.take(place);
      taken.push(...place);
      return true;
    });
    if (taken.length > 0) capacity.release(taken);
    return allPlaced;
  }

  #evict(
    { key }: QueuedJob,
    { members, victims }: Clearance,
    reason: 'urgent' | 'defragment' | 'claim',
    isEvicted: (running: RunningJob) => boolean = () => true,
  ): Decision[] {
    const { capacity, clearings, view } = this.#state;
    const keys = victims.map(({ job }) => job.key);
    clearings.add(capacity, key, members, keys);
    return victims.filter(isEvicted).map((victim) => {
      markLeaving(victim);
      return {
        type: 'evict',
        key: victim.job.key,
        reason,
        for: key,
        limitMs: view.policy.checkpointLimitMs,
      };
    });
  }
}

/** The cost function, asked once for each job. */
function memoized(cost: EvictionCost): EvictionCost {
  const known = new Map<string, number>();
  return (running) => {
    const { key } = running.job;
    const found = known.get(key);
    if (found !== undefined) return found;
    const value = cost(running);
    known.set(key, value);
    return value;
  };
}
