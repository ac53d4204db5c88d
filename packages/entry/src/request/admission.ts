/** Bounds on requests in progress at this entry: in total, by quota, and by share while all is busy. */
import { AccountLimiter, ProblemError, problem, type ProcessContext } from '@zincspan/core';
import type { BundleSource } from '../bundle-source.js';

/** What admission works with. `entries`: entries that share the quotas, this one included. */
export interface RequestAdmissionOptions {
  ctx: ProcessContext;
  bundles: BundleSource;
  /** Bound of this entry over all accounts. */
  most: number;
  entries: () => number;
}

const RETRY_AFTER_MS = 1000;

/** Counts requests in progress and refuses those beyond a bound, at once. */
export class RequestAdmission {
  readonly #ctx: ProcessContext;

  readonly #most: number;

  readonly #limiter: AccountLimiter;

  constructor({ ctx, bundles, most, entries }: RequestAdmissionOptions) {
    this.#ctx = ctx;
    this.#most = most;
    this.#limiter = new AccountLimiter({ entries, capacity: most });
    const follow = (): void => this.#limiter.setAccounts(bundles.current?.bundle.accounts ?? []);
    bundles.subscribe(follow);
    follow();
  }

  /** Requests in progress now. */
  get inProgress(): number {
    return this.#limiter.inProgress();
  }

  /** What the runners can carry from this entry; above most of it, accounts are held to their shares. */
  setCapacity(capacity: number): void {
    this.#limiter.setCapacity(Math.min(this.#most, capacity));
  }

  /** Admits a request; the answer ends it. Throws ProblemError `overloaded` or `quota-exceeded`. */
  enter(account: string): () => void {
    const startedAt = this.#ctx.clock.now();
    if (this.inProgress >= this.#most) throw overloaded(this.#most);
    const answer = this.#limiter.start(account, startedAt);
    if (answer.type === 'refused') throw new ProblemError(answer.problem);
    return () => this.#limiter.ended(account, this.#ctx.clock.now() - startedAt);
  }
}

function overloaded(most: number): ProblemError {
  return new ProblemError(
    problem('overloaded', {
      detail: `This entry has ${most} requests in progress, its bound.`,
      remedy: 'Try again after the time given by Retry-After.',
      retryAfterMs: RETRY_AFTER_MS,
      facts: { bound: most },
    }),
  );
}
