/** Owners: what they decide, order and write. */
import type { GangAct } from './acts.js';
import type { Keeps } from './guard.js';
import { run, release, write } from './table.js';
import {
  NO_OWNER,
  mergeRan,
  send,
  toMembers,
  withOwner,
  type End,
  type GangBounds,
  type GangState,
  type Owner,
  type Ran,
  type Row,
} from './state.js';

type ActOf<Kind extends GangAct['kind']> = Extract<GangAct, { kind: Kind }>;

/** Takes the lease row. The old owner may be paused and unaware: it simply acts later. */
export function takeOver(s: GangState, o: number, bounds: GangBounds): GangState | undefined {
  const inOffice = s.holder === o && s.owners[o]!.ph !== 'none';
  if (inOffice || s.term === bounds.terms) return undefined;
  const term = s.term + 1;
  return withOwner({ ...s, term, holder: o }, o, { ...NO_OWNER, term, ph: 'new' });
}

/** The owner dies with all it knew. The last one doesn't, so that the job may be settled. */
export function crashOwner(s: GangState, o: number, bounds: GangBounds): GangState | undefined {
  if (s.faults === 0 || s.owners[o]!.ph === 'none') return undefined;
  if (s.holder === o && s.term === bounds.terms) return undefined;
  return withOwner({ ...s, faults: s.faults - 1 }, o, NO_OWNER);
}

/** Reads the queued row and reserves every member of the next attempt. */
export function place(
  s: GangState,
  { owner: o, guards }: ActOf<'place'>,
  bounds: GangBounds,
): GangState | undefined {
  const owner = s.owners[o]!;
  const attempt = Math.max(s.row.attempt, owner.attempt) + 1;
  if (owner.ph !== 'new' || s.row.st !== 'queued' || s.row.cancel) return undefined;
  if (attempt > bounds.attempts || guards.some((g) => !s.guards[g]!.up)) return undefined;
  const at = guards.map((g) => [g, s.guards[g]!.inc] as const);
  const placed: Owner = { ...owner, ph: 'reserving', attempt, at, seen: s.row };
  return send(withOwner(s, o, placed), toMembers('reserve', placed));
}

/** Reads a queued row whose cancellation was asked for and ends it. */
export function withdraw(
  s: GangState,
  { owner: o, how }: ActOf<'withdraw'>,
  keeps: Keeps,
): GangState | undefined {
  if (s.owners[o]!.ph !== 'new' || s.row.st !== 'queued' || !s.row.cancel) return undefined;
  // That an attempt was started doesn't say that it ran.
  const careless: Ran = s.row.attempt === 0 ? 'not-run' : 'ran';
  const ran = keeps('ran-known') ? s.row.before : careless;
  const to: Row = { ...s.row, st: 'cancelled', ran };
  return write(withOwner(s, o, { seen: s.row }), o, { to, how }, keeps);
}

/** Reads a started row, as after taking over, and takes the attempt on. */
export function findStarted(s: GangState, o: number): GangState | undefined {
  if (s.owners[o]!.ph !== 'new' || s.row.st !== 'started') return undefined;
  return run(s, o, s.row);
}

/** The row has moved on without this owner. */
export function reread(s: GangState, o: number): GangState | undefined {
  const { ph, attempt } = s.owners[o]!;
  if (ph !== 'running' && ph !== 'stopping') return undefined;
  if (s.row.st === 'started' && s.row.attempt === attempt) return undefined;
  return withOwner(s, o, { ph: 'new', seen: null, at: [] });
}

/** Gives up an attempt that didn't start. */
export function abandon(s: GangState, o: number): GangState | undefined {
  if (s.owners[o]!.ph !== 'reserving') return undefined;
  return release(s, o);
}

/** All members are ready: writes the row started. */
export function writeStarted(
  s: GangState,
  { owner: o, how }: ActOf<'write-started'>,
  keeps: Keeps,
): GangState | undefined {
  const owner = s.owners[o]!;
  if (owner.ph !== 'reserving') return undefined;
  const ready = owner.at.filter((_, member) => isReady(s, owner, member)).length;
  if (ready < (keeps('all-ready') ? owner.at.length : 1)) return undefined;
  const { attempt, term, at } = owner;
  const to: Row = { ...owner.seen!, st: 'started', attempt, by: term, at };
  const next = keeps('row-first') ? s : send(s, toMembers('start', owner));
  return write(next, o, { to, how }, keeps);
}

