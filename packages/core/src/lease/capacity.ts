/** What of one worker is free: each accelerator belongs to one reservation at a time. */
import type { Member } from '../gang/shape.js';
import type { Worker } from '../upstream/upstream.js';

/** A reservation that still takes capacity. `claim` is set for a claim's hold, `within` for what runs in one. */
export interface Holding {
  key: string;
  member: Member;
  claim: boolean;
  within?: string | undefined;
}

interface Amount {
  accelerators: ReadonlySet<number>;
  cores: number;
  memoryMb: number;
}

function sum(holdings: Holding[]): Amount {
  return {
    accelerators: new Set(holdings.flatMap(({ member }) => member.accelerators)),
    cores: holdings.reduce((total, { member }) => total + member.cores, 0),
    memoryMb: holdings.reduce((total, { member }) => total + member.memoryMb, 0),
  };
}

function whole(worker: Worker): Amount {
  return {
    accelerators: new Set(Array.from({ length: worker.accelerators }, (_, number) => number)),
    cores: worker.cores,
    memoryMb: worker.memoryMb,
  };
}

/** Why `wanted` can't be taken, or undefined if it can. */
export function whyTaken({
  worker,
  wanted,
  holdings,
}: {
  worker: Worker;
  wanted: Holding;
  holdings: Holding[];
}): string | undefined {
  const claims = holdings.filter(({ claim, key }) => claim && key === wanted.within);
  if (wanted.within !== undefined && claims.length === 0) {
    return `claim ${wanted.within} isn't held here`;
  }
  const limit = wanted.within === undefined ? whole(worker) : sum(claims);
  return whyBeyond(wanted.member, limit, sum(competing(wanted, holdings)));
}

/** Holdings that `wanted` must share its limit with. */
function competing(wanted: Holding, holdings: Holding[]): Holding[] {
  if (wanted.within !== undefined) {
    return holdings.filter(({ within }) => within === wanted.within);
  }
  const held = new Set(holdings.filter(({ claim }) => claim).map(({ key }) => key));
  if (wanted.claim) held.add(wanted.key);
  // What runs in a held claim is counted with the claim.
  return holdings.filter(({ within }) => within === undefined || !held.has(within));
}

function whyBeyond(member: Member, limit: Amount, used: Amount): string | undefined {
  const unknown = member.accelerators.find((number) => !limit.accelerators.has(number));
  if (unknown !== undefined) return `accelerator ${unknown} isn't part of what may be used`;
  const taken = member.accelerators.find((number) => used.accelerators.has(number));
  if (taken !== undefined) return `accelerator ${taken} is taken`;
  if (used.cores + member.cores > limit.cores) {
    return `only ${limit.cores - used.cores} cores are free`;
  }
  if (used.memoryMb + member.memoryMb > limit.memoryMb) {
    return `only ${limit.memoryMb - used.memoryMb} MB are free`;
  }
  return undefined;
}
