/** Holds what the cell's owner has learned about the speed of a runner, so that the next owner doesn't start anew. */
import type { HeldSpeed } from '@zincspan/core';
import { decay } from '../worker/worker-speed.js';

/** Holds the speed of one incarnation of a runner. Times are on the guard's monotonic clock, in ms. */
export class SpeedHolder {
  #runner = '';

  #held: HeldSpeed = { speed: 100, weight: 0 };

  #notedAt = -Infinity;

  /** An owner's orders for this incarnation came, with or without a speed. */
  note(runner: string, speed: HeldSpeed | undefined, now: number): void {
    if (speed === undefined) return;
    this.#runner = runner;
    this.#held = speed;
    this.#notedAt = now;
  }

  /** What is held for this incarnation; of weight 0 if that is nothing. The weight decays as it does at the owner. */
  of(runner: string, now: number): HeldSpeed & { runner: string } {
    if (runner !== this.#runner) return { runner, speed: 100, weight: 0 };
    const weight = Math.round(this.#held.weight * decay(now - this.#notedAt));
    return { runner, speed: this.#held.speed, weight };
  }
}
