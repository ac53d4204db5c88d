/**
 * Whose runs are stopped so that a group gets its room. The load it answers: a client account claims what is
 * guaranteed to it while others use it. Victims are those that lose least work.
 */
import { byRack, isEligible, tasksThatFit, totalThatFit, type Group, type Room } from './room.js';
import type { HeldRoom } from './room-ledger.js';

/** What stops together: a single run, or all members of a gang. */
export interface Victim {
  key: string;
  members: readonly HeldRoom[];
  /** Accelerator-milliseconds of work that would have to be done again. */
  loss: number;
}

/** Victims in one plan, and what they lose together. */
export interface RoomPlan {
  victims: Victim[];
  loss: number;
}

/**
 * The cheapest victims whose room takes the whole group; undefined if none do. With a bound on their loss, tasks that
 * work alone get as much room as it allows.
 */
export function planRoom(
  group: Group,
  rooms: readonly Room[],
  victims: readonly Victim[],
  mostLoss = Infinity,
): RoomPlan | undefined {
  const eligible = rooms.filter((room) => isEligible(group, room));
  const areas = group.gang && group.oneRack ? byRack(eligible) : [eligible];
  return areas
    .map((area) => planAmong(group, area, victims, mostLoss))
    .filter((plan) => plan !== undefined)
    .sort((a, b) => a.loss - b.loss)[0];
}

function planAmong(
  group: Group,
  rooms: readonly Room[],
  victims: readonly Victim[],
  mostLoss: number,
): RoomPlan | undefined {
  const area = new Map(rooms.map((room) => [room.vm, room.copy()]));
  const chosen: Victim[] = [];
  let loss = 0;
  while (totalThatFit(group, area.values()) < group.indexes.length) {
    const step = cheapestStep(group, area, victims, chosen);
    const stepLoss = sumOfLoss(step ?? []);
    if (step === undefined || loss + stepLoss > mostLoss) {
      const isPartOfUse = !group.gang && mostLoss < Infinity && chosen.length > 0;
      return isPartOfUse ? { victims: chosen, loss } : undefined;
    }
    step.forEach((victim) => giveBack(area, victim));
    chosen.push(...step);
    loss += stepLoss;
  }
  return { victims: chosen, loss };
}

function sumOfLoss(victims: readonly Victim[]): number {
  return victims.reduce((sum, { loss }) => sum + loss, 0);
}

/** On some worker, the victims whose end lets one more task in, at the least loss. */
function cheapestStep(
  group: Group,
  area: ReadonlyMap<string, Room>,
  victims: readonly Victim[],
  chosen: readonly Victim[],
): Victim[] | undefined {
  let best: { victims: Victim[]; loss: number } | undefined;
  area.forEach((room, vm) => {
    const here = victims
      .filter((victim) => !chosen.includes(victim))
      .filter(({ members }) => members.some((member) => member.vm === vm))
      .sort((a, b) => a.loss - b.loss);
    const before = tasksThatFit(group, room);
    const trial = room.copy();
    const used: Victim[] = [];
    here.some((victim) => {
      used.push(victim);
      victim.members
        .filter((member) => member.vm === vm)
        .forEach(({ demand }) => trial.take(demand, -1));
      return tasksThatFit(group, trial) > before;
    });
    if (tasksThatFit(group, trial) <= before) return;
    const needed = withoutNeedless(group, room, used, before);
    const loss = sumOfLoss(needed);
    if (best === undefined || loss < best.loss) best = { victims: needed, loss };
  });
  return best?.victims;
}

/** Leaves out those whose room isn't needed after all, dearest first. */
function withoutNeedless(
  group: Group,
  room: Room,
  used: readonly Victim[],
  before: number,
): Victim[] {
  return [...used].reverse().reduce(
    (kept, victim) => {
      const rest = kept.filter((each) => each !== victim);
      const trial = room.copy();
      rest.forEach(({ members }) =>
        members.filter(({ vm }) => vm === room.vm).forEach(({ demand }) => trial.take(demand, -1)),
      );
      return tasksThatFit(group, trial) > before ? rest : kept;
    },
    [...used],
  );
}

function giveBack(area: ReadonlyMap<string, Room>, { members }: Victim): void {
  members.forEach(({ vm, demand }) => {
    const room = area.get(vm);
    room?.take(demand, -1);
  });
}
