/**
 * The sole arbiter of one worker: who holds which accelerators, and whether a task may start.
 *
 * Pure: the guard carries out what the book decides and reports back. Orders carry their owner's term and the
 * incarnation of the guard that they are for; lower terms and other incarnations are refused. An end says what
 * this incarnation knows, so an owner orders about an attempt by the incarnation on which it was reserved.
 */
import type {
  AttemptRef,
  GangReserve,
  Order,
  Reservation,
  ReservationState,
  TaskEnd,
} from '../message/message.js';
import type { Worker } from '../upstream/upstream.js';
import { whyTaken } from './capacity.js';
import {
  asReported,
  holds,
  idOf,
  isUnstarted,
  newEntry,
  nothingToStart,
  repeat,
  toHolding,
  toReservation,
  type Entry,
  type StartAnswer,
  type StopAnswer,
} from './reservation-entry.js';
import {
  refuseDomain,
  refuseEnded,
  refuseFull,
  refuseStale,
  refuseTaken,
  refuseUnready,
} from './reservation-problem.js';
import { Tombstones } from './tombstones.js';

/** Reservations held, and ends that no owner has acknowledged. */
const MAX_ENTRIES = 4096;

/** Reservations of one worker in one life of its guard. Times are monotonic ms, passed in. */
export class ReservationBook {
  readonly #incarnation: string;

  readonly #failureDomain: string;

  readonly #tombstones: Tombstones;

  readonly #entries = new Map<string, Entry>();

  /** Highest term seen in an order. */
  highestTerm = 0;

  constructor({
    incarnation,
    failureDomain,
    tombstones = new Tombstones(),
  }: {
    incarnation: string;
    failureDomain: string;
    tombstones?: Tombstones;
  }) {
    this.#incarnation = incarnation;
    this.#failureDomain = failureDomain;
    this.#tombstones = tombstones;
  }

