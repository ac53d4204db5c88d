/** Claims of guaranteed shapes: finds each a place, evicting what borrows it, and holds it while victims leave. */
import { problem } from '../error/problem.js';
import { findPlacement, freeSlots } from '../gang/placement.js';
import type { Member } from '../gang/shape.js';
import type { DomainState } from '../scheduler/domain-state.js';
import { markLeaving } from '../scheduler/running-jobs.js';
import type { Decision } from '../scheduler/scheduler.js';
import { Claim } from './claim.js';
import { clear, type Clearance } from './victims.js';

/** Places that are compared before the cheapest is taken. */
const MAX_PLACES = 8;

/** Part of a claim's limit that victims may use to take a checkpoint. */
const CHECKPOINT_PART = 0.6;

/** Claims of one failure domain. */
export class ClaimBook {
  readonly #state: DomainState;

  readonly #claims = new Map<string, Claim>();

  #refusals: Decision[] = [];

  constructor({ state }: { state: DomainState }) {
    this.#state = state;
  }

  get held(): number {
    return [...this.#claims.values()].filter(({ state }) => state === 'held').length;
  }

  /** Claims that have no place yet. */
  get waiting(): number {
    return [...this.#claims.values()].filter(({ state }) => state === 'asked').length;
  }

  /** A claim whose place is confirmed. */
  heldClaim(key: string): Claim | undefined {
    const claim = this.#claims.get(key);
    return claim?.state === 'held' ? claim : undefined;
  }

  has(key: string): boolean {
    return this.#claims.has(key);
  }

  get(key: string): Claim | undefined {
    return this.#claims.get(key);
  }

  ask(ask: { key: string; account: string; guarantee: string; askedAt: number }): void {
    if (this.#claims.has(ask.key)) return;
    const guarantee = this.#state.view.guarantee(ask.guarantee);
    if (guarantee === undefined || guarantee.account !== ask.account) {
      this.#refuse(ask.key, `Account ${ask.account} has no guarantee ${ask.guarantee} here.`);
      return;
    }
    const mine = [...this.#claims.values()].filter((claim) => claim.guarantee === guarantee);
    if (mine.length >= guarantee.count) {
      this.#refuse(ask.key, `All ${guarantee.count} copies of ${guarantee.name} are claimed.`);
      return;
    }
    this.#claims.set(ask.key, new Claim({ ...ask, guarantee }));
  }

  /** A claim that was held before this owner took over. */
  found(found: { key: string; account: string; guarantee: string; members: Member[] }): void {
    this.#drop(found.key);
    const guarantee = this.#state.view.guarantee(found.guarantee);
    if (guarantee === undefined) return;
    const claim = new Claim({ ...found, guarantee, askedAt: 0 });
    this.#claims.set(found.key, claim);
    this.#state.capacity.take(found.members);
    this.#settle(claim, found.members);
    claim.become('held');
  }

  confirm(key: string): void {
    const claim = this.#claims.get(key);
    if (claim?.state === 'placed') claim.become('held');
  }

  /** A worker refused or was silent: the claim needs another place. */
  unplaced(key: string): void {
    const claim = this.#claims.get(key);
    if (claim === undefined) return;
    this.#free(claim);
  }

  /** Ends a claim. Jobs that still run in its place are counted on their own from now on. */
  release(key: string): void {
    this.#drop(key);
  }

  /** A worker is gone: claims with a part on it need another place. */
  dropWorker(worker: string): void {
    this.#claims.forEach((claim) => {
      if (!claim.members.some((member) => member.worker === worker)) return;
      claim.dropWorker(worker);
      this.#free(claim);
    });
  }

  /** Finds places, tells victims to leave, and holds what is clear. */
  decide(now: number): Decision[] {
    const decisions = this.#refusals;
    this.#refusals = [];
    const waiting = [...this.#claims.values()].filter(({ state }) => state === 'asked');
    waiting
      .sort((a, b) => a.dueAt - b.dueAt)
      .forEach((claim) => decisions.push(...this.#findPlace(claim, now)));
    return decisions;
  }

  /** A claim's place is clear, or can't be had any more. */
  cleared(key: string, members: Member[], broken: boolean): Decision[] {
    const claim = this.#claims.get(key);
    if (claim?.state !== 'clearing') return [];
    if (broken) {
      this.#free(claim);
      return [];
    }
    this.#state.capacity.take(members);
    claim.become('placed');
    return [{ type: 'hold', key, members }];
  }

  #findPlace(claim: Claim, now: number): Decision[] {
    const { capacity, clearings } = this.#state;
    const free = this.#findFree(claim);
    if (free !== undefined) {
      capacity.take(free);
      this.#settle(claim, free);
      claim.become('placed');
      return [{ type: 'hold', key: claim.key, members: free }];
    }
    const clearance = this.#cheapest(claim, now);
    if (clearance === undefined) return [];
    const { members, victims } = clearance;
    clearings.add(
      capacity,
      claim.key,
      members,
      victims.map(({ job }) => job.key),
    );
    this.#settle(claim, members);
    claim.become('clearing');
    return victims.map((victim) => {
      markLeaving(victim);
      return {
        type: 'evict',
        key: victim.job.key,
        reason: 'claim',
        for: claim.key,
        limitMs: this.#limitMs(claim, now),
      };
    });
  }

  #limitMs(claim: Claim, now: number): number {
    const left = Math.max(0, claim.dueAt - now) * CHECKPOINT_PART;
    return Math.floor(Math.min(left, this.#state.view.policy.checkpointLimitMs));
  }

  #findFree({ account, guarantee }: Claim): Member[] | undefined {
    const { capacity, ledger } = this.#state;
    return findPlacement(capacity, {
      shape: guarantee.shape,
      slots: (worker, shape) => {
        if (!worker.open) return 0;
        const firm = ledger.slots(account, worker, shape);
        return firm === 0 ? 0 : Math.min(firm, freeSlots(worker, shape));
      },
    });
  }

  /** Compares the claim's homes and other places where only evictable jobs stand in the way. */
  #cheapest(claim: Claim, now: number): Clearance | undefined {
    const { capacity, running } = this.#state;
    const cost = this.#state.evictionCost(claim.account, 'claim', now);
    let best: Clearance | undefined;
    for (const members of this.#places(claim)) {
      const clearance = clear({ capacity, running, members, cost });
      if (clearance === undefined) continue;
      if (best === undefined || clearance.cost < best.cost) best = clearance;
    }
    return best;
  }

  #places({ account, guarantee }: Claim): Member[][] {
    const { capacity, ledger, homes } = this.#state;
    const own = homes.homesOf(guarantee).map((workers) => new Set(workers));
    const excluded = new Set<string>();
    const search = (only?: Set<string>) =>
      findPlacement(ledger.capacity, {
        shape: guarantee.shape,
        strategy: 'first-fit',
        slots: (worker, shape) => {
          if (only === undefined ? excluded.has(worker.id) : !only.has(worker.id)) return 0;
          if (!capacity.workers.get(worker.id)?.open) return 0;
          return ledger.slots(account, worker, shape);
        },
      });
    const places = own.map((only) => search(only));
    while (places.length < MAX_PLACES) {
      const place = search();
      if (place === undefined) break;
      place.forEach(({ worker }) => excluded.add(worker));
      places.push(place);
    }
    return places.filter((place) => place !== undefined);
  }

  /** Gives a place to a claim: it takes the room of one home in the ledger. */
  #settle(claim: Claim, members: Member[]): void {
    const { homes, ledger, running, capacity } = this.#state;
    const workers = members.map(({ worker }) => worker);
    homes.claim(claim.guarantee, claim.key, workers);
    ledger.take(claim.key, members);
    claim.setMembers(members, capacity);
    this.#state.countClaim(claim.account, claim.size);
    // Jobs of the account that counted on this home run on borrowed room from now on.
    new Set(workers).forEach((worker) => {
      for (const job of running.on(worker)) {
        if (job.job.account === claim.account && !ledger.has(job.job.key)) job.inside = false;
      }
    });
  }

  /** Takes a claim's place away; it is asked for again. */
  #free(claim: Claim): void {
    const { capacity, clearings, ledger, homes } = this.#state;
    if (claim.state === 'asked') return;
    this.#evacuate(claim);
    if (claim.state !== 'clearing') capacity.release(claim.members);
    clearings.remove(capacity, claim.key);
    ledger.release(claim.key);
    homes.unclaim(claim.key);
    this.#state.countClaim(claim.account, -claim.size);
    claim.reset();
  }

  /** Jobs that run in a claim are counted on their own once it is gone. */
  #evacuate(claim: Claim): void {
    const { running, capacity } = this.#state;
    const inside = [...new Set(claim.members.flatMap(({ worker }) => [...running.on(worker)]))];
    inside
      .filter(({ within }) => within === claim.key)
      .forEach((job) => {
        running.remove(job.job.key);
        running.add({ ...job, within: undefined });
        capacity.take(job.members);
      });
  }

  #drop(key: string): void {
    const claim = this.#claims.get(key);
    if (claim === undefined) return;
    this.#free(claim);
    this.#claims.delete(key);
  }

  #refuse(key: string, detail: string): void {
    this.#refusals.push({
      type: 'refuse',
      key,
      problem: problem('not-allowed', {
        detail,
        remedy: 'Release a claim of this guarantee, or ask an operator for another one.',
      }),
    });
  }
}
