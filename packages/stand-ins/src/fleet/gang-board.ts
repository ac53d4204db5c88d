/** What the runners of one emulated service know together: which members of each gang's run are present. */

/** A member's hook: told when its whole gang is present, or when the gang is over. */
export interface GangMember {
  begin: () => void;
  end: (how: 'done' | 'broken') => void;
}

/** Members by gang and run. */
export class GangBoard {
  readonly #gangs = new Map<string, Map<string, GangMember>>();

  /** Members that have done their work, by gang and run. */
  readonly #finished = new Map<string, Set<string>>();

  /** A member has come; all begin once `size` of them are there. */
  join(
    gang: string,
    { task, size, member }: { task: string; size: number; member: GangMember },
  ): void {
    const members = this.#gangs.get(gang) ?? new Map<string, GangMember>();
    this.#gangs.set(gang, members);
    members.set(task, member);
    if (members.size === size) members.forEach(({ begin }) => begin());
  }

  /** One has done its work, and waits for the others: they end together. */
  finish(gang: string, task: string): void {
    const members = this.#gangs.get(gang);
    if (members === undefined) return;
    const finished = this.#finished.get(gang) ?? new Set<string>();
    this.#finished.set(gang, finished.add(task));
    if (finished.size < members.size) return;
    this.#drop(gang);
    members.forEach(({ end }) => end('done'));
  }

  /** One has ended before its gang was done: so do the others. */
  leave(gang: string, task: string): void {
    const members = this.#gangs.get(gang);
    if (members === undefined) return;
    members.delete(task);
    this.#drop(gang);
    members.forEach(({ end }) => end('broken'));
  }

  #drop(gang: string): void {
    this.#gangs.delete(gang);
    this.#finished.delete(gang);
  }
}
