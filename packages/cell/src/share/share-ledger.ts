/** Remembers what client accounts used of each service during one ownership term. */
import { FairShare, type Resources } from '@zincspan/core';
import type { FleetProfile } from '../placing/fleet-profile.js';
import { AccountShares, ServiceShares } from './account-shares.js';
import { toResources, type ServiceUsage } from './account-usage.js';

/** Bounds of the half-life of past use, in ms: passes are up to 0.2 s apart, and callers' days have 24 hours. */
const MIN_HALF_LIFE_MS = 2000;
const MAX_HALF_LIFE_MS = 3_600_000;

/** An account of the configuration. */
export interface GuaranteedAccount {
  name: string;
  guaranteedAccelerators: number;
}

/** State of the cell at a pass. */
export interface LedgerInput {
  usage: ReadonlyMap<string, ServiceUsage>;
  profile: FleetProfile;
  /** Accounts of the configuration; others have weight 1. */
  accounts: readonly GuaranteedAccount[];
  /** False while a new owner hasn't heard of all workers: past use is taken to be what runs. */
  allWorkersKnown: boolean;
  now: number;
}

/** One service: its accounts' use, each charged as a whole under the account's name. */
class ServiceLedger {
  readonly fairShare = new FairShare({ halfLifeMs: MIN_HALF_LIFE_MS });

  readonly #charged = new Map<string, Resources>();

  /** Charges what runs now. Accounts that neither run nor wait any more are charged nothing. */
  charge(running: ReadonlyMap<string, Resources>, now: number): void {
    [...this.#charged.keys()]
      .filter((account) => !running.has(account))
      .forEach((account) => {
        this.fairShare.end(account, now);
        this.#charged.delete(account);
      });
    running.forEach((resources, account) => {
      if (isEqual(this.#charged.get(account), resources)) return;
      this.fairShare.end(account, now);
      this.fairShare.start({ key: account, account, resources }, now);
      this.#charged.set(account, resources);
    });
  }
}

function isEqual(a: Resources | undefined, b: Resources): boolean {
  return a?.accelerators === b.accelerators && a.cores === b.cores && a.memoryMb === b.memoryMb;
}

/** Past and present use of all services; one instance per ownership term. */
export class ShareLedger {
  readonly #services = new Map<string, ServiceLedger>();

  /** Charges what runs now and returns the shares for the pass. */
  beginPass({ usage, profile, accounts, allWorkersKnown, now }: LedgerInput): AccountShares {
    const shares = new Map<string, ServiceShares>();
    const weights = weightsOf(accounts, profile);
    usage.forEach(({ accounts: running, tasks, expectedMs }, service) => {
      const capacity = profile.of(service)?.total;
      if (capacity === undefined) return;
      const ledger = this.#of(service);
      const { fairShare } = ledger;
      fairShare.setCapacity(toResources(capacity));
      if (tasks > 0) fairShare.setHalfLife(halfLifeMs(expectedMs / tasks));
      running.forEach((_, account) => fairShare.setWeight(account, weights.get(account) ?? 1));
      ledger.charge(running, now);
      if (!allWorkersKnown) fairShare.resetMeans(now);
      shares.set(service, new ServiceShares({ fairShare, running, now }));
    });
    this.#services.forEach((ledger, service) => {
      if (!usage.has(service)) ledger.charge(new Map(), now);
    });
    return new AccountShares(shares);
  }

  #of(service: string): ServiceLedger {
    const existing = this.#services.get(service);
    if (existing !== undefined) return existing;
    const ledger = new ServiceLedger();
    this.#services.set(service, ledger);
    return ledger;
  }
}

/** Past use fades as fast as tasks end: an account that stops sending is even with the others some tasks later. */
function halfLifeMs(meanTaskMs: number): number {
  return Math.min(MAX_HALF_LIFE_MS, Math.max(MIN_HALF_LIFE_MS, meanTaskMs));
}

/** 1 plus the guaranteed share of the fleet's accelerators. */
function weightsOf(
  accounts: readonly GuaranteedAccount[],
  profile: FleetProfile,
): Map<string, number> {
  const total = Math.max(1, profile.totalAccelerators);
  return new Map(
    accounts.map(({ name, guaranteedAccelerators }) => [name, 1 + guaranteedAccelerators / total]),
  );
}
