/** Where one queued job may run now: inside its account's guarantee, on firm room, or borrowing. */
import { findPlacement, freeSlots, type Slots } from '../gang/placement.js';
import type { WorkerCapacity } from '../gang/placement-capacity.js';
import type { Member, Shape } from '../gang/shape.js';
import type { Kind } from '../kind/kind.js';
import type { DomainState } from './domain-state.js';
import type { Reservations } from './reservations.js';
import type { QueuedJob } from './scheduler.js';
import { shapeKey } from './shape-key.js';

/** A place for a job. `firm`: counted in the ledger. `inside`: within its account's guarantees. */
export interface Place {
  members: Member[];
  firm: boolean;
  inside: boolean;
}

/** A job evicted this often goes where no claim can evict it, so that it isn't starved. */
const FIRM_AFTER = 2;

/** Accelerators of a shape. */
export function sizeOf({ tasks, acceleratorsPerTask }: Shape): number {
  return tasks * acceleratorsPerTask;
}

/** Finds places. One search of a kind that failed is not repeated until something becomes free. */
export class Placer {
  readonly #state: DomainState;

  readonly #reservations: Reservations;

  readonly #failed = new Set<string>();

  #failedAt = -1;

  constructor({ state, reservations }: { state: DomainState; reservations: Reservations }) {
    this.#state = state;
    this.#reservations = reservations;
  }

  /** Forgets what failed: rules other than free room have changed. */
  reset(): void {
    this.#failed.clear();
  }

  /** Whether a job fits now only where a large gang has a reservation. */
  needsReserved(job: QueuedJob, now: number): boolean {
    if (this.#reservations.size === 0) return false;
    const kind = this.#state.view.kind(job.spec.kind);
    const options = { kind, now, slots: freeSlots, pressing: false };
    return this.#searchOnce('any', job, options) === undefined;
  }

  /** A place for a job now, nothing taken yet. */
  find(job: QueuedJob, now: number): Place | undefined {
    this.#forgetStale();
    const kind = this.#state.view.kind(job.spec.kind);
    const size = sizeOf(job.spec.shape);
    if (size > 0 && this.#state.capacity.free < size) return undefined;
    // Borrowed room could be claimed by its owner, and an account inside its guarantee isn't evicted for another.
    if (this.#state.belongsInside(job)) return this.#findInside(job, kind, now);
    const recoverable = kind.idempotent || kind.checkpointable;
    if (!recoverable) return this.#findFirm(job, kind, false, now);
    if ((job.evictions ?? 0) < FIRM_AFTER) return this.#findAny(job, kind, now);
    const firm = this.#findFirm(job, kind, false, now);
    const losesWork = !kind.checkpointable && size <= this.#state.ledger.capacity.free;
    return firm ?? (losesWork ? undefined : this.#findAny(job, kind, now));
  }

  #findInside(job: QueuedJob, kind: Kind, now: number): Place | undefined {
    const members = this.#search(`home/${job.account}`, job, kind, now, (worker, shape) =>
      Math.min(freeSlots(worker, shape), this.#state.homeSlots(job.account, worker, shape)),
    );
    if (members !== undefined) return { members, firm: false, inside: true };
    return this.#findFirm(job, kind, true, now);
  }

  #findFirm(job: QueuedJob, kind: Kind, inside: boolean, now: number): Place | undefined {
    const { ledger } = this.#state;
    const members = this.#search('firm', job, kind, now, (worker, shape) =>
      Math.min(freeSlots(worker, shape), ledger.slots('', worker, shape)),
    );
    return members && { members, firm: true, inside };
  }

  #findAny(job: QueuedJob, kind: Kind, now: number): Place | undefined {
    const members = this.#search('any', job, kind, now, freeSlots);
    return members && { members, firm: false, inside: false };
  }

  /** An urgent job leaves reserved workers alone while there are others. */
  #search(
    where: string,
    job: QueuedJob,
    kind: Kind,
    now: number,
    slots: Slots,
  ): Member[] | undefined {
    const members = this.#searchOnce(where, job, { kind, now, slots, pressing: false });
    if (members !== undefined || kind.urgency !== 'urgent') return members;
    if (this.#reservations.size === 0) return undefined;
    return this.#searchOnce(where, job, { kind, now, slots, pressing: true });
  }

  #searchOnce(
    where: string,
    { key, spec }: QueuedJob,
    { kind, now, slots, pressing }: { kind: Kind; now: number; slots: Slots; pressing: boolean },
  ): Member[] | undefined {
    const { shape } = spec;
    const job = { key, spec };
    const shunned = this.#shunned(job, kind);
    const reserved = this.#reservations.classOf(key, pressing);
    const memo = shunned.length > 0 ? undefined : memoKey(where, shape, kind, reserved);
    if (memo !== undefined && this.#failed.has(memo)) return undefined;
    const members = findPlacement(this.#state.capacity, {
      shape,
      spread: kind.spread,
      slots: (worker, asked) => {
        if (shunned.includes(worker.id) || !this.#mayUse(worker, job, kind, now)) return 0;
        return slots(worker, asked);
      },
    });
    if (members === undefined && memo !== undefined) this.#failed.add(memo);
    return members;
  }

  /** A retry waits for another worker than the one that failed it, if there is any that could take it. */
  #shunned({ key, spec }: Pick<QueuedJob, 'key' | 'spec'>, { spread }: Kind): string[] {
    const { health, workers } = this.#state;
    const failedOn = health.failedOn(key);
    if (failedOn.length === 0) return failedOn;
    return workers.couldFitWithout(failedOn, spec.shape, spread) ? failedOn : [];
  }

  #mayUse(
    worker: WorkerCapacity,
    { key, spec }: Pick<QueuedJob, 'key' | 'spec'>,
    { idempotent }: Kind,
    now: number,
  ): boolean {
    if (!worker.open) return false;
    if (!this.#reservations.mayUse(worker.id, key, now)) return false;
    if (!this.#state.onProbation.has(worker.id)) return true;
    const task = { idempotent, accelerators: sizeOf(spec.shape) };
    return this.#state.health.mayUse(worker.id, task, now);
  }

  #forgetStale(): void {
    const releases = this.#state.capacity.releases + this.#state.ledger.capacity.releases;
    if (releases === this.#failedAt) return;
    this.#failedAt = releases;
    this.#failed.clear();
  }
}

/** Jobs of one class fail or fit alike. */
function memoKey(
  where: string,
  shape: Shape,
  { spread, idempotent }: Kind,
  reserved: string,
): string {
  return `${where}/${shapeKey(shape)}/${spread}/${idempotent}/${reserved}`;
}
