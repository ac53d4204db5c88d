/**
 * Attempts that must never be reserved or started again on this worker.
 *
 * An order can't outlive the link it came by, so a mark older than `keepMs` can't be met by a late copy any more.
 * Marks are dropped only when they fill the bound, and only such old ones; else new reservations are refused.
 */
import type { AttemptRef } from '../message/message.js';

const HOUR_MS = 3_600_000;

/** Bounded set of marks, oldest first. Times are monotonic ms. */
export class Tombstones {
  readonly #marks = new Map<string, number>();

  readonly #bound: number;

  readonly #keepMs: number;

  /** True once a mark was dropped: from then on an unknown attempt may have run. */
  dropped = false;

  constructor({ bound = 20_000, keepMs = HOUR_MS }: { bound?: number; keepMs?: number } = {}) {
    this.#bound = bound;
    this.#keepMs = keepMs;
  }

  /** Bars one member of an attempt. */
  barMember(ref: AttemptRef, now: number): void {
    this.#marks.set(`${ref.key}#${ref.attempt}#${ref.member}`, now);
  }

  /** Bars a whole attempt: one of its members was stopped, so it can't run whole any more. */
  barAttempt(ref: AttemptRef, now: number): void {
    this.#marks.set(`${ref.key}#${ref.attempt}`, now);
  }

  /** True if this member had a reservation here that ended. */
  hasMember(ref: AttemptRef): boolean {
    return this.#marks.has(`${ref.key}#${ref.attempt}#${ref.member}`);
  }

  hasAttempt(ref: AttemptRef): boolean {
    return this.#marks.has(`${ref.key}#${ref.attempt}`);
  }

  has(ref: AttemptRef): boolean {
    return this.hasAttempt(ref) || this.hasMember(ref);
  }

  /** True if nothing may be added: a reservation would need a mark at its end. */
  isFull(now: number): boolean {
    if (this.#marks.size < this.#bound) return false;
    [...this.#marks]
      .filter(([, at]) => now - at > this.#keepMs)
      .forEach(([mark]) => {
        this.#marks.delete(mark);
        this.dropped = true;
      });
    return this.#marks.size >= this.#bound;
  }
}
