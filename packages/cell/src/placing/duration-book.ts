/**
 * How long tasks really take, learned per queue from runs that ended. The load it answers: callers' estimates that are
 * off by a factor of two or three either way. Taken at their word, a job with a small estimate would count as past all
 * use before it had started. The estimate is drawn towards what the queue's tasks have taken, by a regression on the
 * logarithms of both.
 */

/** Weight of what is assumed beforehand, in observations. */
const PRIOR_WEIGHT = 6;

/** Assumed beforehand: of an estimate's deviation from its queue's mean, half is real. */
const PRIOR_SLOPE = 0.5;

/** Assumed variance of the logarithm of a queue's estimates. */
const PRIOR_VARIANCE = 0.5;

/** Durations below this say nothing about each other, in ms. */
const LEAST_MS = 20;

/** Sums over the runs of one queue, of logarithms. */
class QueueRecord {
  #estimates = 0;

  #estimateSum = 0;

  #runs = 0;

  #sumX = 0;

  #sumY = 0;

  #sumXX = 0;

  #sumXY = 0;

  noteEstimate(logEstimate: number): void {
    this.#estimates += 1;
    this.#estimateSum += logEstimate;
  }

  noteRun(logEstimate: number, logActual: number): void {
    this.#runs += 1;
    this.#sumX += logEstimate;
    this.#sumY += logActual;
    this.#sumXX += logEstimate * logEstimate;
    this.#sumXY += logEstimate * logActual;
  }

  predict(logEstimate: number): number {
    const meanEstimate = this.#estimates > 0 ? this.#estimateSum / this.#estimates : logEstimate;
    const n = this.#runs;
    const meanX = (this.#sumX + PRIOR_WEIGHT * meanEstimate) / (n + PRIOR_WEIGHT);
    const meanY = (this.#sumY + PRIOR_WEIGHT * meanEstimate) / (n + PRIOR_WEIGHT);
    // About the means of the runs alone; without runs both are 0.
    const varX = this.#sumXX - (n > 0 ? (this.#sumX * this.#sumX) / n : 0);
    const covXY = this.#sumXY - (n > 0 ? (this.#sumX * this.#sumY) / n : 0);
    const prior = PRIOR_WEIGHT * PRIOR_VARIANCE;
    const slope = (Math.max(0, covXY) + prior * PRIOR_SLOPE) / (Math.max(0, varX) + prior);
    return meanY + Math.min(1, slope) * (logEstimate - meanX);
  }
}

/** All queues. */
export class DurationBook {
  readonly #queues = new Map<string, QueueRecord>();

  /** An estimate came in. */
  noteEstimate(queue: string, estimateMs: number): void {
    this.#queue(queue).noteEstimate(log(estimateMs));
  }

  /** A task with this estimate ran for `actualMs` from its start to its end. */
  noteRun(queue: string, { estimateMs, actualMs }: { estimateMs: number; actualMs: number }): void {
    this.#queue(queue).noteRun(log(estimateMs), log(actualMs));
  }

  /** What a task with this estimate is expected to take, in ms. */
  expectedMs(queue: string, estimateMs: number): number {
    return Math.exp(this.#queue(queue).predict(log(estimateMs)));
  }

  #queue(name: string): QueueRecord {
    const known = this.#queues.get(name);
    if (known !== undefined) return known;
    const record = new QueueRecord();
    this.#queues.set(name, record);
    return record;
  }
}

function log(ms: number): number {
  return Math.log(Math.max(LEAST_MS, ms));
}
