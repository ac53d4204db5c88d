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

/** Picks one of the candidates, of which there is at least one. */
export interface ChoicePolicy {
  /** Candidates that it weighs, drawn at random; all of them, in a constant order, if Infinity. */
  readonly sample: number;
  pick(candidates: Candidate[], random: Random): Candidate;
}

/**
 * The cheapest of up to `choices` drawn at random. Of those about as cheap the one left alone for longest, which
 * spaces the requests to each runner evenly.
 */
export class SampledChoice implements ChoicePolicy {
  readonly sample: number;

  readonly #tolerance: number;

  constructor({
    choices = 12,
    tolerance = 0.05,
  }: {
    choices?: number;
    /** Costs within this share of the least count as equal. */
    tolerance?: number;
  } = {}) {
    this.sample = choices;
    this.#tolerance = tolerance;
  }

  pick(candidates: Candidate[]): Candidate {
    const costs = candidates.map((candidate) => candidate.cost());
    const least = Math.min(...costs) * (1 + this.#tolerance);
    const cheap = candidates.filter((_, i) => (costs[i] as number) <= least);
    return cheap.reduce((best, next) => (next.turn < best.turn ? next : best));
  }
}
