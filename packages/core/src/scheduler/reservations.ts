/**
 * Reservations for large gangs that can't be placed yet: the workers that will be free soonest are kept from
 * other jobs, but for those expected to end before the gang can start (backfill).
 */
import { slotsIn } from '../gang/placement.js';
import type { RackCapacity, WorkerCapacity } from '../gang/placement-capacity.js';
import type { Shape } from '../gang/shape.js';
import type { DomainState } from './domain-state.js';
import { expectedEnd } from './running-jobs.js';
import type { QueuedJob } from './scheduler.js';

/** Workers kept for a gang, and when it is expected to start, wall-clock ms. */
export interface Reservation {
  key: string;
  workers: Set<string>;
  at: number;
  madeAt: number;
}

/** Racks whose drain times are compared for one reservation. */
const MAX_COMPARED = 8;

/** Reserved workers may be at most this part of all. */
const MAX_RESERVED = 0.5;

/** Gangs with a reservation at once, and searches for one in a pass: each looks at many running jobs. */
const MAX_RESERVATIONS = 8;
const MAX_SEARCHES = 1;

/** After a search in vain there is none for this long. */
const SEARCH_PAUSE_MS = 5000;

/** A reservation is looked at anew after this long. */
const REVIEW_MS = 300_000;

/** Reservations of one failure domain. */
export class Reservations {
  readonly #state: DomainState;

  readonly #byKey = new Map<string, Reservation>();

  readonly #byWorker = new Map<string, Reservation>();

  #searchesLeft = MAX_SEARCHES;

  #pausedUntil = -Infinity;

  /** Run time that the job in question would need; set by `classOf`. */
  #runMs = 0;

  #pressing = false;

  constructor({ state }: { state: DomainState }) {
    this.#state = state;
  }

  get size(): number {
    return this.#byKey.size;
  }

  /** A new pass through the queue begins. */
  beginPass(): void {
    this.#searchesLeft = MAX_SEARCHES;
  }

  get(key: string): Reservation | undefined {
    return this.#byKey.get(key);
  }

  keys(): Iterable<string> {
    return this.#byKey.keys();
  }

