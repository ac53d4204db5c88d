/** Gives each scheduling pass the shares of the client accounts, and reports them and what they deferred. */
import type { ProcessContext } from '@zincspan/core';
import type { CellPolicy } from '../config/cell-policy.js';
import type { OwnedJob } from '../owner/owned-job.js';
import type { AccountShares } from './account-shares.js';
import { findUsage, type UsageSource } from './account-usage.js';
import { ShareLedger, type LedgerInput } from './share-ledger.js';

/** Accounts with a gauge: each is a series in the metrics store. */
const MAX_GAUGES = 32;

/** One instance per ownership term. */
export class ShareTracker {
  readonly #ctx: ProcessContext;

  readonly #registry: UsageSource;

  readonly #isOn: boolean;

  readonly #ledger = new ShareLedger();

  /** Jobs whose deferral was logged and counted. */
  readonly #deferredJobs = new WeakSet<OwnedJob>();

  /** Accounts with a gauge: the first ones seen. */
  readonly #gauged = new Set<string>();

  constructor({
    ctx,
    registry,
    policy,
  }: {
    ctx: ProcessContext;
    registry: UsageSource;
    policy: CellPolicy;
  }) {
    this.#ctx = ctx;
    this.#registry = registry;
    this.#isOn = policy.fairShares !== 'off';
  }

  /** Shares by what runs now; undefined if fair shares are off. */
  beginPass(state: Omit<LedgerInput, 'usage' | 'now'>): AccountShares | undefined {
    if (!this.#isOn) return undefined;
    const usage = findUsage(this.#registry);
    return this.#ledger.beginPass({ ...state, usage, now: this.#ctx.clock.now() });
  }

  /** Reports the shares of a pass, and the jobs that it deferred for the first time. */
  report(shares: AccountShares | undefined): void {
    if (shares === undefined) return;
    this.#reportGauges(shares);
    shares.deferrals
      .filter(({ job }) => !this.#deferredJobs.has(job))
      .forEach(({ job, share, fairShare, competing }) => {
        this.#deferredJobs.add(job);
        this.#ctx.metrics.count('share.deferred');
        this.#ctx.log.info(
          {
            job: job.id,
            account: job.submission.account,
            share: rounded(share),
            fairShare: rounded(fairShare),
            competing,
          },
          'job deferred by fair share',
        );
      });
  }

  #reportGauges(shares: AccountShares): void {
    const largest = new Map<string, number>([...this.#gauged].map((account) => [account, 0]));
    [...shares.services()].forEach((service) =>
      [...service.competing].forEach((account) => {
        if (this.#gauged.size < MAX_GAUGES) this.#gauged.add(account);
        if (!this.#gauged.has(account)) return;
        largest.set(account, Math.max(largest.get(account) ?? 0, service.share(account)));
      }),
    );
    largest.forEach((share, account) =>
      this.#ctx.metrics.gauge(`share.${account || 'public'}`, rounded(share)),
    );
  }
}

function rounded(share: number): number {
  return Math.round(share * 1000) / 1000;
}
