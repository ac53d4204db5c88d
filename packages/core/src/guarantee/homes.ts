/** Keeps a home in the firm ledger for every copy of a guarantee that isn't claimed. */
import { findPlacement } from '../gang/placement.js';
import type { FirmLedger } from './firm-ledger.js';
import type { Guarantee } from './guarantee.js';
import { copiesOf } from './pack.js';

/** A guarantee that no longer fits, for operators. */
export interface BrokenGuarantee {
  guarantee: string;
  why: string;
}

/** Key of a home in the ledger. */
function homeKey(guarantee: string, copy: number): string {
  return `home/${guarantee}/${copy}`;
}

/** Homes of the guarantees of one failure domain. */
export class Homes {
  readonly #ledger: FirmLedger;

  #guarantees: Guarantee[] = [];

  /** Claims by the copy that they use. */
  readonly #claimed = new Map<string, string>();

  readonly #broken = new Set<string>();

  #lastLost = '';

  /** Ledger state at which some copy found no home; trying again before a change is in vain. */
  #triedAt = -1;

  constructor({ ledger }: { ledger: FirmLedger }) {
    this.#ledger = ledger;
  }

  /** Takes the guarantees of a new bundle; all homes are chosen anew. */
  setGuarantees(guarantees: Guarantee[]): void {
    copiesOf(this.#guarantees).forEach(({ guarantee, copy }) =>
      this.#ledger.release(homeKey(guarantee.name, copy)),
    );
    this.#guarantees = guarantees;
    this.#triedAt = -1;
  }

  /** Notes why homes may have become impossible. */
  workerLost(worker: string): void {
    this.#lastLost = worker;
    this.#triedAt = -1;
  }

  /** Home of a copy that isn't claimed, as worker names; empty if there is none. */
  homesOf(guarantee: Guarantee): string[][] {
    return Array.from({ length: guarantee.count }, (_, copy) =>
      (this.#ledger.members(homeKey(guarantee.name, copy)) ?? []).map(({ worker }) => worker),
    ).filter((workers) => workers.length > 0);
  }

  /** Gives one copy of a guarantee to a claim; false if all are taken. Prefers the copy at `workers`. */
  claim(guarantee: Guarantee, claim: string, workers: string[] = []): boolean {
    const free = copiesOf([guarantee])
      .map(({ copy }) => homeKey(guarantee.name, copy))
      .filter((key) => !this.#claimed.has(key));
    const at = (key: string) => this.#ledger.members(key)?.map(({ worker }) => worker) ?? [];
    const key = free.find((name) => at(name).some((worker) => workers.includes(worker))) ?? free[0];
    if (key === undefined) return false;
    this.#claimed.set(key, claim);
    this.#ledger.release(key);
    return true;
  }

  /** A claim has ended: its copy needs a home again. */
  unclaim(claim: string): void {
    [...this.#claimed]
      .filter(([, by]) => by === claim)
      .forEach(([key]) => this.#claimed.delete(key));
    this.#triedAt = -1;
  }

  /** Finds homes for copies without one; returns guarantees found broken now, each once. */
  repack(): BrokenGuarantee[] {
    if (this.#triedAt === this.#ledger.capacity.releases) return [];
    const missing = copiesOf(this.#guarantees)
      .filter(({ guarantee, copy }) => this.#isMissing(homeKey(guarantee.name, copy)))
      .sort((a, b) => sizeOf(b.guarantee) - sizeOf(a.guarantee));
    const left = missing.filter(({ guarantee, copy }) => !this.#settle(guarantee, copy));
    this.#triedAt = this.#ledger.capacity.releases;
    return this.#report(left.map(({ guarantee }) => guarantee));
  }

  #isMissing(key: string): boolean {
    return !this.#claimed.has(key) && !this.#ledger.has(key);
  }

  #settle(guarantee: Guarantee, copy: number): boolean {
    const members = findPlacement(this.#ledger.capacity, { shape: guarantee.shape });
    if (members === undefined) return false;
    this.#ledger.take(homeKey(guarantee.name, copy), members, guarantee.account);
    return true;
  }

  #report(left: Guarantee[]): BrokenGuarantee[] {
    const names = new Set(left.map(({ name }) => name));
    [...this.#broken]
      .filter((name) => !names.has(name))
      .forEach((name) => this.#broken.delete(name));
    const fresh = [...new Set(left)].filter(({ name }) => !this.#broken.has(name));
    fresh.forEach(({ name }) => this.#broken.add(name));
    return fresh.map((guarantee) => ({
      guarantee: guarantee.name,
      why: this.#why(guarantee, left.filter((other) => other === guarantee).length),
    }));
  }

  #why({ count, shape, account }: Guarantee, copiesLeft: number): string {
    const { capacity } = this.#ledger;
    const [roomiest] = capacity.racksByFree.descending(0);
    return (
      `${copiesLeft} of ${count} copies for ${account} have no place: ${shape.tasks} tasks of ` +
      `${shape.acceleratorsPerTask} accelerators within one ${shape.adjacency}; ` +
      `${capacity.free} accelerators are left beside other guarantees and firm work, at most ` +
      `${roomiest?.free ?? 0} in one rack` +
      `${this.#lastLost === '' ? '' : `, since worker ${this.#lastLost} left`}.`
    );
  }
}

function sizeOf({ shape }: Guarantee): number {
  return shape.tasks * shape.acceleratorsPerTask;
}