  /** Refuses an order from a stale owner or for another life of this guard. Throws ProblemError. */
  admit(order: Order): void {
    if (order.failureDomain !== this.#failureDomain) throw refuseDomain(order, this.#failureDomain);
    if (order.incarnation !== this.#incarnation || order.term < this.highestTerm) {
      throw refuseStale(order, this.highestTerm, this.#incarnation);
    }
    this.highestTerm = order.term;
  }

  /** Sets capacity aside. Throws ProblemError `stale-term`, `conflict` or `overloaded`; nothing ran. */
  reserve(
    req: GangReserve,
    worker: Worker,
    now: number,
  ): { state: ReservationState; isNew: boolean } {
    this.admit(req.order);
    const known = this.#entries.get(idOf(req.ref));
    if (known && holds(known)) return repeat(known, req, now);
    if (known || this.#tombstones.has(req.ref)) throw refuseEnded(req.ref);
    if (this.#entries.size >= MAX_ENTRIES || this.#tombstones.isFull(now)) throw refuseFull();
    const entry = newEntry(req, now);
    const holdings = [...this.#entries.values()].filter(holds).map(toHolding);
    const why = whyTaken({ worker, wanted: toHolding(entry), holdings });
    if (why) throw refuseTaken(why);
    this.#entries.set(idOf(req.ref), entry);
    return { state: asReported(entry), isNew: true };
  }

  /** The worker has prepared the task. False if it isn't waited for any more. */
  ready(ref: AttemptRef): boolean {
    const entry = this.#entries.get(idOf(ref));
    if (entry?.state !== 'preparing') return false;
    entry.state = 'ready';
    return true;
  }

  /** Right before the start: `start-task` only if the reservation is held and not expired. */
  start(ref: AttemptRef, order: Order, now: number): StartAnswer {
    this.admit(order);
    const entry = this.#entries.get(idOf(ref));
    if (!entry) {
      return { todo: 'nothing', res: { state: 'ended', end: this.#endOfUnknown(ref, now) } };
    }
    if (entry.state === 'preparing' || entry.state === 'held') throw refuseUnready(ref);
    if (entry.state !== 'ready' && entry.state !== 'starting') return nothingToStart(entry);
    if (now >= entry.expiresAt || this.#tombstones.hasAttempt(ref)) throw refuseEnded(ref);
    entry.state = 'starting';
    entry.mayHaveStarted = true;
    entry.startsTried += 1;
    return { todo: 'start-task' };
  }

  /** Right after the start: false if the reservation lapsed meanwhile, and the task must be stopped. */
  started(ref: AttemptRef, now: number): boolean {
    const entry = this.#entries.get(idOf(ref));
    if (entry?.state !== 'starting') return entry?.state === 'running';
    entry.startedAt = now;
    entry.state = now < entry.expiresAt ? 'running' : 'stopping';
    return entry.state === 'running';
  }

  /** The worker surely refused the start; the task is stopped like one that never started. */
  startRefused(ref: AttemptRef): void {
    const entry = this.#entries.get(idOf(ref));
    if (entry?.state !== 'starting') return;
    // An earlier start whose answer was lost may have been the one that worked.
    entry.mayHaveStarted = entry.startsTried > 1;
    entry.state = 'stopping';
  }

  /** Time left before the start, in ms; undefined once it has started or ended. */
  reservedMs(ref: AttemptRef, now: number): number | undefined {
    const entry = this.#entries.get(idOf(ref));
    if (!entry || !isUnstarted(entry)) return undefined;
    return entry.expiresAt - now;
  }

  /** Releases or stops, and bars the attempt for good. */
  stop(ref: AttemptRef, order: Order, now: number): StopAnswer {
    this.admit(order);
    const entry = this.#entries.get(idOf(ref));
    const end = entry ? entry.end : this.#endOfUnknown(ref, now);
    this.#tombstones.barAttempt(ref, now);
    if (!entry || end) return { todo: 'nothing', end: end ?? this.#neverStarted(ref) };
    if (entry.state !== 'held') {
      entry.state = 'stopping';
      return { todo: 'stop-task' };
    }
    this.#entries.delete(idOf(ref));
    return { todo: 'nothing', end: this.#neverStarted(ref) };
  }

  /** The task surely doesn't run any more. Returns the end that stands: the first one. */
  ended(ref: AttemptRef, end: Omit<TaskEnd, 'ref' | 'incarnation'>, now: number): TaskEnd {
    const entry = this.#entries.get(idOf(ref));
    const full: TaskEnd = { ref, incarnation: this.#incarnation, ...end };
    if (!entry) return full;
    if (entry.end) return entry.end;
    if (!entry.mayHaveStarted && end.ranMs === 0) full.outcome = 'never-started';
    entry.state = 'ended';
    entry.end = full;
    this.#tombstones.barMember(ref, now);
    return full;
  }

  /** The owner wrote the end down. */
  forget(ref: AttemptRef, order: Order): void {
    this.admit(order);
    if (this.#entries.get(idOf(ref))?.state === 'ended') this.#entries.delete(idOf(ref));
  }

  /** Lets go of what wasn't started in time. Returns the tasks that must be stopped on the worker. */
  expire(now: number): AttemptRef[] {
    const due = [...this.#entries.values()].filter(
      (entry) => now >= entry.expiresAt && isUnstarted(entry),
    );
    // A claim's hold runs nothing, so it may be taken again: no tombstone.
    due
      .filter(({ state }) => state === 'held')
      .forEach(({ ref }) => this.#entries.delete(idOf(ref)));
    const tasks = due.filter(({ state }) => state !== 'held');
    tasks.forEach((entry) => {
      this.#tombstones.barMember(entry.ref, now);
      Object.assign(entry, { state: 'stopping' });
    });
    return tasks.map(({ ref }) => ref);
  }

  /** When `expire` should be called next, if ever. */
  nextExpiryAt(): number | undefined {
    const times = [...this.#entries.values()].filter(isUnstarted).map(({ expiresAt }) => expiresAt);
    return times.length === 0 ? undefined : Math.min(...times);
  }

  /** One reservation as an owner sees it. */
  find(ref: AttemptRef): Reservation | undefined {
    const entry = this.#entries.get(idOf(ref));
    return entry && toReservation(entry);
  }

  /** Everything held or ended and not yet forgotten. */
  inventory(): Reservation[] {
    return [...this.#entries.values()].map(toReservation);
  }

  /** Bars a ref without an entry. It never started here, unless its end may have been forgotten. */
  #endOfUnknown(ref: AttemptRef, now: number): TaskEnd {
    const mayHaveRun = this.#tombstones.dropped || this.#tombstones.hasMember(ref);
    this.#tombstones.barAttempt(ref, now);
    if (!mayHaveRun) return this.#neverStarted(ref);
    const detail = 'It does not run here; how it ended is no longer known.';
    return { ...this.#neverStarted(ref), outcome: 'lease-lapsed', detail };
  }

  #neverStarted(ref: AttemptRef): TaskEnd {
    return { ref, incarnation: this.#incarnation, outcome: 'never-started', detail: '', ranMs: 0 };
  }
}
