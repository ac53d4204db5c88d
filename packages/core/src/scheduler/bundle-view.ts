/** The parts of a bundle that decisions look up, by name. */
import type { Bundle, Policy } from '../bundle/bundle.js';
import type { CopyCounts } from '../guarantee/copy-assignment.js';
import type { Guarantee } from '../guarantee/guarantee.js';
import { unknownKind, type Kind } from '../kind/kind.js';
import type { QueuedJob } from './scheduler.js';

/** Accelerators of one copy of a guarantee. */
export function guaranteeSize({ shape }: Guarantee): number {
  return shape.tasks * shape.acceleratorsPerTask;
}

/** Lookups in the bundle in force. */
export class BundleView {
  readonly bundle: Bundle;

  readonly accountNames: string[];

  readonly #kinds: Map<string, Kind>;

  readonly #guarantees: Map<string, Guarantee>;

  /** The same with the copies that are this failure domain's to keep. */
  readonly #kept: Guarantee[];

  readonly #guaranteed = new Map<string, number>();

  readonly #accounts: Map<string, Bundle['accounts'][number]>;

  /** `copies`: of guarantees that aren't pinned, those kept here; without a word all of them. */
  constructor(bundle: Bundle, failureDomain: string, copies?: CopyCounts) {
    this.bundle = bundle;
    this.#kinds = new Map(bundle.kinds.map((kind) => [kind.name, kind]));
    this.accountNames = bundle.accounts.map(({ name }) => name);
    this.#accounts = new Map(bundle.accounts.map((account) => [account.name, account]));
    const here = bundle.guarantees.filter(
      (guarantee) => (guarantee.failureDomain ?? failureDomain) === failureDomain,
    );
    this.#guarantees = new Map(here.map((guarantee) => [guarantee.name, guarantee]));
    this.#kept = here.map((guarantee) => {
      if (guarantee.failureDomain !== undefined || copies === undefined) return guarantee;
      return { ...guarantee, count: Math.min(guarantee.count, copies[guarantee.name] ?? 0) };
    });
    this.#kept.forEach((guarantee) => {
      const sum = this.guaranteed(guarantee.account) + guaranteeSize(guarantee) * guarantee.count;
      this.#guaranteed.set(guarantee.account, sum);
    });
  }

  get policy(): Policy {
    return this.bundle.policy;
  }

  /** Guarantees with the copies that this failure domain keeps a home for. */
  get guarantees(): Guarantee[] {
    return this.#kept;
  }

  /** A guarantee that may be claimed in this failure domain, whoever keeps its copies. */
  guarantee(name: string): Guarantee | undefined {
    return this.#guarantees.get(name);
  }

  kind(name: string): Kind {
    return this.#kinds.get(name) ?? unknownKind(name);
  }

  account(name: string): Bundle['accounts'][number] | undefined {
    return this.#accounts.get(name);
  }

  /** Weight of an account against others. */
  share(name: string): number {
    return this.#accounts.get(name)?.share ?? 1;
  }

  /** Accelerators guaranteed to an account in this failure domain. */
  guaranteed(account: string): number {
    return this.#guaranteed.get(account) ?? 0;
  }

  /** Accelerators guaranteed to an account that may be claimed in this failure domain. */
  claimable(account: string): number {
    return [...this.#guarantees.values()]
      .filter((guarantee) => guarantee.account === account)
      .reduce((sum, guarantee) => sum + guaranteeSize(guarantee) * guarantee.count, 0);
  }

  isUrgent({ spec }: QueuedJob): boolean {
    return this.kind(spec.kind).urgency === 'urgent';
  }

  /** When the job's contract runs out, wall-clock ms. */
  contractAt({ spec, submittedAt }: QueuedJob): number | undefined {
    const within = this.kind(spec.kind).contract?.withinMs;
    return within === undefined ? undefined : submittedAt + within;
  }
}
