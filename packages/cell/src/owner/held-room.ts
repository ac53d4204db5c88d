/** Capacity that stops have freed for a group and that no other group gets until the group has started. */
import type { HeldCapacity } from '../placing/capacity-ledger.js';
import type { TaskGroup } from '../placing/available-worker.js';

/**
 * Capacity is held for at most this long after the stop, in ms. A stop takes up to 900 ms, the contacts and the stored start another
 * 900; a group that hasn't started by then lacks something else, and the capacity would idle.
 */
const MAX_HOLD_MS = 2500;

interface Hold {
  since: number;
  /** Tasks that haven't started yet, of those that the capacity was freed for. */
  tasks: number;
  members: readonly HeldCapacity[];
}

/** One instance per ownership term; a successor starts without holds. */
export class HeldRoom {
  readonly #holds = new Map<string, Hold>();

  /** Holds what a stop made at `now` frees for the group. A later stop for the same group extends the hold. */
  hold(group: TaskGroup, members: readonly HeldCapacity[], now: number): void {
    this.#holds.set(groupKey(group), { since: now, tasks: members.length, members });
  }

  /** Tasks of the group have started: once all have, nothing is held any more. */
  noteStarted(group: TaskGroup, tasks: number): void {
    const hold = this.#holds.get(groupKey(group));
    if (hold === undefined) return;
    hold.tasks -= tasks;
    if (hold.tasks <= 0) this.#holds.delete(groupKey(group));
  }

  /** When the stop was made that frees capacity for the group; undefined if none is held for it now. */
  heldSince(group: TaskGroup, now: number): number | undefined {
    return this.#current(group, now)?.since;
  }

  /** Capacity held for the group now. */
  heldFor(group: TaskGroup, now: number): readonly HeldCapacity[] {
    return this.#current(group, now)?.members ?? [];
  }

  /** Drops holds that have ended. */
  prune(now: number): void {
    this.#holds.forEach(({ since }, key) => {
      if (now - since > MAX_HOLD_MS) this.#holds.delete(key);
    });
  }

  #current(group: TaskGroup, now: number): Hold | undefined {
    const hold = this.#holds.get(groupKey(group));
    return hold !== undefined && now - hold.since <= MAX_HOLD_MS ? hold : undefined;
  }
}

function groupKey({ jobId, occurrence, step }: TaskGroup): string {
  return `${jobId}.${occurrence}.${step}`;
}
