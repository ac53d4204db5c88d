/** Ways to pick a runner among those that may take a request. */

/** A runner that may take the request. `cost` is the expected ms until its answer. */
export interface Candidate {
  id: string;
  cost(): number;
}

/** Uniform numbers in [0, 1). */
export type Random = () => number;

/** Picks one of at least one candidates. */
export interface ChoicePolicy {
  pick(candidates: Candidate[], random: Random): Candidate;
}

/** The cheapest of `choices` drawn at random: entries with the same stale view don't all pick the same one. */
export class SampledChoice implements ChoicePolicy {
  readonly #choices: number;

  constructor({ choices = 2 }: { choices?: number } = {}) {
    this.#choices = choices;
  }

  pick(candidates: Candidate[], random: Random): Candidate {
    const sample = draw(candidates, this.#choices, random);
    const costs = sample.map((candidate) => candidate.cost());
    const least = Math.min(...costs);
    return sample[costs.indexOf(least)] as Candidate;
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
