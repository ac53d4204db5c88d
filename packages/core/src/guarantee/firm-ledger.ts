/**
 * Room that can't be taken back for a claim: held claims, jobs that can't be evicted, and the homes, which are
 * the places set apart for guarantees that nobody claims now. Everything else may borrow a home and is evicted
 * when its owner claims it. While the ledger fits on the workers, so does every guarantee.
 */
import { slotsIn } from '../gang/placement.js';
import { chooseAccelerators } from '../gang/placement-accelerators.js';
import { Capacity, type WorkerCapacity } from '../gang/placement-capacity.js';
import type { Member, Shape } from '../gang/shape.js';

/** Amounts on one worker. */
interface Room {
  accelerators: number;
  cores: number;
  memoryMb: number;
}

interface Entry {
  members: Member[];
  /** Account whose home it is. */
  homeOf: string | undefined;
}

/** Firm room of one failure domain. Accelerator numbers in it are only for counting. */
export class FirmLedger {
  readonly capacity = new Capacity();

  readonly #entries = new Map<string, Entry>();

  /** Home room by account, then worker. */
  readonly #homes = new Map<string, Map<string, Room>>();

  has(key: string): boolean {
    return this.#entries.has(key);
  }

  members(key: string): Member[] | undefined {
    return this.#entries.get(key)?.members;
  }

  /** Enters members as firm, or as a home of `homeOf`. */
  take(key: string, members: Member[], homeOf?: string): void {
    this.release(key);
    const renumbered = members.map((member) => this.#renumber(member));
    this.#entries.set(key, { members: renumbered, homeOf });
    if (homeOf !== undefined) this.#countHome(homeOf, renumbered, 1);
  }

  release(key: string): void {
    const entry = this.#entries.get(key);
    if (entry === undefined) return;
    this.#entries.delete(key);
    this.capacity.release(entry.members);
    if (entry.homeOf !== undefined) this.#countHome(entry.homeOf, entry.members, -1);
  }

  /** Forgets a worker and returns the keys of homes that had a part on it; these are released. */
  dropWorker(worker: string): string[] {
    const touched = [...this.#entries].filter(([, { members }]) =>
      members.some((member) => member.worker === worker),
    );
    const homes = touched.filter(([, { homeOf }]) => homeOf !== undefined).map(([key]) => key);
    homes.forEach((key) => this.release(key));
    touched.forEach(([, entry]) => {
      Object.assign(entry, { members: entry.members.filter((m) => m.worker !== worker) });
    });
    this.capacity.remove(worker);
    return homes;
  }

  /** Tasks of an account's shape that may firmly run on a worker, its own homes included. */
  slots(account: string, worker: WorkerCapacity, shape: Shape): number {
    const firm = this.capacity.workers.get(worker.id);
    if (firm === undefined || !firm.open) return 0;
    const home = this.#homes.get(account)?.get(worker.id);
    return slotsIn({
      shape,
      accelerators: firm.free + (home?.accelerators ?? 0),
      cores: firm.freeCores + (home?.cores ?? 0),
      memoryMb: firm.freeMemoryMb + (home?.memoryMb ?? 0),
    });
  }

  /** Tasks of a shape that fit in an account's homes on a worker, beside what members use of them. */
  homeSlots(
    account: string,
    worker: WorkerCapacity,
    { shape, used = [] }: { shape: Shape; used?: Member[] },
  ): number {
    const home = this.#homes.get(account)?.get(worker.id);
    if (home === undefined) return 0;
    const room = { ...home };
    used.forEach(({ accelerators, cores, memoryMb }) => {
      room.accelerators -= accelerators.length;
      room.cores -= cores;
      room.memoryMb -= memoryMb;
    });
    return slotsIn({ shape, ...room });
  }

  /** Workers with a part of an account's homes. */
  homeWorkers(account: string): Iterable<string> {
    return this.#homes.get(account)?.keys() ?? [];
  }

  #renumber(member: Member): Member {
    const worker = this.capacity.workers.get(member.worker);
    if (worker === undefined) return { ...member, accelerators: [] };
    const accelerators = chooseAccelerators(
      worker.uses,
      Math.min(worker.free, member.accelerators.length),
    );
    const renumbered = { ...member, accelerators };
    this.capacity.take([renumbered]);
    return renumbered;
  }

  #countHome(account: string, members: Member[], sign: 1 | -1): void {
    const homes = this.#homes.get(account) ?? new Map<string, Room>();
    this.#homes.set(account, homes);
    members.forEach(({ worker, accelerators, cores, memoryMb }) => {
      const room = homes.get(worker) ?? { accelerators: 0, cores: 0, memoryMb: 0 };
      room.accelerators += sign * accelerators.length;
      room.cores += sign * cores;
      room.memoryMb += sign * memoryMb;
      if (room.accelerators === 0 && room.cores === 0) homes.delete(worker);
      else homes.set(worker, room);
    });
  }
}
