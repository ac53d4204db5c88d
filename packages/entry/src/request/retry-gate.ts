/** Keeps retries a small share of first attempts, so that a failing fleet isn't loaded further by them. */

/** Decides whether one more attempt may be made. */
export interface RetryGate {
  /** Notes a first attempt of the account. */
  first(account: string): void;
  /** Takes one retry out of the account's budget; false if it is used up. */
  tryRetry(account: string, share: number): boolean;
}

const MOST_SAVED = 10;

/** A token bucket per account: each first attempt earns `share` of a retry. */
export class TokenRetryGate implements RetryGate {
  readonly #tokens = new Map<string, number>();

  readonly #earned = new Map<string, number>();

  first(account: string): void {
    this.#earned.set(account, (this.#earned.get(account) ?? 0) + 1);
  }

  tryRetry(account: string, share: number): boolean {
    const earned = (this.#earned.get(account) ?? 0) * share;
    this.#earned.set(account, 0);
    const tokens = Math.min(MOST_SAVED, (this.#tokens.get(account) ?? MOST_SAVED) + earned);
    this.#tokens.set(account, tokens < 1 ? tokens : tokens - 1);
    return tokens >= 1;
  }
}
