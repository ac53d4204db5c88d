/** Seeded random numbers of the distributions that the driver draws from. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** One stream of random numbers. */
export class RandomSource {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Uniform in [0, 1). */
  readonly uniform = (): number => uniformFloat64(this.#generator);

  exponential(mean: number): number {
    return -mean * Math.log(1 - this.uniform());
  }

  /** Log-normal by its median and the standard deviation of its logarithm. */
  logNormal(median: number, sigma: number): number {
    const radius = Math.sqrt(-2 * Math.log(1 - this.uniform()));
    return median * Math.exp(sigma * radius * Math.cos(2 * Math.PI * this.uniform()));
  }

  pick<T>(items: readonly T[]): T {
    return items[Math.floor(this.uniform() * items.length)] as T;
  }
}
