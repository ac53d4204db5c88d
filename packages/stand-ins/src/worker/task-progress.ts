/** How far a task has come: progress grows steadily, at a rate that throttling changes. */

/** Progress from 0 to 1 over time. All times are monotonic ms. */
export class TaskProgress {
  readonly #runMs: number;

  #base: number;

  #since: number;

  #speed = 1;

  /** `from` is the progress at `now`; `runMs` the time from 0 to 1 at full speed. */
  constructor({ from, runMs, now }: { from: number; runMs: number; now: number }) {
    this.#base = from;
    this.#runMs = runMs;
    this.#since = now;
  }

  get speed(): number {
    return this.#speed;
  }

  /** Progress at `now`; before the last change of speed it is given as of that change. */
  at(now: number): number {
    if (this.#runMs === 0) return 1;
    const elapsedMs = Math.max(0, now - this.#since);
    return Math.min(1, this.#base + (elapsedMs * this.#speed) / this.#runMs);
  }

  /** When it reaches 1; never at speed 0. */
  get endsAt(): number {
    if (this.#speed === 0) return Infinity;
    return this.#since + ((1 - this.#base) * this.#runMs) / this.#speed;
  }

  /** Changes the speed, 1 being full, from `now` on. */
  setSpeed(speed: number, now: number): void {
    this.#base = this.at(now);
    this.#since = now;
    this.#speed = speed;
  }
}
