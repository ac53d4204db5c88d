/** Ways to pick a runner among those that may take a request. */

/** A runner that may take the request. `cost` is the expected ms until its answer. */
export interface Candidate {
  id: string;
  /** Grows with each choice: the runner with the lowest was left alone for longest. */
  turn: number;
  cost(): number;
}

/** Uniform numbers in [0, 1). */
export type Random = () => number;

/** Picks one of at least one candidates. */
export interface ChoicePolicy {
  pick(candidates: Candidate[], random: Random): Candidate;
}

/**
 * The cheapest of up to `choices` drawn at random. Of those about as cheap the one left alone for longest, which
 * spaces the requests to each runner evenly.
 */
export class SampledChoice implements ChoicePolicy {
  readonly #choices: number;

  readonly #tolerance: number;

  constructor({
    choices = 12,
    tolerance = 0.05,
  }: {
    choices?: number;
    /** Costs within this share of the least count as equal. */
    tolerance?: number;
  } = {}) {
    this.#choices = choices;
    this.#tolerance = tolerance;
  }

  pick(candidates: Candidate[], random: Random): Candidate {
    const sample = draw(candidates, this.#choices, random);
    const costs = sample.map((candidate) => candidate.cost());
    const least = Math.min(...costs) * (1 + this.#tolerance);
    const cheap = sample.filter((_, i) => (costs[i] as number) <= least);
    return cheap.reduce((best, next) => (next.turn < best.turn ? next : best));
  }
}

/** `count` distinct items in random order. */
function draw<T>(items: T[], count: number, random: Random): T[] {
  const pool = [...items];
  const size = Math.min(count, pool.length);
  for (let i = 0; i < size; i += 1) {
    const at = i + Math.floor(random() * (pool.length - i));
    const item = pool[at] as T;
    pool[at] = pool[i] as T;
    pool[i] = item;
  }
  return pool.slice(0, size);
}
