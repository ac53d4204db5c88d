/**
 * Run-time estimates learned per client account, kind and size class. What a caller declares is a hint: the
 * observed ratio to it is learned as well, and whichever has predicted better carries more weight.
 */
import type { Shape } from '../gang/shape.js';
import { RunHistory } from './run-history.js';

/** What an estimate is about. `savedMs` is run time that a checkpoint holds already. */
export interface EstimateQuery {
  account: string;
  kind: string;
  shape: Shape;
  declaredRunMs?: number | undefined;
  savedMs?: number | undefined;
}

/** Expected run time still to go, in ms. `confidence` goes from 0 (a guess) to 1. */
export interface RunEstimate {
  p50Ms: number;
  p90Ms: number;
  confidence: number;
}

/** A run as seen. `ranMs` counts all attempts, what checkpoints saved included. */
export interface RunObservation extends EstimateQuery {
  /** The job's key, so that a running job's age is counted once. */
  key: string;
  ranMs: number;
  /** `running` and `cut` (stopped, cancelled, failed) say only that it takes longer than `ranMs`. */
  outcome: 'succeeded' | 'running' | 'cut';
}

/** Spread assumed of a declaration while nothing is known: one in ten is more than 10 times off. */
const DECLARED_SPREAD = 10;
/** Observations worth as much as the level above. */
const PRIOR_WEIGHT = 2;

/** Learns run times. Memory is bounded by `maxHistories` of about 1.5 KB each. */
export class RunTimeEstimator {
  readonly #maxHistories: number;

  readonly #defaultRunMs: number;

  readonly #histories = new Map<string, RunHistory>();

  constructor({
    maxHistories = 2000,
    defaultRunMs = 600_000,
  }: { maxHistories?: number; defaultRunMs?: number } = {}) {
    this.#maxHistories = maxHistories;
    this.#defaultRunMs = defaultRunMs;
  }

  /** Histories kept now. */
  get size(): number {
    return this.#histories.size;
  }

  /** Learns from one run, finished or still going. */
  observe(run: RunObservation): void {
    levels(run).forEach((name) => this.#history(name).observe(run));
  }

  /** Run time to expect before a job starts, less what its checkpoint saved. */
  estimate(query: EstimateQuery): RunEstimate {
    return this.remaining({ ...query, ranMs: 0 });
  }

  /** Run time still to expect of a job that has run `ranMs` in this attempt. */
  remaining(query: EstimateQuery & { ranMs: number }): RunEstimate {
    const doneMs = (query.savedMs ?? 0) + query.ranMs;
    let total = this.#guess(query, doneMs);
    levels(query).forEach((name) => {
      const history = this.#histories.get(name);
      if (history) total = blend(total, history, query.declaredRunMs, doneMs);
    });
    const p50Ms = Math.max(1, total.p50Ms - doneMs);
    return { p50Ms, p90Ms: Math.max(p50Ms, total.p90Ms - doneMs), confidence: total.confidence };
  }

  #guess({ declaredRunMs = this.#defaultRunMs }: EstimateQuery, doneMs: number): RunEstimate {
    const p50Ms = Math.max(declaredRunMs, doneMs * 1.5);
    return { p50Ms, p90Ms: p50Ms * DECLARED_SPREAD, confidence: 0 };
  }

  #history(name: string): RunHistory {
    const history = this.#histories.get(name) ?? new RunHistory();
    // Re-inserting keeps the map in order of use, so the first entry is the one to drop.
    this.#histories.delete(name);
    this.#histories.set(name, history);
    if (this.#histories.size > this.#maxHistories) {
      const [oldest] = this.#histories.keys();
      if (oldest !== undefined) this.#histories.delete(oldest);
    }
    return history;
  }
}

/** Accelerators that a gang takes, in classes that double: 0, 1, 2, 4, 8, … */
export function sizeClass({ tasks, acceleratorsPerTask }: Shape): number {
  const accelerators = tasks * acceleratorsPerTask;
  return accelerators === 0 ? 0 : 2 ** Math.floor(Math.log2(accelerators));
}

/** Names of the histories that a run belongs to, from the widest to the narrowest. */
function levels({ account, kind, shape }: EstimateQuery): string[] {
  return [kind, `${kind}/${account}`, `${kind}/${account}/${sizeClass(shape)}`];
}

/** Moves an estimate towards a history, the more the more that history has seen. */
function blend(
  prior: RunEstimate,
  history: RunHistory,
  declaredRunMs: number | undefined,
  doneMs: number,
): RunEstimate {
  const seen = history.predict({ declaredRunMs, doneMs });
  if (seen === undefined) return prior;
  const part = seen.weight / (seen.weight + PRIOR_WEIGHT);
  return {
    p50Ms: prior.p50Ms ** (1 - part) * seen.p50Ms ** part,
    p90Ms: prior.p90Ms ** (1 - part) * seen.p90Ms ** part,
    confidence: prior.confidence + (1 - prior.confidence) * part,
  };
}
