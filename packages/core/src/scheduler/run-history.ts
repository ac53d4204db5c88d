/** What was observed of one group of runs: their times, and their ratio to what was declared. */
import { DecayedHistogram } from '../statistics/decayed-histogram.js';

/** One run for a history, in ms. */
export interface HistoryRun {
  key: string;
  ranMs: number;
  declaredRunMs?: number | undefined;
  outcome: 'succeeded' | 'running' | 'cut';
}

/** Quantiles of the whole run time, with the weight of the runs behind them. */
export interface Prediction {
  p50Ms: number;
  p90Ms: number;
  weight: number;
}

/** Running jobs whose ages a history follows. More than these add nothing to a quantile. */
const MAX_RUNNING = 64;

interface RunningAge {
  ranMs: number;
  declaredRunMs: number | undefined;
}

/** Times and declared ratios of one group of runs. */
export class RunHistory {
  readonly #times = new DecayedHistogram();

  readonly #ratios = new DecayedHistogram();

  readonly #running = new Map<string, RunningAge>();

  /** Notes a run, or the age that a running job has reached. */
  observe({ key, ranMs, declaredRunMs, outcome }: HistoryRun): void {
    if (outcome === 'running') {
      if (this.#running.size < MAX_RUNNING || this.#running.has(key)) {
        this.#running.set(key, { ranMs, declaredRunMs });
      }
      return;
    }
    this.#running.delete(key);
    const censored = outcome === 'cut';
    this.#times.add(ranMs, { censored });
    if (declaredRunMs !== undefined) this.#ratios.add(ranMs / declaredRunMs, { censored });
  }

  /** Quantiles given that `doneMs` have passed; undefined while nothing has finished. */
  predict({
    declaredRunMs,
    doneMs,
  }: {
    declaredRunMs: number | undefined;
    doneMs: number;
  }): Prediction | undefined {
    const byTime = this.#byTime(doneMs);
    const byRatio = declaredRunMs === undefined ? undefined : this.#byRatio(declaredRunMs, doneMs);
    if (byTime === undefined || byRatio === undefined) return byTime ?? byRatio;
    return spread(byRatio) < spread(byTime) ? byRatio : byTime;
  }

  #byTime(doneMs: number): Prediction | undefined {
    const running = [...this.#running.values()].map(({ ranMs }) => ranMs);
    return predictFrom(this.#times, 1, doneMs, running);
  }

  #byRatio(declaredRunMs: number, doneMs: number): Prediction | undefined {
    const running = [...this.#running.values()]
      .filter((run) => run.declaredRunMs !== undefined)
      .map((run) => run.ranMs / (run.declaredRunMs ?? 1));
    return predictFrom(this.#ratios, declaredRunMs, doneMs, running);
  }
}

function predictFrom(
  histogram: DecayedHistogram,
  unitMs: number,
  doneMs: number,
  running: number[],
): Prediction | undefined {
  if (histogram.weight === 0) return undefined;
  const given = { above: doneMs / unitMs, running };
  // Older than all that was seen: expect as long again.
  const p50 = histogram.quantile(0.5, given) ?? given.above * 2;
  const p90 = histogram.quantile(0.9, given) ?? given.above * 4;
  return { p50Ms: p50 * unitMs, p90Ms: p90 * unitMs, weight: histogram.weight };
}

function spread({ p50Ms, p90Ms }: Prediction): number {
  return p90Ms / p50Ms;
}
