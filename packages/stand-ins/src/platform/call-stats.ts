/** Calls counted, in total and within the last whole second. */

/** Counts one sort of call. */
export class CallStats {
  #total = 0;

  #second = 0;

  #inSecond = 0;

  #lastSecond = 0;

  /** Counts a call; answers how many there were in this second so far. */
  count(now = Date.now()): number {
    this.#roll(now);
    this.#total += 1;
    this.#inSecond += 1;
    return this.#inSecond;
  }

  /** `perSecond` is of the last whole second. */
  read(now = Date.now()): { total: number; perSecond: number } {
    this.#roll(now);
    return { total: this.#total, perSecond: this.#lastSecond };
  }

  #roll(now: number): void {
    const second = Math.floor(now / 1000);
    if (second === this.#second) return;
    this.#lastSecond = second === this.#second + 1 ? this.#inSecond : 0;
    this.#second = second;
    this.#inSecond = 0;
  }
}
