/**
 * Estimates how long tasks take, learned per queue from completed runs. Callers' estimates are off by a factor of two or three
 * either way; a job with too small an estimate would count as too late to be of use before it had started. A regression on the
 * logarithms of estimated and actual durations corrects the estimate towards what the queue's tasks have taken.
 */

/** Weight of the prior, in observations. */
const PRIOR_WEIGHT = 6;

/** Slope of the prior: half of an estimate's deviation from its queue's mean is real. */
const PRIOR_SLOPE = 0.5;

/** Variance of the logarithms of a queue's estimates in the prior. */
const PRIOR_VARIANCE = 0.5;

/** Differences between durations below this are meaningless. */
const MIN_DURATION_MS = 20;

/** Regression over the runs of one queue: sums of logarithms, x estimated and y actual. */
class QueueRegression {
  #estimateCount = 0;

  #estimateSum = 0;

  #runCount = 0;

  #sumX = 0;

  #sumY = 0;

  #sumXX = 0;

  #sumXY = 0;

  addEstimate(logEstimate: number): void {
    this.#estimateCount += 1;
    this.#estimateSum += logEstimate;
  }

  addRun(logEstimate: number, logActual: number): void {
    this.#runCount += 1;
    this.#sumX += logEstimate;
    this.#sumY += logActual;
    this.#sumXX += logEstimate * logEstimate;
    this.#sumXY += logEstimate * logActual;
  }

  predict(logEstimate: number): number {
    const meanEstimate =
      this.#estimateCount > 0 ? this.#estimateSum / this.#estimateCount : logEstimate;
    const n = this.#runCount;
    const meanX = (this.#sumX + PRIOR_WEIGHT * meanEstimate) / (n + PRIOR_WEIGHT);
    const meanY = (this.#sumY + PRIOR_WEIGHT * meanEstimate) / (n + PRIOR_WEIGHT);
    // Sums of squared deviations from the means of the runs, without the prior; 0 without runs.
    const varX = this.#sumXX - (n > 0 ? (this.#sumX * this.#sumX) / n : 0);
    const covXY = this.#sumXY - (n > 0 ? (this.#sumX * this.#sumY) / n : 0);
    const prior = PRIOR_WEIGHT * PRIOR_VARIANCE;
    const slope = (Math.max(0, covXY) + prior * PRIOR_SLOPE) / (Math.max(0, varX) + prior);
    return meanY + Math.min(1, slope) * (logEstimate - meanX);
  }
}

/** Expected durations of the tasks of all queues. */
export class DurationEstimator {
  readonly #queues = new Map<string, QueueRegression>();

  recordEstimate(queue: string, estimateMs: number): void {
    this.#regressionOf(queue).addEstimate(logDuration(estimateMs));
  }

  /** Records that a task with this estimate ran for `actualMs` from start to end. */
  recordRun(
    queue: string,
    { estimateMs, actualMs }: { estimateMs: number; actualMs: number },
  ): void {
    this.#regressionOf(queue).addRun(logDuration(estimateMs), logDuration(actualMs));
  }

  /** Expected duration of a task with this estimate, in ms. */
  expectedMs(queue: string, estimateMs: number): number {
    return Math.exp(this.#regressionOf(queue).predict(logDuration(estimateMs)));
  }

  #regressionOf(name: string): QueueRegression {
    const existing = this.#queues.get(name);
    if (existing !== undefined) return existing;
    const regression = new QueueRegression();
    this.#queues.set(name, regression);
    return regression;
  }
}

function logDuration(ms: number): number {
  return Math.log(Math.max(MIN_DURATION_MS, ms));
}
