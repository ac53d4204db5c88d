/** Retries as a share of first attempts, so that a failing kind of job can't take the capacity of others. */

/** Retries that an account may make before it has earned any, and most that it can save up. */
const INITIAL = 2;
const MOST_SAVED = 20;

/** Counts first attempts and retries per account. */
export class RetryBudget {
  readonly #left = new Map<string, number>();

  /** Notes a first attempt; `share` of a retry is earned by it. */
  firstAttempt(account: string, share: number): void {
    this.#left.set(account, Math.min(MOST_SAVED, this.#of(account) + share));
  }

  /** Takes one retry from the account's budget, if it has one left. */
  take(account: string): boolean {
    const left = this.#of(account);
    if (left < 1) return false;
    this.#left.set(account, left - 1);
    return true;
  }

  #of(account: string): number {
    return this.#left.get(account) ?? INITIAL;
  }
}
