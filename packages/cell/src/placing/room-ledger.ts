/** Room on all workers during one pass: what is free now, and what will be free once all that is being stopped is gone. */
import { placeGroup } from './fit.js';
import type { Group, Placed, Room } from './room.js';
import type { Demand } from '../job/submission.js';

/** Room that a run holds on one worker. */
export interface HeldRoom {
  vm: string;
  demand: Demand;
}

/** Each group's room is taken from both, so that no two groups reckon with the same. */
export class RoomLedger {
  readonly #free: ReadonlyMap<string, Room>;

  readonly #coming: ReadonlyMap<string, Room>;

  constructor(rooms: readonly Room[], stopping: readonly HeldRoom[]) {
    this.#free = new Map(rooms.map((room) => [room.vm, room.copy()]));
    this.#coming = new Map(rooms.map((room) => [room.vm, room.copy()]));
    this.noteStopping(stopping);
  }

  /** As it is now, less what is promised. */
  get free(): Room[] {
    return [...this.#free.values()];
  }

  /** As it will be, less what is promised; copies. */
  get coming(): Room[] {
    return [...this.#coming.values()].map((room) => room.copy());
  }

  /** What holds this room is being stopped. */
  noteStopping(held: readonly HeldRoom[]): void {
    held.forEach(({ vm, demand }) => this.#coming.get(vm)?.take(demand, -1));
  }

  /** Places as much of the group as fits now and takes the room. */
  place(group: Group): Placed[] {
    const placed = placeGroup(group, this.free);
    placed.forEach(({ vm }) => this.#coming.get(vm)?.place(group, 1));
    return placed;
  }

  /** Keeps room for as much of the group as fits among what comes, a gang whole. Nobody else gets the free part of it. */
  promise(group: Group): Placed[] {
    const placed = placeGroup(group, [...this.#coming.values()]);
    placed.forEach(({ vm }) => {
      const coming = this.#coming.get(vm);
      if (coming !== undefined) this.#free.get(vm)?.limit(coming.free);
    });
    return placed;
  }

  /** Nothing more goes to these workers in this pass. */
  close(vms: readonly string[]): void {
    vms.forEach((vm) => {
      this.#free.get(vm)?.exhaust();
      this.#coming.get(vm)?.exhaust();
    });
  }
}
