/** Bounds on requests in progress: in total and per client account. */
import { ProblemError, problem, type ClientAccount } from '@zincspan/core';

const RETRY_AFTER_MS = 1000;

/** Counts requests in progress and refuses those beyond a bound, at once. */
export class RequestAdmission {
  readonly #most: number;

  readonly #entries: number;

  readonly #byAccount = new Map<string, number>();

  #total = 0;

  /** `most`: bound of this entry over all accounts. `entries`: how many entries share the quotas. */
  constructor({ most, entries }: { most: number; entries: number }) {
    this.#most = most;
    this.#entries = Math.max(1, entries);
  }

  /** Requests in progress now. */
  get inProgress(): number {
    return this.#total;
  }

  /** Admits a request; the answer ends it. Throws ProblemError `overloaded` or `quota-exceeded`. */
  enter({ name, quota }: ClientAccount): () => void {
    if (this.#total >= this.#most) throw overloaded(this.#most);
    const bound = Math.ceil(quota.requests / this.#entries);
    const current = this.#byAccount.get(name) ?? 0;
    if (current >= bound) throw quotaExceeded(name, bound, quota.requests);
    this.#byAccount.set(name, current + 1);
    this.#total += 1;
    return () => this.#leave(name);
  }

  #leave(name: string): void {
    this.#total -= 1;
    const current = (this.#byAccount.get(name) ?? 1) - 1;
    if (current === 0) this.#byAccount.delete(name);
    else this.#byAccount.set(name, current);
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

function quotaExceeded(account: string, bound: number, quota: number): ProblemError {
  return new ProblemError(
    problem('quota-exceeded', {
      detail: `Client account ${account} has ${bound} requests in progress here, its share of its quota.`,
      remedy: 'Wait for answers before sending more, or ask an operator for a larger quota.',
      retryAfterMs: RETRY_AFTER_MS,
      facts: { bound, quota },
    }),
  );
}
