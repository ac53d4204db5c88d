/** State of the gang model: a job's row, owners, guards with their workers, and orders on their way. */

/** Outcome of a member as its guard, or a lapsed lease, tells it. */
export type End = 'never' | 'ok' | 'fail' | 'stopped' | 'lapsed';
export type Ran = 'not-run' | 'ran' | 'unknown';

/** Where each member is: guard and the guard's incarnation, by member. */
export type Place = readonly (readonly [guard: number, incarnation: number])[];

/** A job's row. `by` is the owner's term that wrote `started`. */
export interface Row {
  st: 'queued' | 'started' | 'succeeded' | 'failed' | 'cancelled';
  attempt: number;
  by: number;
  at: Place;
  cancel: boolean;
  /** What the attempts that have ended came to, all together. */
  before: Ran;
  ran: Ran | '';
}

/** What an owner is doing with the job. */
export interface Owner {
  term: number;
  ph: 'none' | 'new' | 'reserving' | 'unsure' | 'running' | 'stopping' | 'done';
  attempt: number;
  at: Place;
  /** The row as last read. */
  seen: Row | null;
  /** The row that it wrote without an answer yet. */
  to: Row | null;
  /** The table's record of that write: whether it took effect. */
  effect: boolean;
}

/** A task on a worker. `due`: its time has passed. `orphan`: its guard doesn't know of it. */
export interface Task {
  attempt: number;
  member: number;
  st: 'held' | 'starting' | 'running';
  due: boolean;
  orphan: boolean;
}

export interface Guard {
  up: boolean;
  inc: number;
  high: number;
  tasks: readonly Task[];
  /** Attempts that were stopped or have ended here. */
  tombstones: readonly number[];
}

/** An order. It stays on its way for ever: it may arrive late, out of order and more than once. */
export interface Order {
  kind: 'reserve' | 'start' | 'stop';
  term: number;
  attempt: number;
  member: number;
  guard: number;
  inc: number;
}

/** Something a guard said or a clock showed. Owners may learn of it at any time after. */
export interface Fact {
  kind: 'ready' | End;
  attempt: number;
  member: number;
  guard: number;
  inc: number;
  /** For `ready`: the term of the owner that was told so; else 0. */
  term: number;
}

export interface GangState {
  row: Row;
  /** A write that may yet take effect. */
  late: { owner: number; seen: Row; to: Row } | null;
  owners: readonly Owner[];
  guards: readonly Guard[];
  orders: readonly Order[];
  facts: readonly Fact[];
  /** History: starts that workers carried out, by `attempt.member`. */
  starts: readonly string[];
  term: number;
  holder: number;
  /** Faults that the environment may still cause. */
  faults: number;
}

/** Bounds of one exploration. */
export interface GangBounds {
  tasks: number;
  idempotent: boolean;
  terms: number;
  attempts: number;
  faults: number;
  /** Owners choose among the guards; else member i goes to guard i. */
  choose: boolean;
  /** Another job asks for the same accelerator. */
  rival: boolean;
}

/** Reservation of another job on the same accelerator. */
export const RIVAL = -1;

export const NO_OWNER: Owner = {
  term: 0,
  ph: 'none',
  attempt: 0,
  at: [],
  seen: null,
  to: null,
  effect: false,
};

/** First owner in office, job queued, both guards up. */
export function startOf(bounds: GangBounds): GangState {
  const guard: Guard = { up: true, inc: 0, high: 0, tasks: [], tombstones: [] };
  return {
    row: { st: 'queued', attempt: 0, by: 0, at: [], cancel: false, before: 'not-run', ran: '' },
    late: null,
    owners: [{ ...NO_OWNER, term: 1, ph: 'new' }, NO_OWNER],
    guards: [guard, guard],
    orders: [],
    facts: [],
    starts: [],
    term: 1,
    holder: 0,
    faults: bounds.faults,
  };
}

/** What two attempts came to together. */
export function mergeRan(a: Ran, b: Ran): Ran {
  if (a === 'ran' || b === 'ran') return 'ran';
  return a === 'unknown' || b === 'unknown' ? 'unknown' : 'not-run';
}

/** True if two rows are the same: a row never takes an earlier value again. */
export function sameRow(a: Row, b: Row): boolean {
  return a.st === b.st && a.attempt === b.attempt && a.by === b.by && a.cancel === b.cancel;
}

export function isFinal({ st }: Row): boolean {
  return st !== 'queued' && st !== 'started';
}

export function withGuard(s: GangState, g: number, change: Partial<Guard>): GangState {
  return { ...s, guards: s.guards.map((guard, i) => (i === g ? { ...guard, ...change } : guard)) };
}

export function withOwner(s: GangState, o: number, change: Partial<Owner>): GangState {
  return { ...s, owners: s.owners.map((owner, i) => (i === o ? { ...owner, ...change } : owner)) };
}

const keys = new WeakMap<Order | Fact, string>();

function keyOf(item: Order | Fact): string {
  const key = keys.get(item) ?? Object.values(item).join(' ');
  keys.set(item, key);
  return key;
}

/** Adds to a set kept in a canonical order. */
function withItem<T extends Order | Fact>(set: readonly T[], item: T): readonly T[] {
  const key = keyOf(item);
  if (set.some((other) => keyOf(other) === key)) return set;
  return [...set, item].sort((a, b) => (keyOf(a) < keyOf(b) ? -1 : 1));
}

export function say(s: GangState, fact: Fact): GangState {
  return { ...s, facts: withItem(s.facts, fact) };
}

export function send(s: GangState, orders: Order[]): GangState {
  return { ...s, orders: orders.reduce(withItem, s.orders) };
}

/** Orders of one kind to every member of an attempt. */
export function toMembers(
  kind: Order['kind'],
  { term, attempt, at }: Pick<Owner, 'term' | 'attempt' | 'at'>,
): Order[] {
  return at.map(([guard, inc], member) => ({ kind, term, attempt, member, guard, inc }));
}
