/** One reservation in the book, and what may be said of it. */
import type { Member } from '../gang/shape.js';
import type {
  AttemptRef,
  GangReserve,
  Reservation,
  ReservationState,
  TaskEnd,
} from '../message/message.js';
import type { Holding } from './capacity.js';
import { refuseEnded, refuseTaken } from './reservation-problem.js';

/** `starting`: the worker was, or is about to be, told to pass the barrier. */
export type BookState = ReservationState | 'starting';

/** One reservation. `expiresAt` and `startedAt` in monotonic ms. */
export interface Entry {
  ref: AttemptRef;
  member: Member;
  state: BookState;
  term: number;
  within: string | undefined;
  claim: boolean;
  expiresAt: number;
  /** The worker may have passed the barrier. */
  mayHaveStarted: boolean;
  /** Starts whose answers aren't known to be refusals. */
  startsTried: number;
  startedAt: number | undefined;
  end: TaskEnd | undefined;
}

/** What the guard is to do about a stop. */
export type StopAnswer = { todo: 'nothing'; end: TaskEnd } | { todo: 'stop-task' };

/** What the guard is to do about a start. */
export type StartAnswer =
  { todo: 'start-task' } | { todo: 'nothing'; res: { state: ReservationState; end?: TaskEnd } };

/** Key of a reservation. */
export function idOf({ key, attempt, member }: AttemptRef): string {
  return `${key}#${attempt}#${member}`;
}

/** True while it takes capacity. */
export function holds(entry: Entry): boolean {
  return entry.state !== 'ended';
}

function isWaiting({ state }: Entry): boolean {
  return state === 'preparing' || state === 'ready' || state === 'held';
}

/** True until the start is confirmed, while the reservation's time runs. */
export function isUnstarted(entry: Entry): boolean {
  return isWaiting(entry) || entry.state === 'starting';
}

/** Its part in the sums of capacity. */
export function toHolding(entry: Entry): Holding {
  return { key: entry.ref.key, member: entry.member, claim: entry.claim, within: entry.within };
}

function sameMember(a: Member, b: Member): boolean {
  return (
    a.cores === b.cores &&
    a.memoryMb === b.memoryMb &&
    a.accelerators.length === b.accelerators.length &&
    a.accelerators.every((number) => b.accelerators.includes(number))
  );
}

/** A fresh reservation. */
export function newEntry(req: GangReserve, now: number): Entry {
  return {
    ref: req.ref,
    member: req.member,
    state: req.task ? 'preparing' : 'held',
    term: req.order.term,
    within: req.within,
    claim: req.task === undefined,
    expiresAt: now + req.ttlMs,
    mayHaveStarted: false,
    startsTried: 0,
    startedAt: undefined,
    end: undefined,
  };
}

/** State as owners see it: what may have started counts as running. */
export function asReported({ state }: Entry): ReservationState {
  return state === 'starting' ? 'running' : state;
}

/** The reservation as owners see it. */
export function toReservation(entry: Entry): Reservation {
  return {
    ref: entry.ref,
    member: entry.member,
    state: asReported(entry),
    term: entry.term,
    ...(entry.within === undefined ? {} : { within: entry.within }),
    ...(entry.end === undefined ? {} : { end: entry.end }),
    ranMs: entry.end?.ranMs ?? 0,
  };
}

/** The answer to a repeated start. */
export function nothingToStart(entry: Entry): StartAnswer {
  const state = asReported(entry);
  const end = entry.end === undefined ? {} : { end: entry.end };
  return { todo: 'nothing', res: { state, ...end } };
}

/** A repeated reserve: answers where it stands and, before the start, grants the time again. */
export function repeat(
  entry: Entry,
  req: GangReserve,
  now: number,
): { state: ReservationState; isNew: boolean } {
  if (!sameMember(entry.member, req.member) || entry.within !== req.within) {
    throw refuseTaken('the attempt is reserved here with another size');
  }
  const waits = isWaiting(entry);
  const lapsed = now >= entry.expiresAt && waits && entry.state !== 'held';
  if (lapsed || entry.state === 'stopping') throw refuseEnded(req.ref);
  Object.assign(entry, { term: req.order.term, ...(waits ? { expiresAt: now + req.ttlMs } : {}) });
  return { state: asReported(entry), isNew: false };
}
