/** The parts of a bundle that decisions look up, by name. */
import type { Bundle, Policy } from '../bundle/bundle.js';
import type { Guarantee } from '../guarantee/guarantee.js';
import type { Kind } from '../kind/kind.js';
import type { QueuedJob } from './scheduler.js';

/** Taken for kinds that the bundle in force doesn't know: nothing may be assumed of them. */
function unknownKind(name: string): Kind {
  return {
    name,
    path: 'job',
    urgency: 'waiting',
    idempotent: false,
    checkpointable: false,
    maxRunMs: 86_400_000,
    spread: false,
  };
}

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

  readonly #guaranteed = new Map<string, number>();

  readonly #accounts: Map<string, Bundle['accounts'][number]>;

  constructor(bundle: Bundle, failureDomain: string) {
    this.bundle = bundle;
    this.#kinds = new Map(bundle.kinds.map((kind) => [kind.name, kind]));
    this.accountNames = bundle.accounts.map(({ name }) => name);
    this.#accounts = new Map(bundle.accounts.map((account) => [account.name, account]));
    const here = bundle.guarantees.filter(
      (guarantee) => (guarantee.failureDomain ?? failureDomain) === failureDomain,
    );
    this.#guarantees = new Map(here.map((guarantee) => [guarantee.name, guarantee]));
    here.forEach((guarantee) => {
      const sum = this.guaranteed(guarantee.account) + guaranteeSize(guarantee) * guarantee.count;
      this.#guaranteed.set(guarantee.account, sum);
    });
  }

  get policy(): Policy {
    return this.bundle.policy;
  }

  /** Guarantees that may be claimed in this failure domain. */
  get guarantees(): Guarantee[] {
    return [...this.#guarantees.values()];
  }

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

  isUrgent({ spec }: QueuedJob): boolean {
    return this.kind(spec.kind).urgency === 'urgent';
  }

  /** When the job's contract runs out, wall-clock ms. */
  contractAt({ spec, submittedAt }: QueuedJob): number | undefined {
    const within = this.kind(spec.kind).contract?.withinMs;
    return within === undefined ? undefined : submittedAt + within;
  }
}
