/** Writes to the job's row: they may be lost, may take effect unseen, or late. */
import type { WriteOutcome } from './acts.js';
import type { Keeps } from './guard.js';
import {
  NO_OWNER,
  isFinal,
  sameRow,
  send,
  toMembers,
  withOwner,
  type GangState,
  type Row,
} from './state.js';

/** The caller's cancellation, written by any entry. */
export function cancel(s: GangState): GangState | undefined {
  if (isFinal(s.row) || s.row.cancel) return undefined;
  return { ...s, row: { ...s.row, cancel: true } };
}

/** The owner's write arrives, or is lost on the way, or its answer is. */
export function write(
  s: GangState,
  o: number,
  { to, how }: { to: Row; how: WriteOutcome },
  keeps: Keeps,
): GangState | undefined {
  const seen = s.owners[o]!.seen!;
  const fits = !keeps('compare-and-set') || sameRow(s.row, seen);
  if (how === 'answered') return fits ? written({ ...s, row: to }, o, to) : unwritten(s, o, to);
  if (s.faults === 0) return undefined;
  const unsure = withOwner({ ...s, faults: s.faults - 1 }, o, { ph: 'unsure', to });
  if (how === 'dropped') return unsure;
  if (how === 'late') return s.late ? undefined : { ...unsure, late: { owner: o, seen, to } };
  return fits ? withOwner({ ...unsure, row: to }, o, { effect: true }) : undefined;
}

/** A write that its owner has given up for lost arrives after all. */
export function lateWrite(s: GangState, keeps: Keeps): GangState | undefined {
  if (!s.late) return undefined;
  const { owner: o, seen, to } = s.late;
  const gone = { ...s, late: null };
  if (keeps('compare-and-set') && !sameRow(s.row, seen)) return gone;
  const isAsked = s.owners[o]!.ph === 'unsure' && s.owners[o]!.to === to;
  const next = { ...gone, row: to };
  return isAsked ? withOwner(next, o, { effect: true }) : next;
}

/** The owner asks what became of its write. The table bars one that hasn't arrived yet. */
export function settleWrite(s: GangState, o: number, keeps: Keeps): GangState | undefined {
  const { ph, to, effect } = s.owners[o]!;
  if (ph !== 'unsure') return undefined;
  const isBarred = s.late?.owner === o;
  const settled = isBarred ? { ...s, late: null } : s;
  if (!keeps('read-back')) return written(settled, o, to!);
  const tookEffect = keeps('own-write') ? effect : isLike(s.row, to!);
  return tookEffect ? written(settled, o, to!) : unwritten(settled, o, to!);
}

function isLike(row: Row, to: Row): boolean {
  return row.st === to.st && row.attempt === to.attempt;
}

/** What an owner does once its write is known to have taken effect. */
function written(s: GangState, o: number, to: Row): GangState {
  if (to.st === 'started') return run(s, o, to);
  if (to.st === 'queued') return renew(s, o);
  return withOwner(s, o, { ...NO_OWNER, term: s.owners[o]!.term, ph: 'done' });
}

/** What an owner does once its write is known not to have taken effect. */
function unwritten(s: GangState, o: number, to: Row): GangState {
  return to.st === 'started' ? release(s, o) : renew(s, o);
}

/** Stops every member that was reserved, and begins again by reading the row. */
export function release(s: GangState, o: number): GangState {
  const orders = toMembers('stop', s.owners[o]!);
  return send(renew(s, o), orders);
}

function renew(s: GangState, o: number): GangState {
  return withOwner(s, o, { ph: 'new', seen: null, to: null, at: [], effect: false });
}

/** Sends start to every member of an attempt whose row says started. */
export function run(s: GangState, o: number, row: Row): GangState {
  const { attempt, at } = row;
  const { term } = s.owners[o]!;
  const orders = toMembers('start', { term, attempt, at });
  const change = { ph: 'running', attempt, at, seen: row, to: null, effect: false } as const;
  return send(withOwner(s, o, change), orders);
}
