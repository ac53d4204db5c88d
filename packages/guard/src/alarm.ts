/** One timer that is set again and again to the next time at which something is due. */
import type { Clock } from '@zincspan/core';

/** Rings once for each `set`, unless it is set again or stopped first. Times are monotonic ms. */
export class Alarm {
  readonly #clock: Clock;

  readonly #ring: () => void;

  #timer: NodeJS.Timeout | undefined;

  #stopped = false;

  constructor({ clock, ring }: { clock: Clock; ring: () => void }) {
    this.#clock = clock;
    this.#ring = ring;
  }

  /** Sets it to this time; undefined clears it. */
  set(at: number | undefined): void {
    clearTimeout(this.#timer);
    if (at === undefined || !Number.isFinite(at) || this.#stopped) return;
    this.#timer = setTimeout(this.#ring, Math.max(1, at - this.#clock.now()));
  }

  /** Clears it for good. */
  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }
}