function isReady({ facts }: GangState, { attempt, at, term }: Owner, member: number): boolean {
  const [guard, inc] = at[member]!;
  return facts.some(
    (fact) =>
      fact.kind === 'ready' &&
      fact.attempt === attempt &&
      fact.member === member &&
      fact.guard === guard &&
      fact.inc === inc &&
      fact.term === term,
  );
}

/** What an owner may know of how a member ended. A new incarnation has surely stopped the old one's tasks. */
export function endsOf(s: GangState, { attempt, at }: Owner, member: number): End[] {
  const [g, inc] = at[member]!;
  const said = s.facts.filter(
    (fact) =>
      fact.kind !== 'ready' &&
      fact.attempt === attempt &&
      fact.member === member &&
      fact.guard === g &&
      fact.inc === inc,
  );
  const guard = s.guards[g]!;
  const replaced: End[] = guard.up && guard.inc > inc ? ['lapsed'] : [];
  return [...said.map(({ kind }) => kind as End), ...replaced];
}

/** A member is gone, or the caller cancelled: all are stopped. */
export function stopAll(s: GangState, o: number, keeps: Keeps): GangState | undefined {
  const owner = s.owners[o]!;
  if (owner.ph !== 'running') return undefined;
  const isOwn = s.row.st === 'started' && s.row.attempt === owner.attempt;
  if (!isOwn && keeps('own-attempt')) return undefined;
  const lost = owner.at.some((_, m) => endsOf(s, owner, m).some((end) => end !== 'ok'));
  if (!lost && !s.row.cancel) return undefined;
  return send(withOwner(s, o, { ph: 'stopping', seen: s.row }), toMembers('stop', owner));
}

/** Concludes an attempt that has surely ended, by the row as last read. */
export function conclude(
  s: GangState,
  { owner: o, as, how }: ActOf<'conclude'>,
  bounds: GangBounds,
  keeps: Keeps,
): GangState | undefined {
  const owner = s.owners[o]!;
  if (owner.ph !== 'running' && owner.ph !== 'stopping') return undefined;
  const seen = owner.seen!;
  const ends = owner.at.map((_, member) => endsOf(s, owner, member));
  if (!mayConclude(owner, ends, as === 'succeeded', keeps)) return undefined;
  if (as === 'cancelled' && !seen.cancel) return undefined;
  if (as === 'queued' && !mayQueue(seen, bounds, keeps)) return undefined;
  const ran = mergeRan(seen.before, ranOf(ends, keeps));
  const ended: Row = { ...seen, st: as, ran };
  const to: Row = as === 'queued' ? { ...ended, at: [], by: 0, before: ran, ran: '' } : ended;
  return write(s, o, { to, how }, keeps);
}

function mayConclude(owner: Owner, ends: End[][], succeeded: boolean, keeps: Keeps): boolean {
  const isWell = keeps('all-succeeded')
    ? ends.every((end) => end.includes('ok'))
    : ends.some((end) => end.includes('ok'));
  if (succeeded) return isWell;
  if (ends.every((end) => end.includes('ok'))) return false;
  if (owner.ph === 'running') return !keeps('stop-others') && ends.some((end) => end.length > 0);
  return !keeps('all-ended') || ends.every((end) => end.length > 0);
}

function mayQueue(row: Row, bounds: GangBounds, keeps: Keeps): boolean {
  if (row.cancel || row.attempt === bounds.attempts) return false;
  return bounds.idempotent || !keeps('once');
}

/** What the caller is told of a row that said started. */
function ranOf(ends: End[][], keeps: Keeps): Ran {
  const ran: End[] = ['ok', 'fail', 'stopped'];
  if (ends.some((end) => end.some((kind) => ran.includes(kind)))) return 'ran';
  const barred = ends.every((end) => end.includes('never'));
  return barred || !keeps('not-run-barred') ? 'not-run' : 'unknown';
}
