/**
 * How long the guard of one member has been silent, and what follows for the member. A guard that is cut off stops
 * its tasks by itself: by its own times the owner knows when it may begin, and when none of them runs any more.
 */
import { DEFAULT_CONTACT_TIMES, fencing } from '@zincspan/core';
import type { OrderResult } from './guard-orders.js';
import type { MemberDriverOptions, PlacedMember } from './placed-member.js';

/** A reservation has surely dropped by itself after this many times its time, whatever the guard's clock. */
const LAPSE_MARGIN = 1.5;

/** What it is told by. */
export type GuardSilenceOptions = Pick<
  MemberDriverOptions,
  'clock' | 'orders' | 'ttlMs' | 'lostAfterMs' | 'task'
>;

/** Silence of a guard as far as one member is concerned. */
export class GuardSilence {
  readonly #options: GuardSilenceOptions;

  #since: number | undefined;

  /** When an order that renews the reservation may have arrived last. */
  #renewedAt = Number.NEGATIVE_INFINITY;

  #told = false;

  constructor(options: GuardSilenceOptions) {
    this.#options = options;
  }

  /** An order was answered, or wasn't. */
  note({ type }: Pick<OrderResult<unknown>, 'type'>): void {
    const silent = type === 'not-sent' || type === 'lost';
    this.#since = silent ? (this.#since ?? this.#options.clock.now()) : undefined;
  }

  /** The reservation may have been renewed just now. */
  noteRenewed(): void {
    this.#renewedAt = this.#options.clock.now();
  }

  /** Whether the member surely runs no more, and never will. */
  isSurelyOver({ placed, started }: { placed: PlacedMember; started: boolean }): boolean {
    if (this.#since === undefined) return false;
    const { clock, lostAfterMs, ttlMs, task } = this.#options;
    const now = clock.now();
    const isLapsed = now - this.#renewedAt >= ttlMs * LAPSE_MARGIN;
    if (!started) return isLapsed;
    if (task === undefined) return now - this.#since >= lostAfterMs;
    // A start that arrived late runs on what was left of its reservation.
    return isLapsed && now >= this.#fencing(placed, this.#since).overAt;
  }

  /** True once, when the guard may be stopping a started task by itself. */
  hasBecomeLong(placed: PlacedMember): boolean {
    const { clock, task } = this.#options;
    if (this.#since === undefined || this.#told || task === undefined) return false;
    this.#told = clock.now() >= this.#fencing(placed, this.#since).beginsAt;
    return this.#told;
  }

  /** By the guard's own times, from when it may have been in contact last. */
  #fencing(
    { guard, contact = DEFAULT_CONTACT_TIMES }: PlacedMember,
    since: number,
  ): { beginsAt: number; overAt: number } {
    const answeredAt = this.#options.orders.answeredAt(guard) ?? since;
    return fencing(contact, Math.max(since, answeredAt));
  }
}
