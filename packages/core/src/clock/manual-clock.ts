/** A clock under the caller's control. */
import type { Clock } from './clock.js';

/** A clock that tests and benches move by hand. */
export class ManualClock implements Clock {
  #now: number;

  constructor({ start = 0 }: { start?: number } = {}) {
    this.#now = start;
  }

  now(): number {
    return this.#now;
  }

  wall(): number {
    return this.#now;
  }

  advance(ms: number): void {
    this.#now += ms;
  }
}
