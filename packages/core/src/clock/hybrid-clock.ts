/** Hybrid logical clock (Kulkarni et al., 2014): wall time that never contradicts causality. */
import * as z from 'zod';
import type { Clock } from './clock.js';

/** A stamp: milliseconds since the epoch and a counter that orders events within one of them. */
export const hybridStampSchema = z.tuple([z.number(), z.int().min(0)]);
export type HybridStamp = z.infer<typeof hybridStampSchema>;

/** Order of two stamps, as for Array.prototype.sort. */
export function compareStamps(a: HybridStamp, b: HybridStamp): number {
  return a[0] - b[0] || a[1] - b[1];
}

/** Stamps local events and merges stamps received from peers. */
export class HybridClock {
  readonly #clock: Clock;

  readonly #maxDriftMs: number;

  #last: HybridStamp = [0, 0];

  /** `maxDriftMs` bounds how far a peer with a wrong calendar may pull this clock ahead. */
  constructor({ clock, maxDriftMs = 60_000 }: { clock: Clock; maxDriftMs?: number }) {
    this.#clock = clock;
    this.#maxDriftMs = maxDriftMs;
  }

  /** A stamp later than every stamp given or merged before. */
  tick(): HybridStamp {
    const wall = this.#clock.wall();
    this.#last = wall > this.#last[0] ? [wall, 0] : [this.#last[0], this.#last[1] + 1];
    return this.#last;
  }

  /** Takes note of a peer's stamp, so that the next tick is later than it. */
  merge(remote: HybridStamp): void {
    const limit = this.#clock.wall() + this.#maxDriftMs;
    if (remote[0] > limit) return;
    if (compareStamps(remote, this.#last) > 0) this.#last = remote;
  }
}
