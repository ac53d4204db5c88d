/** Forecast of capacity that becomes free over time, and the search for when enough of it will be free. */

/** Answered where nothing that is there now will become free, in ms. */
export const LONGEST_WAIT_MS = 3_600_000;

/** An amount that becomes free at a time (ms, any clock), in any unit. */
export interface CapacityEnd {
  at: number;
  freed: number;
}

/** Cumulative amount that is free by each time. */
export class FreedCapacity {
  readonly #steps: readonly CapacityEnd[];

  private constructor(steps: readonly CapacityEnd[]) {
    this.#steps = steps;
  }

  /** From amounts that become free one by one, in any order. */
  static fromEnds(ends: readonly CapacityEnd[]): FreedCapacity {
    let freed = 0;
    const sorted = [...ends].sort((a, b) => a.at - b.at);
    return new FreedCapacity(
      sorted.map((end) => {
        freed += end.freed;
        return { at: end.at, freed };
      }),
    );
  }

  /** From cumulative amounts, in order of time; none is smaller than the one before. */
  static fromCumulative(steps: readonly CapacityEnd[]): FreedCapacity {
    return new FreedCapacity(steps);
  }

  /**
   * Time from `now` until `need` is free, in ms. Beyond the last known step the amount is assumed to go on growing at the mean rate
   * until then.
   */
  untilFreed(need: number, now: number): number {
    const index = this.#indexOf(need);
    const step = this.#steps[index];
    if (step !== undefined) return Math.max(0, step.at - now);
    return this.#beyondLast(need, now);
  }

  /** As `untilFreed`, for an amount that grows evenly between two steps. */
  untilGrown(need: number, now: number): number {
    const index = this.#indexOf(need);
    const [before, step] = [this.#steps[index - 1], this.#steps[index]];
    if (step === undefined) return this.#beyondLast(need, now);
    if (before === undefined) return Math.max(0, step.at - now);
    const part = (need - before.freed) / (step.freed - before.freed);
    return Math.max(0, before.at + part * (step.at - before.at) - now);
  }

  /** Index of the first step with enough; the number of steps if there is none. */
  #indexOf(need: number): number {
    let [low, high] = [0, this.#steps.length];
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (this.#steps[middle]!.freed >= need) high = middle;
      else low = middle + 1;
    }
    return low;
  }

  #beyondLast(need: number, now: number): number {
    const last = this.#steps[this.#steps.length - 1];
    if (last === undefined) return need > 0 ? LONGEST_WAIT_MS : 0;
    if (last.freed <= 0) return LONGEST_WAIT_MS;
    return Math.min(LONGEST_WAIT_MS, Math.max(0, ((last.at - now) * need) / last.freed));
  }
}
