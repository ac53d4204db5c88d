/** Error of earlier predictions: ratio of actual to predicted times, from which the margin of new predictions follows. */
import type { ErrorQuantiles } from './load-summary.js';

/** Number of newest observations that count. */
const MAX_OBSERVATIONS = 256;

/** Prior observations: they keep the margin wide while there are few real ones, and weigh little against the full window. */
const PRIOR_OBSERVATIONS = 24;

/** The prior's ratios are spread evenly, on a logarithmic scale, between this factor and its inverse. */
const PRIOR_SPREAD = 4;

/** Added to both times, in ms: below the interval of the owner's passes a ratio says nothing. */
const FLOOR_MS = 200;

/** Share of predictions that the low quantile exceeds: one refusal in ten of those at the limit may be wrong. */
const LOW_QUANTILE = 0.1;

const PRIOR: readonly number[] = Array.from(
  { length: PRIOR_OBSERVATIONS },
  (_, index) => Math.log(PRIOR_SPREAD) * ((2 * (index + 0.5)) / PRIOR_OBSERVATIONS - 1),
);

/** Predicted and actual time from acceptance to completion, in ms. */
export interface PredictedTime {
  predictedMs: number;
  actualMs: number;
}

function logRatio({ predictedMs, actualMs }: PredictedTime): number {
  return Math.log((actualMs + FLOOR_MS) / (predictedMs + FLOOR_MS));
}

/** Logarithms of the newest ratios. */
export class PredictionError {
  readonly #ratios: number[] = [];

  #next = 0;

  /** Records a job that took `actualMs` where `predictedMs` was predicted. */
  record(time: PredictedTime): void {
    this.#ratios[this.#next] = logRatio(time);
    this.#next = (this.#next + 1) % MAX_OBSERVATIONS;
  }

  /**
   * Quantiles of the ratios. `pending`: jobs that haven't ended, with the time so far; those that already took longer than predicted
   * count, as otherwise a job would count only when it is too late to learn from it.
   */
  quantiles(pending: Iterable<PredictedTime> = []): ErrorQuantiles {
    const overdue = [...pending].filter(({ predictedMs, actualMs }) => actualMs > predictedMs);
    const sorted = [...this.#ratios, ...overdue.map(logRatio), ...PRIOR].sort((a, b) => a - b);
    const at = (quantile: number): number =>
      Math.exp(sorted[Math.floor(quantile * (sorted.length - 1))] ?? 0);
    return {
      count: this.#ratios.length,
      low: at(LOW_QUANTILE),
      median: at(1 / 2),
      high: at(1 - LOW_QUANTILE),
    };
  }
}
