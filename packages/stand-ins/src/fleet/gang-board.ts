/** What the runners of one emulated service know together: which members of each gang's run are present. */

/** A member's hook: told when its whole gang is present, or when the gang is over. */
export interface GangMember {
  begin: () => void;
  end: (how: 'done' | 'broken') => void;
}

/** Members by gang and run. */
export class GangBoard {
  readonly #gangs = new Map<string, Map<string, GangMember>>();

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

  /** One has ended: so do the others, as done with it or as broken. */
  leave(gang: string, task: string, how: 'done' | 'broken'): void {
    const members = this.#gangs.get(gang);
    if (members === undefined) return;
    members.delete(task);
    this.#gangs.delete(gang);
    members.forEach(({ end }) => end(how));
  }
}
