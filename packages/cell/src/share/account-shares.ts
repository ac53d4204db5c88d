/** Shares of the client accounts as one scheduling pass sees them. */
import { NO_RESOURCES, addResources, type FairShare, type Resources } from '@zincspan/core';
import type { OwnedJob } from '../owner/owned-job.js';

/**
 * An account is within its share up to this multiple of its fair share. The use of an account scatters by the size of single jobs: with
 * 1.5, accounts that send 1 to 6 times as much as each other changed places so often on 55 crowded workers that 0.835 of all jobs were
 * in time instead of 0.871; with 2 it was 0.866.
 */
const MAX_OVERUSE = 2;

/** A job that went after jobs of others in a pass, as its account is beyond its share. */
export interface Deferral {
  job: OwnedJob;
  share: number;
  fairShare: number;
  competing: number;
}

/** Shares of one service, among the accounts that run or wait there now. */
export class ServiceShares {
  readonly #fairShare: FairShare;

  readonly #running: ReadonlyMap<string, Resources>;

  readonly #fairParts: ReadonlyMap<string, number>;

  readonly #now: number;

  constructor({
    fairShare,
    running,
    now,
  }: {
    fairShare: FairShare;
    /** What each competing account uses. */
    running: ReadonlyMap<string, Resources>;
    now: number;
  }) {
    this.#fairShare = fairShare;
    this.#running = running;
    this.#fairParts = fairShare.fairParts(running.keys());
    this.#now = now;
  }

  get competing(): Iterable<string> {
    return this.#running.keys();
  }

  get competitors(): number {
    return this.#running.size;
  }

  /** Half of it is what the account uses now, half what it used of late. */
  share(account: string): number {
    return this.#fairShare.share(account, this.#now);
  }

  /** The share due to the account. */
  fairShare(account: string): number {
    return this.#fairParts.get(account) ?? 1;
  }

  /** The account's share relative to its fair share: 1 means exactly that. */
  overuse(account: string): number {
    return this.share(account) / this.fairShare(account);
  }

  /** True if the account's use is so far beyond its fair share that others come first. */
  isAboveShare(account: string): boolean {
    return this.share(account) > this.#limit(account);
  }

  /**
   * True if the account, running `more` beside what it runs, is not above its share. One that neither runs nor is about to run
   * anything is always within its share, whatever it used before.
   */
  isWithinShare(account: string, more: Resources = NO_RESOURCES): boolean {
    const running = this.#running.get(account) ?? NO_RESOURCES;
    const use = addResources(running, more);
    if (Object.values(use).every((amount) => amount <= 0)) return true;
    const share = this.#fairShare.share(account, this.#now, more);
    return share <= this.#limit(account);
  }

  /** Share up to which the account counts as within its own. Of two accounts, the double would be everything. */
  #limit(account: string): number {
    const fairShare = this.fairShare(account);
    return Math.min(MAX_OVERUSE * fairShare, (1 + fairShare) / 2);
  }
}

/** Shares of all services with known workers. */
export class AccountShares {
  readonly #services: ReadonlyMap<string, ServiceShares>;

  /** What the pass has deferred, for the log. */
  readonly deferrals: Deferral[] = [];

  constructor(services: ReadonlyMap<string, ServiceShares>) {
    this.#services = services;
  }

  of(service: string): ServiceShares | undefined {
    return this.#services.get(service);
  }

  services(): Iterable<ServiceShares> {
    return this.#services.values();
  }

  noteDeferral(job: OwnedJob): void {
    const shares = this.of(job.terms.service);
    if (shares === undefined) return;
    const { account } = job.submission;
    this.deferrals.push({
      job,
      share: shares.share(account),
      fairShare: shares.fairShare(account),
      competing: shares.competitors,
    });
  }
}
