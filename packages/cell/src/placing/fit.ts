/**
 * Where a group goes: best fit. The load it answers is mixed, tasks of one accelerator and tasks that need a whole
 * worker: the tightest worker that takes a task is chosen, so that empty workers stay empty for those that need them.
 */
import { byRack, tasksThatFit, totalThatFit, type Group, type Placed, type Room } from './room.js';

/** Places as much of the group as fits, and takes the room. A gang is placed whole or not at all. */
export function placeGroup(group: Group, rooms: readonly Room[]): Placed[] {
  const fitting = rooms.filter((room) => tasksThatFit(group, room) > 0);
  if (group.gang && group.oneRack) return placeOnOneRack(group, fitting);
  return placeAmong(group, fitting);
}

function placeOnOneRack(group: Group, rooms: readonly Room[]): Placed[] {
  const candidates = byRack(rooms)
    .map((members) => ({ members, fitting: totalThatFit(group, members) }))
    .filter(({ fitting }) => fitting >= group.indexes.length)
    // The rack that is left with least.
    .sort((a, b) => a.fitting - b.fitting);
  return placeAmong(group, candidates[0]?.members ?? []);
}

function placeAmong(group: Group, rooms: readonly Room[]): Placed[] {
  if (group.gang && totalThatFit(group, rooms) < group.indexes.length) return [];
  const waiting = [...group.indexes];
  const placed: Placed[] = [];
  const ordered = group.isSuspect ? emptiestFirst(rooms) : tightestFirst(rooms, group.isUrgent);
  ordered.forEach((room) => {
    const count = Math.min(tasksThatFit(group, room), waiting.length);
    room.place(group, count);
    waiting.splice(0, count).forEach((index) => placed.push({ index, vm: room.vm }));
  });
  return placed;
}

/** Sound workers first, for urgent work also those that aren't slow for now; among them those with the least free. */
function tightestFirst(rooms: readonly Room[], isUrgent: boolean): Room[] {
  return [...rooms].sort(
    (a, b) =>
      a.suspicion - b.suspicion ||
      (isUrgent ? Number(a.isCold) - Number(b.isCold) : 0) ||
      a.free.accelerators - b.free.accelerators ||
      a.free.milliCores - b.free.milliCores,
  );
}

/**
 * For tasks that may crash their runner: where least is lost with it, and not where the runner has just come back, as it may
 * be that one which crashes.
 */
function emptiestFirst(rooms: readonly Room[]): Room[] {
  return [...rooms].sort(
    (a, b) =>
      a.suspicion - b.suspicion ||
      Number(a.isFresh) - Number(b.isFresh) ||
      b.free.accelerators - a.free.accelerators ||
      b.free.milliCores - a.free.milliCores,
  );
}