  /** Prepares `mayUse` for a job; jobs of one class are treated alike. `pressing`: reservations don't bind it. */
  classOf(key: string, pressing: boolean): string {
    if (this.#byWorker.size === 0) return '';
    const job = this.#state.queue.get(key);
    this.#pressing = pressing;
    this.#runMs = job === undefined ? 0 : this.#state.runMs(job).p90Ms;
    if (this.#byKey.has(key)) return key;
    return pressing ? 'pressing' : String(Math.ceil(Math.log2(this.#runMs)));
  }

  /** Whether a job may use a worker: its own, or one where it ends in time. Pressing ones may use any. */
  mayUse(worker: string, key: string, now: number): boolean {
    const reservation = this.#byWorker.get(worker);
    if (reservation === undefined || reservation.key === key || this.#pressing) return true;
    return now + this.#runMs <= reservation.at;
  }

  /** Reserves for a gang that can't be placed now; keeps an earlier reservation that still holds. */
  reserve(job: QueuedJob, now: number): Reservation | undefined {
    const known = this.#byKey.get(job.key);
    if (known !== undefined && now - known.madeAt < REVIEW_MS) return known;
    this.drop(job.key);
    if (this.#searchesLeft === 0 || this.#byKey.size >= MAX_RESERVATIONS) return undefined;
    if (now < this.#pausedUntil) return undefined;
    this.#searchesLeft -= 1;
    const found = this.#soonest(job.spec.shape, now);
    if (found === undefined || !this.#hasRoom(found.workers.length)) {
      this.#pausedUntil = now + SEARCH_PAUSE_MS;
      return undefined;
    }
    const reservation = {
      key: job.key,
      workers: new Set(found.workers.map(({ id }) => id)),
      at: found.at,
      madeAt: now,
    };
    this.#byKey.set(job.key, reservation);
    reservation.workers.forEach((worker) => this.#byWorker.set(worker, reservation));
    return reservation;
  }

  drop(key: string): void {
    const reservation = this.#byKey.get(key);
    if (reservation === undefined) return;
    this.#byKey.delete(key);
    reservation.workers.forEach((worker) => this.#byWorker.delete(worker));
  }

  dropWorker(worker: string): void {
    const reservation = this.#byWorker.get(worker);
    if (reservation !== undefined) this.drop(reservation.key);
  }

  #hasRoom(more: number): boolean {
    if (this.#byKey.size === 0) return true;
    return this.#byWorker.size + more <= this.#state.capacity.workers.size * MAX_RESERVED;
  }

  /** The group of workers, as close as the shape asks, that could host it soonest. */
  #soonest(shape: Shape, now: number): { workers: WorkerCapacity[]; at: number } | undefined {
    let best: { workers: WorkerCapacity[]; at: number } | undefined;
    for (const group of this.#groups(shape)) {
      const found = this.#drain(group, shape, now);
      if (found !== undefined && (best === undefined || found.at < best.at)) best = found;
    }
    return best;
  }

  #groups({ adjacency }: Shape): WorkerCapacity[][] {
    const { capacity } = this.#state;
    if (adjacency === 'failure-domain') return [[...capacity.workers.values()]];
    const racks: RackCapacity[] = [];
    for (const rack of capacity.racksByFree.descending(0)) {
      racks.push(rack);
      if (racks.length >= MAX_COMPARED) break;
    }
    if (adjacency === 'worker') {
      return racks.flatMap(({ workers }) => workers.map((worker) => [worker]));
    }
    if (adjacency === 'rack') return racks.map(({ workers }) => workers);
    return racks.flatMap((rack) =>
      [-1, 1].flatMap((step) =>
        [...(capacity.positions.get(rack.position + step) ?? [])].map((next) => [
          ...rack.workers,
          ...next.workers,
        ]),
      ),
    );
  }

  /** When a group could host the shape, were nothing else placed there; the workers it would use. */
  #drain(
    group: WorkerCapacity[],
    shape: Shape,
    now: number,
  ): { workers: WorkerCapacity[]; at: number } | undefined {
    const usable = group.filter(({ id, open }) => open && !this.#byWorker.has(id));
    const rooms = usable.map((worker) => this.#steps(worker, shape, now));
    const steps = rooms
      .flatMap((room, i) => room.map(({ at, slots }) => ({ at, slots, i })))
      .sort((a, b) => a.at - b.at);
    const slots = usable.map(() => 0);
    let sum = 0;
    for (const step of steps) {
      sum += step.slots - slots[step.i]!;
      slots[step.i] = step.slots;
      if (sum >= shape.tasks) {
        return { workers: usable.filter((_, i) => slots[i]! > 0), at: step.at };
      }
    }
    return undefined;
  }

  /** How many tasks a worker could take as its jobs end. */
  #steps(worker: WorkerCapacity, shape: Shape, now: number): { at: number; slots: number }[] {
    const room = {
      accelerators: worker.free,
      cores: worker.freeCores,
      memoryMb: worker.freeMemoryMb,
    };
    const steps = [{ at: now, slots: slotsIn({ shape, ...room }) }];
    const ends = [...this.#state.running.on(worker.id)]
      .filter(({ within }) => within === undefined)
      .map((job) => ({ job, at: expectedEnd(job, now) }))
      .sort((a, b) => a.at - b.at);
    ends.forEach(({ job, at }) => {
      job.members
        .filter((member) => member.worker === worker.id)
        .forEach((member) => {
          room.accelerators += member.accelerators.length;
          room.cores += member.cores;
          room.memoryMb += member.memoryMb;
        });
      steps.push({ at, slots: slotsIn({ shape, ...room }) });
    });
    return steps;
  }
}
