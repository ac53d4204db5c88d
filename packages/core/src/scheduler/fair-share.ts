/**
 * Weighted dominant-share fairness among client accounts: an account's share is its largest share of any one
 * resource, remembered with exponential decay and divided by its weight in the bundle. Lower goes first.
 */
import type { ClientAccount } from '../client-account/client-account.js';
import type { Shape } from '../gang/shape.js';

/** Amounts of each resource; also the capacity that shares are taken of. */
export interface Resources {
  accelerators: number;
  cores: number;
  memoryMb: number;
}

/** Work to charge. Inside a guarantee it doesn't count against the quota. */
export interface Charge {
  key: string;
  account: string;
  resources: Resources;
  withinGuarantee?: boolean;
}

export const NO_RESOURCES: Resources = { accelerators: 0, cores: 0, memoryMb: 0 };

/** `a` and `times` times `b`. */
export function addResources(a: Resources, b: Resources, times = 1): Resources {
  return {
    accelerators: a.accelerators + times * b.accelerators,
    cores: a.cores + times * b.cores,
    memoryMb: a.memoryMb + times * b.memoryMb,
  };
}

/** What all tasks of a gang of this shape take together. */
export function resourcesOf(shape: Shape): Resources {
  return {
    accelerators: shape.tasks * shape.acceleratorsPerTask,
    cores: shape.tasks * shape.coresPerTask,
    memoryMb: shape.tasks * shape.memoryMbPerTask,
  };
}

interface Usage {
  weight: number;
  /** The quota over all failure domains, and the part of it that this one may use. */
  quota: number;
  allotment: number;
  /** Accelerators in use that count against the quota. */
  counted: number;
  running: Resources;
  /** Decayed mean of the dominant share, and when it was taken. */
  mean: number;
  at: number;
}

/** Fairness among the accounts that share one capacity. Times in ms. */
export class FairShare {
  #halfLifeMs: number;

  #capacity: Resources;

  readonly #usages = new Map<string, Usage>();

  readonly #charges = new Map<string, Charge>();

  constructor({
    halfLifeMs = 3_600_000,
    capacity = { accelerators: 1, cores: 1, memoryMb: 1 },
  }: { halfLifeMs?: number; capacity?: Resources } = {}) {
    this.#halfLifeMs = halfLifeMs;
    this.#capacity = capacity;
  }

  /** What there is in all. */
  setCapacity(capacity: Resources): void {
    this.#capacity = capacity;
  }

  /** Applies to the time since each account's last change. */
  setHalfLife(halfLifeMs: number): void {
    this.#halfLifeMs = halfLifeMs;
  }

  setWeight(account: string, weight: number): void {
    this.#usage(account).weight = weight;
  }

  /** Weights and quotas from the bundle in force. Accounts that left keep what they still run. */
  setAccounts(accounts: ClientAccount[]): void {
    accounts.forEach(({ name, share, quota }) => {
      const usage = this.#usage(name);
      usage.weight = share;
      usage.quota = quota.accelerators;
    });
  }

  /** The part of an account's quota that was allotted to this failure domain; without a word all of it. */
  setAllotment(account: string, accelerators: number): void {
    this.#usage(account).allotment = accelerators;
  }

  /** Does the account's quota leave room for so many accelerators beyond its guarantees? */
  mayStart(account: string, accelerators: number, { withinGuarantee = false } = {}): boolean {
    if (withinGuarantee) return true;
    const usage = this.#usage(account);
    const most = Math.min(usage.quota, usage.allotment);
    return usage.counted + accelerators <= most;
  }

  /** Accelerators that count against the account's quota now. */
  counted(account: string): number {
    return this.#usages.get(account)?.counted ?? 0;
  }

  /** Weighted share used of late; the lower goes first. */
  priority(account: string, now: number): number {
    return this.share(account, now) / this.#usage(account).weight;
  }

  /** Share used of late, as if `more` ran as well. Half of it is what runs now, half is memory. */
  share(account: string, now: number, more: Resources = NO_RESOURCES): number {
    const usage = this.#usage(account);
    this.#settle(usage, now);
    return (usage.mean + this.#dominantShare(usage, more)) / 2;
  }

  /** The share due to each of these accounts, by their weights. */
  fairParts(accounts: Iterable<string>): Map<string, number> {
    const weights = new Map([...accounts].map((name) => [name, this.#usage(name).weight]));
    const sum = [...weights.values()].reduce((total, weight) => total + weight, 0);
    return new Map([...weights].map(([name, weight]) => [name, weight / sum]));
  }

  /** Sets the decayed means to what runs now, where nothing is known of the time before. */
  resetMeans(now: number): void {
    this.#usages.forEach((usage) =>
      Object.assign(usage, { mean: this.#dominantShare(usage), at: now }),
    );
  }

  /** How far the account is above its due part among `competing` accounts: 1 is exactly its part. */
  overuse(account: string, competing: Iterable<string>): number {
    const part = this.fairParts([...competing, account]).get(account) ?? 1;
    return this.#dominantShare(this.#usage(account)) / part;
  }

  /** Charges an account for work that starts. Charging a key again changes nothing. */
  start(charge: Charge, now: number): void {
    if (this.#charges.has(charge.key)) return;
    this.#charges.set(charge.key, charge);
    this.#change(charge, 1, now);
  }

  /** Ends a charge; unknown keys are ignored. */
  end(key: string, now: number): void {
    const charge = this.#charges.get(key);
    if (charge === undefined) return;
    this.#charges.delete(key);
    this.#change(charge, -1, now);
  }

  #change(
    { account, resources, withinGuarantee = false }: Charge,
    sign: number,
    now: number,
  ): void {
    const usage = this.#usage(account);
    this.#settle(usage, now);
    usage.running = addResources(usage.running, resources, sign);
    if (!withinGuarantee) usage.counted += sign * resources.accelerators;
  }

  #dominantShare({ running }: Usage, more: Resources = NO_RESOURCES): number {
    const { accelerators, cores, memoryMb } = addResources(running, more);
    return Math.max(
      accelerators / Math.max(1, this.#capacity.accelerators),
      cores / Math.max(1, this.#capacity.cores),
      memoryMb / Math.max(1, this.#capacity.memoryMb),
    );
  }

  /** Brings the decayed mean up to `now`, the dominant share having been constant since the last change. */
  #settle(usage: Usage, now: number): void {
    const kept = 0.5 ** (Math.max(0, now - usage.at) / this.#halfLifeMs);
    Object.assign(usage, {
      mean: usage.mean * kept + this.#dominantShare(usage) * (1 - kept),
      at: Math.max(now, usage.at),
    });
  }

  #usage(account: string): Usage {
    const known = this.#usages.get(account);
    if (known) return known;
    const usage: Usage = {
      weight: 1,
      quota: Number.POSITIVE_INFINITY,
      allotment: Number.POSITIVE_INFINITY,
      counted: 0,
      running: NO_RESOURCES,
      mean: 0,
      at: 0,
    };
    this.#usages.set(account, usage);
    return usage;
  }
}
