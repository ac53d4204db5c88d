/**
 * Quantiles of a drifting positive quantity in little memory: logarithmic buckets with exponential decay,
 * and a Kaplan-Meier estimate where some values are known only as "at least this".
 */

/** A lower bound of a value that isn't known yet, for example the age of a running task. */
export type Censored = number;

const LARGEST_STEP = 1e12;

/** Histogram of positive numbers. Each new value makes the older ones count `decay` times as much. */
export class DecayedHistogram {
  readonly #decay: number;

  readonly #bucketsPerDoubling: number;

  #first = 0;

  #weights: number[] = [];

  #lapsed: number[] = [];

  #step = 1;

  #total = 0;

  constructor({
    decay = 0.98,
    bucketsPerDoubling = 4,
  }: { decay?: number; bucketsPerDoubling?: number } = {}) {
    this.#decay = decay;
    this.#bucketsPerDoubling = bucketsPerDoubling;
  }

  /** Weight of what was seen, in values: at most 1 / (1 - decay). */
  get weight(): number {
    return this.#total / this.#step;
  }

  /** Notes a value; `censored` says that the true one is at least this. */
  add(value: number, { censored = false }: { censored?: boolean } = {}): void {
    this.#step /= this.#decay;
    const at = this.#slot(value);
    const counts = censored ? this.#lapsed : this.#weights;
    counts[at] = (counts[at] ?? 0) + this.#step;
    if (!censored) this.#total += this.#step;
    if (this.#step > LARGEST_STEP) this.#rescale();
  }

  /**
   * Value below which the share `q` lies, given that it is above `above` and that `running` values are still
   * growing; undefined when nothing is known there.
   */
  quantile(
    q: number,
    { above = 0, running = [] }: { above?: number; running?: readonly Censored[] } = {},
  ): number | undefined {
    if (this.#total === 0) return undefined;
    const lapsed = this.#withRunning(running);
    let atRisk = this.#total + sum(lapsed);
    let survival = 1;
    let base: number | undefined = above > 0 ? undefined : 1;
    for (let i = 0; i < this.#weights.length; i += 1) {
      const upper = this.#edge(this.#first + i + 1);
      if (base === undefined && upper > above) base = survival;
      const before = survival;
      const here = this.#weights[i] ?? 0;
      if (atRisk > 0) survival *= Math.max(0, 1 - here / atRisk);
      atRisk -= here + (lapsed[i] ?? 0);
      if (base !== undefined && survival <= base * (1 - q) * (1 + 1e-9)) {
        return this.#within(i, before, survival, base * (1 - q), above);
      }
    }
    // The quantile lies beyond all that has ended: at least as far as the longest still growing.
    const longest = Math.max(this.#edge(this.#first + this.#weights.length), ...running);
    return base === undefined ? undefined : longest * 2;
  }

  #within(i: number, before: number, after: number, target: number, above: number): number {
    const lower = this.#edge(this.#first + i);
    const upper = this.#edge(this.#first + i + 1);
    const part = before > after ? (before - target) / (before - after) : 1;
    return Math.max(above, lower * (upper / lower) ** Math.min(1, Math.max(0, part)));
  }

  #withRunning(running: readonly Censored[]): number[] {
    const lapsed = [...this.#lapsed];
    running.forEach((value) => {
      const at = Math.min(this.#weights.length - 1, this.#bucket(value) - this.#first);
      if (at >= 0) lapsed[at] = (lapsed[at] ?? 0) + this.#step;
    });
    return lapsed;
  }

  #bucket(value: number): number {
    return Math.floor(Math.log2(Math.max(value, 1e-9)) * this.#bucketsPerDoubling);
  }

  #edge(bucket: number): number {
    return 2 ** (bucket / this.#bucketsPerDoubling);
  }

  #slot(value: number): number {
    const bucket = this.#bucket(value);
    if (this.#weights.length === 0) this.#first = bucket;
    while (bucket < this.#first) {
      this.#weights.unshift(0);
      this.#lapsed.unshift(0);
      this.#first -= 1;
    }
    while (bucket >= this.#first + this.#weights.length) {
      this.#weights.push(0);
      this.#lapsed.push(0);
    }
    return bucket - this.#first;
  }

  #rescale(): void {
    const scale = (count: number): number => count / this.#step;
    this.#weights = this.#weights.map(scale);
    this.#lapsed = this.#lapsed.map(scale);
    this.#total /= this.#step;
    this.#step = 1;
  }
}

function sum(values: number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
