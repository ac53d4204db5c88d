/**
 * Bounds one account's burst: its quota always, and its weighted part of the capacity while all is busy. The
 * unused parts of quiet accounts are lent out, and come back as the borrower's requests end.
 */
import type { ClientAccount } from '../client-account/client-account.js';
import { problem, type Problem } from '../error/problem.js';
import { RetryPacer } from './retry-pacer.js';

export type LimiterAnswer = { type: 'admitted' } | { type: 'refused'; problem: Problem };

/** An account that asked within this long takes part in the sharing. */
const ACTIVE_MS = 1000;
/** Weight of the latest request in the mean time that an account's requests take. */
const ALPHA = 0.05;
/** Taken for the time of a request until some have ended. */
const ASSUMED_MS = 100;

interface AccountLoad {
  weight: number;
  quota: number;
  inProgress: number;
  askedAt: number;
  meanMs: number;
  pacer: RetryPacer;
}

/** Requests in progress per account at one entry. Times in ms. */
export class AccountLimiter {
  readonly #entries: () => number;

  readonly #busyShare: number;

  readonly #most: number;

  readonly #pacer = new RetryPacer();

  /** Time that requests take, over all accounts. */
  #meanMs = ASSUMED_MS;

  readonly #accounts = new Map<string, AccountLoad>();

  #capacity: number;

  #inProgress = 0;

  constructor({
    entries,
    capacity = 1000,
    busyShare = 0.8,
    most = Infinity,
  }: {
    /** Entries among which quotas are divided, this one included. */
    entries: () => number;
    /** Requests in progress that the runners can carry from this entry. */
    capacity?: number;
    /** Share of the capacity in use at which weighted parts are enforced. */
    busyShare?: number;
    /** Bound of this entry over all accounts, whatever the capacity. */
    most?: number;
  }) {
    this.#entries = entries;
    this.#capacity = Math.min(most, capacity);
    this.#busyShare = busyShare;
    this.#most = most;
  }

  /** Weights and quotas from the bundle in force. */
  setAccounts(accounts: ClientAccount[]): void {
    const names = new Set(accounts.map(({ name }) => name));
    accounts.forEach(({ name, share, quota }) => {
      Object.assign(this.#load(name), { weight: share, quota: quota.requests });
    });
    [...this.#accounts]
      .filter(([name, { inProgress }]) => !names.has(name) && inProgress === 0)
      .forEach(([name]) => this.#accounts.delete(name));
  }

  /** What can be in progress now; it changes with the runners. */
  setCapacity(capacity: number): void {
    this.#capacity = Math.max(1, Math.min(this.#most, capacity));
  }

  /** Admits a request, counting it until `ended`, or refuses it at once. */
  start(account: string, now: number): LimiterAnswer {
    const load = this.#load(account);
    load.askedAt = now;
    if (this.#inProgress >= this.#most) return this.#refuseAll(now);
    const quota = Math.ceil(load.quota / Math.max(1, this.#entries()));
    if (load.inProgress >= quota) return this.#refuse('quota-exceeded', account, quota, now);
    if (this.#inProgress >= this.#capacity * this.#busyShare) {
      const part = this.#part(load, now);
      if (load.inProgress >= part) return this.#refuse('overloaded', account, part, now);
    }
    load.inProgress += 1;
    this.#inProgress += 1;
    return { type: 'admitted' };
  }

  /** An admitted request ended after `ms`. */
  ended(account: string, ms: number): void {
    const load = this.#load(account);
    load.inProgress = Math.max(0, load.inProgress - 1);
    this.#inProgress = Math.max(0, this.#inProgress - 1);
    load.meanMs += ALPHA * (ms - load.meanMs);
    this.#meanMs += ALPHA * (ms - this.#meanMs);
  }

  /** Requests in progress, of an account or in all. */
  inProgress(account?: string): number {
    if (account === undefined) return this.#inProgress;
    return this.#accounts.get(account)?.inProgress ?? 0;
  }

  /** The account's weighted part of the capacity among the accounts active now. */
  #part(load: AccountLoad, now: number): number {
    const weights = [...this.#accounts.values()]
      .filter(({ inProgress, askedAt }) => inProgress > 0 || now - askedAt < ACTIVE_MS)
      .reduce((total, { weight }) => total + weight, 0);
    // Alone it still leaves the busy margin, so that others find room when they come.
    const share = Math.min(this.#busyShare, load.weight / weights);
    return Math.max(1, Math.floor(this.#capacity * share));
  }

  #refuse(
    kind: 'quota-exceeded' | 'overloaded',
    account: string,
    bound: number,
    now: number,
  ): LimiterAnswer {
    const load = this.#load(account);
    const retryAfterMs = load.pacer.next(now, Math.max(1, bound) / Math.max(1, load.meanMs));
    const detail = `Client account ${account} has ${load.inProgress} requests in progress here; ${bound} may be.`;
    const remedy = 'Send the request again after retryAfterMs, with fewer at once.';
    const facts = { inProgress: load.inProgress, bound };
    return { type: 'refused', problem: problem(kind, { detail, remedy, retryAfterMs, facts }) };
  }

  #refuseAll(now: number): LimiterAnswer {
    const bound = this.#most;
    const retryAfterMs = this.#pacer.next(now, bound / Math.max(1, this.#meanMs));
    const detail = `This entry has ${this.#inProgress} requests in progress; ${bound} may be.`;
    const remedy = 'Send the request again after retryAfterMs; another entry may have room.';
    const facts = { inProgress: this.#inProgress, bound };
    return {
      type: 'refused',
      problem: problem('overloaded', { detail, remedy, retryAfterMs, facts }),
    };
  }

  #load(account: string): AccountLoad {
    const known = this.#accounts.get(account);
    if (known) return known;
    const made = {
      weight: 1,
      quota: 200,
      inProgress: 0,
      askedAt: Number.NEGATIVE_INFINITY,
      meanMs: ASSUMED_MS,
      pacer: new RetryPacer(),
    };
    this.#accounts.set(account, made);
    return made;
  }
}
