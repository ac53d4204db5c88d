/** Timers and clock that tests move by hand. */
import { setImmediate as nextTurn } from 'node:timers/promises';
import { ManualClock } from '@zincspan/core';
import type { Timers } from './timers.js';

const STEP_MS = 50;
const MOST_STEPS = 20_000;

export class ManualTimers implements Timers {
  readonly clock = new ManualClock({ start: 1_000_000 });

  readonly #due = new Map<symbol, { at: number; fn: () => void }>();

  after(ms: number, fn: () => void): () => void {
    const id = Symbol('timer');
    this.#due.set(id, { at: this.clock.now() + ms, fn });
    return () => this.#due.delete(id);
  }

  /** Lets everything that needs no time happen. */
  static async settle(): Promise<void> {
    for (let i = 0; i < 20; i += 1) await nextTurn();
  }

  /** Lets `ms` pass in small steps. */
  async pass(ms: number): Promise<void> {
    const until = this.clock.now() + ms;
    while (this.clock.now() < until) await this.#step();
  }

  /** Lets time pass until `isDone`. */
  async until(what: string, isDone: () => boolean): Promise<void> {
    await ManualTimers.settle();
    for (let i = 0; i < MOST_STEPS; i += 1) {
      if (isDone()) return;
      await this.#step();
    }
    throw new Error(`It never came to this: ${what}.`);
  }

  async #step(): Promise<void> {
    this.clock.advance(STEP_MS);
    [...this.#due]
      .filter(([, { at }]) => at <= this.clock.now())
      .forEach(([id, { fn }]) => {
        if (this.#due.delete(id)) fn();
      });
    await ManualTimers.settle();
  }
}
