/** The pace of a running task: percent of its work per ms, over the last seconds. */

/** Window of a pace, in ms. Listings are up to 700 ms old when a contact carries them: over less, a pace would be mostly noise. */
const WINDOW_MS = 3000;

/** Shortest span from which a pace follows, in ms. */
const MIN_SPAN_MS = 1500;

/** A task at the usual pace gains so many percent over the span, as percentages are whole numbers. */
const MIN_EXPECTED_GAIN = 5;

/** Counted as gained by a task that gained nothing. */
const MIN_GAIN = 0.5;

const FULL_PERCENT = 100;

interface Sample {
  at: number;
  percent: number;
}

/** Samples of one run; times are on the owner's monotonic clock, in ms. */
export class TaskPace {
  #samples: Sample[] = [];

  /** Records what the run reports. `expectedMs`: how long such a task usually takes. */
  note(percent: number, now: number, expectedMs: number): void {
    // The work of a gang begins once all its members are there.
    if (this.#samples.every((sample) => sample.percent === 0) && percent > 0) this.#samples = [];
    this.#samples.push({ at: now, percent });
    const keepMs = Math.max(WINDOW_MS, minSpanMs(expectedMs));
    while ((this.#samples[1]?.at ?? Infinity) <= now - keepMs) this.#samples.shift();
  }

  /** How long a whole task takes at this pace, in ms; undefined until that can be told. */
  durationMs(expectedMs: number): number | undefined {
    const first = this.#samples[0];
    const last = this.#samples.at(-1);
    if (first === undefined || last === undefined || first.percent === 0) return undefined;
    const spanMs = last.at - first.at;
    if (last.percent >= FULL_PERCENT || spanMs < minSpanMs(expectedMs)) return undefined;
    return (FULL_PERCENT * spanMs) / Math.max(MIN_GAIN, last.percent - first.percent);
  }
}

function minSpanMs(expectedMs: number): number {
  return Math.max(MIN_SPAN_MS, (MIN_EXPECTED_GAIN * expectedMs) / FULL_PERCENT);
}
