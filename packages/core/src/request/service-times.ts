/** How long requests of each kind lately took at one runner. Declared times are far from the truth. */

interface Service {
  meanMs: number;
  /** Shortest recent one; it rises slowly, so that an old lucky one fades. */
  shortestMs: number;
}

const SMOOTHING = 0.2;
const SHORTEST_RISE = 1.05;

/** Observed service times. A kind never seen counts as taking no time: nothing is refused on a guess. */
export class ServiceTimes {
  readonly #kinds = new Map<string, Service>();

  observe(kind: string, serviceMs: number): void {
    const known = this.#kinds.get(kind);
    if (!known) {
      this.#kinds.set(kind, { meanMs: serviceMs, shortestMs: serviceMs });
      return;
    }
    known.meanMs += SMOOTHING * (serviceMs - known.meanMs);
    known.shortestMs = Math.min(serviceMs, known.shortestMs * SHORTEST_RISE);
  }

  meanMs(kind: string): number {
    return this.#kinds.get(kind)?.meanMs ?? 0;
  }

  shortestMs(kind: string): number {
    return this.#kinds.get(kind)?.shortestMs ?? 0;
  }
}
