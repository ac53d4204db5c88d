/** One claim of a guaranteed shape, and the room for jobs that run inside it. */
import { findPlacement } from '../gang/placement.js';
import { Capacity } from '../gang/placement-capacity.js';
import type { Member, Shape } from '../gang/shape.js';
import type { Guarantee } from './guarantee.js';

/** `asked`: no place yet. `clearing`: victims are leaving. `placed`: told to the owner. `held`: confirmed. */
export type ClaimState = 'asked' | 'clearing' | 'placed' | 'held';

/** A claim. Times are wall-clock ms. */
export class Claim {
  readonly key: string;

  readonly account: string;

  readonly guarantee: Guarantee;

  readonly askedAt: number;

  state: ClaimState = 'asked';

  members: Member[] = [];

  /** Its own workers, as large as its members on each, and their accelerator numbers. */
  #room = new Capacity();

  #numbers = new Map<string, number[]>();

  constructor({
    key,
    account,
    guarantee,
    askedAt,
  }: Pick<Claim, 'key' | 'account' | 'guarantee' | 'askedAt'>) {
    this.key = key;
    this.account = account;
    this.guarantee = guarantee;
    this.askedAt = askedAt;
  }

  /** Accelerators of the guaranteed shape. */
  get size(): number {
    return this.guarantee.shape.tasks * this.guarantee.shape.acceleratorsPerTask;
  }

  /** When the claim must be held at the latest. */
  get dueAt(): number {
    return this.askedAt + this.guarantee.withinMs;
  }

  become(state: ClaimState): void {
    this.state = state;
  }

  /** Without a place again. */
  reset(): void {
    this.state = 'asked';
    this.members = [];
  }

  /** A worker is gone: the claim has no part on it any more. */
  dropWorker(worker: string): void {
    this.members = this.members.filter((member) => member.worker !== worker);
  }

  /** Gives the claim its place, with nothing running in it. */
  setMembers(members: Member[], capacity: Capacity): void {
    this.members = members;
    this.#room = new Capacity();
    this.#numbers = new Map();
    members.forEach((member) => {
      const numbers = this.#numbers.get(member.worker) ?? [];
      this.#numbers.set(member.worker, [...numbers, ...member.accelerators]);
    });
    this.#numbers.forEach((numbers, id) => {
      const worker = capacity.workers.get(id);
      if (worker === undefined) return;
      const own = members.filter((member) => member.worker === id);
      this.#room.add({
        ...worker.spec,
        accelerators: numbers.length,
        cores: own.reduce((sum, { cores }) => sum + cores, 0),
        memoryMb: own.reduce((sum, { memoryMb }) => sum + memoryMb, 0),
      });
    });
  }

  /** Places a gang inside the claim; undefined if there is no room in it now. */
  findPlacement(shape: Shape, spread: boolean): Member[] | undefined {
    const members = findPlacement(this.#room, { shape, spread });
    return members?.map((member) => {
      const numbers = this.#numbers.get(member.worker) ?? [];
      return { ...member, accelerators: member.accelerators.map((index) => numbers[index]!) };
    });
  }

  /** Counts members of a job as running inside the claim. */
  take(members: Member[]): void {
    this.#room.take(this.#indexed(members));
  }

  release(members: Member[]): void {
    this.#room.release(this.#indexed(members));
  }

  #indexed(members: Member[]): Member[] {
    return members.map((member) => {
      const numbers = this.#numbers.get(member.worker) ?? [];
      const accelerators = member.accelerators.map((number) => numbers.indexOf(number));
      return { ...member, accelerators: accelerators.filter((index) => index >= 0) };
    });
  }
}
