/** Recent successes and failures per account and kind, in all and on each worker, to compare it with its peers. */

const HALF_LIFE_MS = 900_000;
/** Peers must finish at least this share for a failure to count against a worker. */
const PEERS_FINISH = 0.7;
/** What of a success is left after some hours, and counts as none. */
const LEAST = 0.1;
const MAX_GROUPS = 4000;
const MAX_WORKERS = 128;

interface Tally {
  succeeded: number;
  failed: number;
  at: number;
}

interface Group {
  all: Tally;
  workers: Map<string, Tally>;
}

/** Whose work, of which kind, where. */
export interface KindOnWorker {
  worker: string;
  account: string;
  kind: string;
}

/** Decayed counts. Groups and workers not heard of for longest are dropped beyond a bound. */
export class KindRecord {
  readonly #groups = new Map<string, Group>();

  /** Notes an end. */
  note(
    { worker, account, kind, succeeded }: KindOnWorker & { succeeded: boolean },
    now: number,
  ): void {
    const group = this.#group(`${account}/${kind}`, now);
    const own = group.workers.get(worker) ?? emptyTally(now);
    group.workers.delete(worker);
    group.workers.set(worker, own);
    dropOldest(group.workers, MAX_WORKERS);
    [group.all, own].forEach((tally) => count(tally, succeeded, now));
  }

  /** Do other workers finish what this account submits of this kind? */
  finishesElsewhere({ worker, account, kind }: KindOnWorker, now: number): boolean {
    const group = this.#groups.get(`${account}/${kind}`);
    if (group === undefined) return false;
    const own = group.workers.get(worker) ?? emptyTally(now);
    decay(group.all, now);
    decay(own, now);
    const succeeded = group.all.succeeded - own.succeeded;
    const failed = Math.max(0, group.all.failed - own.failed);
    return succeeded > LEAST && succeeded / (succeeded + failed) >= PEERS_FINISH;
  }

  #group(name: string, now: number): Group {
    const group = this.#groups.get(name) ?? { all: emptyTally(now), workers: new Map() };
    this.#groups.delete(name);
    this.#groups.set(name, group);
    dropOldest(this.#groups, MAX_GROUPS);
    return group;
  }
}

function emptyTally(now: number): Tally {
  return { succeeded: 0, failed: 0, at: now };
}

function dropOldest(map: Map<string, unknown>, most: number): void {
  if (map.size <= most) return;
  const [oldest] = map.keys();
  if (oldest !== undefined) map.delete(oldest);
}

function count(tally: Tally, succeeded: boolean, now: number): void {
  decay(tally, now);
  if (succeeded) Object.assign(tally, { succeeded: tally.succeeded + 1 });
  else Object.assign(tally, { failed: tally.failed + 1 });
}

function decay(tally: Tally, now: number): void {
  const factor = 0.5 ** (Math.max(0, now - tally.at) / HALF_LIFE_MS);
  Object.assign(tally, {
    succeeded: tally.succeeded * factor,
    failed: tally.failed * factor,
    at: now,
  });
}
