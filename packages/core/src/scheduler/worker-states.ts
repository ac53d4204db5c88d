/** Which workers may get new work: those that are ready, not suspended and not in quarantine. */
import { fitsEmpty } from '../gang/placement-fit.js';
import { Capacity } from '../gang/placement-capacity.js';
import type { Shape } from '../gang/shape.js';
import type { Worker } from '../upstream/upstream.js';
import type { Resources } from './fair-share.js';
import type { FitAnswer } from './scheduler.js';

/** Workers that were lost still count for "could this ever fit?" for this long. */
const REMEMBER_LOST_MS = 3_600_000;

/** Until the inventory has been still for this long, nothing is called impossible. */
const SETTLE_MS = 10_000;

/** Workers of one failure domain and their states. */
export class WorkerStates {
  /** Kept alike: the real capacity and the ledger's. */
  readonly #capacities: Capacity[];

  readonly #ready = new Map<string, Worker>();

  readonly #draining = new Set<string>();

  /** Closed until a time: silent, refusing or quarantined. */
  readonly #closedUntil = new Map<string, number>();

  readonly #lost = new Map<string, { worker: Worker; at: number }>();

  #empty: Capacity | undefined;

  readonly #answers = new Map<string, FitAnswer>();

  readonly #total: Resources = { accelerators: 0, cores: 0, memoryMb: 0 };

  #changedAt = -Infinity;

  #now = 0;

  constructor({ capacities }: { capacities: Capacity[] }) {
    this.#capacities = capacities;
  }

  get size(): number {
    return this.#ready.size;
  }

  add(worker: Worker, now: number): void {
    this.#now = now;
    const known = this.#ready.get(worker.id);
    if (known === undefined) this.#count(worker, 1);
    this.#ready.set(worker.id, worker);
    this.#draining.delete(worker.id);
    this.#capacities.forEach((capacity) => capacity.add(worker));
    if ((this.#closedUntil.get(worker.id) ?? 0) > now) this.#setOpen(worker.id, false);
    const before = this.#lost.get(worker.id);
    this.#lost.delete(worker.id);
    if (known !== undefined || (before !== undefined && isSameSize(before.worker, worker))) return;
    this.#inventoryChanged(now);
  }

  /** Lost: nothing is left on it. */
  remove(id: string): void {
    const worker = this.#ready.get(id);
    if (worker === undefined) return;
    this.#ready.delete(id);
    this.#count(worker, -1);
    this.#draining.delete(id);
    this.#lost.set(id, { worker, at: this.#now });
    this.#capacities.forEach((capacity) => capacity.remove(id));
  }

  drain(id: string): void {
    this.#draining.add(id);
    this.#setOpen(id, false);
  }

  /** Nothing new goes to a worker until a time. */
  closeUntil(id: string, until: number): void {
    this.#closedUntil.set(id, Math.max(until, this.#closedUntil.get(id) ?? 0));
    this.#capacities[0]!.setOpen(id, false);
  }

  /** Opens workers whose time has come; forgets long lost ones. */
  advance(now: number): void {
    this.#now = now;
    this.#closedUntil.forEach((until, id) => {
      if (until > now) return;
      this.#closedUntil.delete(id);
      if (!this.#draining.has(id)) this.#capacities[0]!.setOpen(id, true);
    });
    this.#lost.forEach(({ at }, id) => {
      if (now - at < REMEMBER_LOST_MS) return;
      this.#lost.delete(id);
      this.#empty = undefined;
      this.#answers.clear();
    });
  }

  /** When a closed worker opens next, if any. */
  nextChangeAt(): number | undefined {
    if (this.#closedUntil.size === 0) return undefined;
    return Math.min(...this.#closedUntil.values());
  }

  /** When the inventory counts as known. */
  settledAt(): number {
    return this.#changedAt + SETTLE_MS;
  }

  /** Could this shape ever run here, with every known worker empty? Asked only once settled. */
  couldEverFit(shape: Shape, spread: boolean): FitAnswer {
    const key = JSON.stringify([shape, spread]);
    const known = this.#answers.get(key);
    if (known !== undefined) return known;
    this.#empty ??= this.#emptyCapacity();
    const answer = fitsEmpty(this.#empty, shape, spread);
    if (this.#answers.size > 10_000) this.#answers.clear();
    this.#answers.set(key, answer);
    return answer;
  }

  /** Could this shape run on other workers than these that take new work, were they empty? */
  couldFitWithout(ids: string[], shape: Shape, spread: boolean): boolean {
    const capacity = new Capacity();
    this.#ready.forEach((worker, id) => {
      if (this.#isOpen(id) && !ids.includes(id)) capacity.add(worker);
    });
    return fitsEmpty(capacity, shape, spread).fits;
  }

  /** All that ready workers have. */
  total(): Resources {
    return { ...this.#total };
  }

  /** True if a worker is known and has been rebuilt: nothing of what ran on it can be left. */
  isRebuilt(worker: Worker): boolean {
    const known = this.#ready.get(worker.id);
    return known !== undefined && !isSameSize(known, worker);
  }

  #isOpen(id: string): boolean {
    return !this.#draining.has(id) && (this.#closedUntil.get(id) ?? 0) <= this.#now;
  }

  #emptyCapacity(): Capacity {
    const capacity = new Capacity();
    this.#ready.forEach((worker) => capacity.add(worker));
    this.#lost.forEach(({ worker }) => capacity.add(worker));
    return capacity;
  }

  #count({ accelerators, cores, memoryMb }: Worker, sign: 1 | -1): void {
    this.#total.accelerators += sign * accelerators;
    this.#total.cores += sign * cores;
    this.#total.memoryMb += sign * memoryMb;
  }

  #inventoryChanged(now: number): void {
    this.#changedAt = now;
    this.#empty = undefined;
    this.#answers.clear();
  }

  #setOpen(id: string, open: boolean): void {
    this.#capacities.forEach((capacity) => capacity.setOpen(id, open));
  }
}

function isSameSize(a: Worker, b: Worker): boolean {
  return (
    a.accelerators === b.accelerators &&
    a.cores === b.cores &&
    a.memoryMb === b.memoryMb &&
    a.rack === b.rack
  );
}
