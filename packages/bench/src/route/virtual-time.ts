/** Virtual time: events in order of their time, and of their making where times are equal. */
import { MinHeap } from '@zincspan/core';

interface TimedEvent {
  at: number;
  order: number;
  run: () => void;
}

/** The driver's clock and event queue, in ms. */
export class VirtualTime {
  now = 0;

  #made = 0;

  readonly #events = new MinHeap<TimedEvent>((a, b) => a.at - b.at || a.order - b.order);

  /** Runs `run` after `delayMs`. */
  after(delayMs: number, run: () => void): void {
    this.#made += 1;
    this.#events.push({ at: this.now + delayMs, order: this.#made, run });
  }

  /** Runs events up to `until`. */
  runUntil(until: number): void {
    for (let next = this.#events.peek(); next && next.at <= until; next = this.#events.peek()) {
      this.#events.pop();
      this.now = next.at;
      next.run();
    }
    this.now = until;
  }
}
