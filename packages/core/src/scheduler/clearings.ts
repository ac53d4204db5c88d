/** Places that are being cleared: their room is held from others while victims leave. */
import type { Capacity } from '../gang/placement-capacity.js';
import type { Member } from '../gang/shape.js';

/** A place promised to a job or claim, and the jobs that must leave it first. */
export interface Clearing {
  key: string;
  members: Member[];
  victims: Set<string>;
  /** The place can't be had any more: a worker of it is gone. */
  broken: boolean;
}

/** Places being cleared in one failure domain, by the key of who gets them. */
export class Clearings {
  readonly #byKey = new Map<string, Clearing>();

  readonly #byVictim = new Map<string, Set<Clearing>>();

  get size(): number {
    return this.#byKey.size;
  }

  has(key: string): boolean {
    return this.#byKey.has(key);
  }

  /** Promises a place; its accelerators count as taken from now on, also where victims still run. */
  add(capacity: Capacity, key: string, members: Member[], victims: string[]): void {
    const clearing = { key, members, victims: new Set(victims), broken: false };
    capacity.take(members);
    this.#byKey.set(key, clearing);
    victims.forEach((victim) => {
      const waiting = this.#byVictim.get(victim) ?? new Set();
      this.#byVictim.set(victim, waiting.add(clearing));
    });
  }

  /** A job has left its place. */
  left(victim: string): void {
    this.#byVictim.get(victim)?.forEach((clearing) => clearing.victims.delete(victim));
    this.#byVictim.delete(victim);
  }

  /** A worker is gone: places with a part on it can't be had any more. */
  dropWorker(worker: string): void {
    this.#byKey.forEach((clearing) => {
      const members = clearing.members.filter((member) => member.worker !== worker);
      if (members.length === clearing.members.length) return;
      Object.assign(clearing, { members, broken: true });
    });
  }

  /** Ends a promise, giving its room back to the capacity. */
  remove(capacity: Capacity, key: string): Clearing | undefined {
    const clearing = this.#byKey.get(key);
    if (clearing === undefined) return undefined;
    this.#byKey.delete(key);
    clearing.victims.forEach((victim) => this.#byVictim.get(victim)?.delete(clearing));
    capacity.release(clearing.members);
    return clearing;
  }

  /** Places whose victims have all left, and broken ones. */
  settled(): Clearing[] {
    return [...this.#byKey.values()].filter(({ victims, broken }) => broken || victims.size === 0);
  }
}
