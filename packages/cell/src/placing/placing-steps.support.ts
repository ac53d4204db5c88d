/** What steps about placing have in common. */
import assert from 'node:assert/strict';
import type { Demand } from '../job/submission.js';
import type { RoomPlan, Victim } from './reclaim.js';
import { Room, type Group, type Placed } from './room.js';

/** What the steps of a scenario share. */
export interface PlacingSteps {
  rooms: Room[];
  victims: Victim[];
  placed: Placed[];
  plan: RoomPlan | undefined;
  order: string[];
}

/** Room of so many accelerators and nothing else. */
export function accelerators(count: number): Demand {
  return { milliCores: 0, memoryMb: 0, accelerators: count };
}

/** The numbers in a text. */
export function numbers(list: string): number[] {
  return (list.match(/\d+/g) ?? []).map(Number);
}

/** Workers with so many of 8 accelerators free. */
export function newRooms(free: readonly number[], perRack: number): Room[] {
  return free.map(
    (count, index) =>
      new Room({
        vm: `worker ${index + 1}`,
        runner: `runner ${index + 1}`,
        rack: `r${Math.floor(index / perRack)}`,
        labels: [],
        service: 'render',
        free: accelerators(count),
        capacity: accelerators(8),
      }),
  );
}

/** Tasks of one step that work alone, unless said otherwise. */
export function newGroup(tasks: number, each: number, change: Partial<Group> = {}): Group {
  return {
    jobId: 'job',
    occurrence: 0,
    step: 0,
    indexes: Array.from({ length: tasks }, (_, index) => index),
    service: 'render',
    demand: accelerators(each),
    gang: false,
    oneRack: false,
    rack: undefined,
    label: undefined,
    maxPerWorker: undefined,
    present: new Map(),
    avoided: new Set(),
    isUrgent: false,
    isSuspect: false,
    startsAlone: false,
    ...change,
  };
}

/** The room on a worker, by its number. */
export function roomOf({ rooms }: PlacingSteps, worker: number): Room {
  const room = rooms[worker - 1];
  assert.ok(room);
  return room;
}
