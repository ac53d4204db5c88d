/** Retries as a share of first attempts, so that a failing kind of job can't take the capacity of others. */

/** Retries that an account may make before it has earned any, and most that it can save up. */
const INITIAL = 2;
const MOST_SAVED = 20;
const MAX_ACCOUNTS = 2000;

/** Counts first attempts and retries per account. */
export class RetryBudget {
  readonly #share: () => number;

  readonly #maxAccounts: number;

  /** What is left, the account used longest ago first. */
  readonly #left = new Map<string, number>();

  constructor({
    share,
    maxAccounts = MAX_ACCOUNTS,
  }: {
    /** Part of a retry that a first attempt earns, by the policy in force; at 0 nothing is retried. */
    share: () => number;
    /** Beyond this many, the account used longest ago starts afresh. */
    maxAccounts?: number;
  }) {
    this.#share = share;
    this.#maxAccounts = maxAccounts;
  }

  /** Accounts that it keeps. */
  get size(): number {
    return this.#left.size;
  }

  /** Notes a first attempt, which earns a share of a retry. */
  firstAttempt(account: string): void {
    this.#set(account, Math.min(MOST_SAVED, this.#of(account) + this.#share()));
  }

  /** Takes one retry from the account's budget, if it has one left. */
  take(account: string): boolean {
    const left = this.#of(account);
    if (this.#share() <= 0 || left < 1) return false;
    this.#set(account, left - 1);
    return true;
  }

  #of(account: string): number {
    return this.#left.get(account) ?? INITIAL;
  }

  #set(account: string, left: number): void {
    this.#left.delete(account);
    this.#left.set(account, left);
    if (this.#left.size <= this.#maxAccounts) return;
    const [oldest] = this.#left.keys();
    if (oldest !== undefined) this.#left.delete(oldest);
  }
}
