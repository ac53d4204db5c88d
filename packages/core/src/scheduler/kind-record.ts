/** Recent successes and failures per account and kind on each worker, to compare a worker with its peers. */

const HALF_LIFE_MS = 900_000;
/** Peers must finish at least this share for a failure to count against a worker. */
const PEERS_FINISH = 0.7;
const MAX_GROUPS = 4000;

interface Tally {
  succeeded: number;
  failed: number;
  at: number;
}

/** Decayed counts by `<account>/<kind>` and worker. */
export class KindRecord {
  readonly #groups = new Map<string, Map<string, Tally>>();

  /** Notes an end. */
  note(
    {
      worker,
      account,
      kind,
      succeeded,
    }: { worker: string; account: string; kind: string; succeeded: boolean },
    now: number,
  ): void {
    const tally = this.#tally(`${account}/${kind}`, worker);
    decay(tally, now);
    if (succeeded) tally.succeeded += 1;
    else tally.failed += 1;
  }

  /** Do other workers finish what this account submits of this kind? */
  finishesElsewhere(
    { worker, account, kind }: { worker: string; account: string; kind: string },
    now: number,
  ): boolean {
    const peers = [...(this.#groups.get(`${account}/${kind}`) ?? [])].filter(
      ([id]) => id !== worker,
    );
    peers.forEach(([, tally]) => decay(tally, now));
    const succeeded = peers.reduce((total, [, tally]) => total + tally.succeeded, 0);
    const failed = peers.reduce((total, [, tally]) => total + tally.failed, 0);
    return succeeded > 0.1 && succeeded / (succeeded + failed) >= PEERS_FINISH;
  }

  #tally(group: string, worker: string): Tally {
    const tallies = this.#groups.get(group) ?? new Map<string, Tally>();
    this.#groups.delete(group);
    this.#groups.set(group, tallies);
    if (this.#groups.size > MAX_GROUPS) {
      const [oldest] = this.#groups.keys();
      if (oldest !== undefined) this.#groups.delete(oldest);
    }
    const tally = tallies.get(worker) ?? { succeeded: 0, failed: 0, at: 0 };
    tallies.set(worker, tally);
    return tally;
  }
}

function decay(tally: Tally, now: number): void {
  const factor = 0.5 ** (Math.max(0, now - tally.at) / HALF_LIFE_MS);
  Object.assign(tally, {
    succeeded: tally.succeeded * factor,
    failed: tally.failed * factor,
    at: now,
  });
}
