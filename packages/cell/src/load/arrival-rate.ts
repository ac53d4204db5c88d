/** Decayed mean of the work that is accepted per time, by service. */

/**
 * Time in which what arrived loses half of its weight, in ms. Bursts last 3 to 7 s; with this, one of 2.5 times a load of 0.7 of the
 * capacity just reaches the capacity.
 */
const HALF_LIFE_MS = 10_000;

export class ArrivalRate {
  readonly #rates = new Map<string, number>();

  #decayedAt: number | undefined;

  /** Work in worker-ms that was accepted just now. */
  add(service: string, work: number, now: number): void {
    this.#decay(now);
    const rate = this.#rates.get(service) ?? 0;
    this.#rates.set(service, rate + (work * Math.LN2) / HALF_LIFE_MS);
  }

  /** Workers that the accepted work keeps busy. */
  of(service: string, now: number): number {
    this.#decay(now);
    return this.#rates.get(service) ?? 0;
  }

  #decay(now: number): void {
    const factor = 2 ** (-(now - (this.#decayedAt ?? now)) / HALF_LIFE_MS);
    this.#decayedAt = now;
    this.#rates.forEach((rate, service) => this.#rates.set(service, rate * factor));
  }
}
