/** Ids of tokens that were used, until they would have expired anyway. */

const MAX_REMEMBERED = 10_000;

/** Lets every token be used once at this entry. */
export class UsedTokens {
  readonly #expiry = new Map<string, number>();

  /** False if the id was used before. Times are wall-clock ms. */
  use(id: string, expiresAt: number, now: number): boolean {
    this.#forgetExpired(now);
    if (this.#expiry.has(id) || this.#expiry.size >= MAX_REMEMBERED) return false;
    // The verifier tolerates clocks that differ a little.
    this.#expiry.set(id, expiresAt + 30_000);
    return true;
  }

  /** Ids come in the order of their use, and so nearly of their expiry. */
  #forgetExpired(now: number): void {
    for (const [id, expiresAt] of this.#expiry) {
      if (expiresAt > now) return;
      this.#expiry.delete(id);
    }
  }
}
