/** The configuration bundle: racing operators, a head row, and daemons that only go forward. */
import type { Model, Rule } from '../explore/model.js';

export const BUNDLE_RULES = [
  { id: 'forward', text: 'a daemon takes only a higher version than the one in force' },
  { id: 'two-signatures', text: 'a head needs the signatures of two operators' },
  { id: 'digest', text: 'the body must have the digest that was signed' },
  { id: 'compare-and-set', text: 'the head row changes only if it is as the operator read it' },
  { id: 'row-first', text: 'a head is spread only once it is known to stand in the head row' },
] as const satisfies Rule[];
export type BundleRule = (typeof BUNDLE_RULES)[number]['id'];

/** A head as daemons see it. `by` tells racing operators' bodies apart. */
export interface Head {
  version: number;
  by: number;
  signatures: number;
}

export interface Daemon {
  head: Head | null;
  /** Body in force has the signed digest. */
  sound: boolean;
}

export interface BundleState {
  row: Head | null;
  /** What each operator read, and wrote without knowing the result. */
  operators: readonly { read: number; proposed: Head | null }[];
  /** Heads that stood in the row: the past, to tell what was accepted. */
  accepted: readonly string[];
  /** Heads that anyone may offer, however old. */
  offers: readonly Head[];
  daemons: readonly Daemon[];
  fell: boolean;
  faults: number;
}

export type BundleAct =
  | { kind: 'propose'; operator: number }
  | { kind: 'roll-out'; operator: number; answerLost: boolean }
  | { kind: 'read-back'; operator: number }
  | { kind: 'read-row'; daemon: number }
  | { kind: 'offer'; daemon: number; head: Head; sound: boolean }
  | { kind: 'forge' }
  | { kind: 'restart-daemon'; daemon: number };

/** The model within bounds on versions and faults. */
export function bundleModel(
  { versions, faults }: { versions: number; faults: number },
  without?: BundleRule,
): Model<BundleState, BundleAct> {
  const keeps = (rule: BundleRule) => rule !== without;
  const daemon: Daemon = { head: null, sound: true };
  const operator = { read: 0, proposed: null };
  return {
    name: 'bundle',
    start: {
      row: null,
      operators: [operator, operator],
      accepted: [],
      offers: [],
      daemons: [daemon, daemon],
      fell: false,
      faults,
    },
    acts,
    step: (s, act) => step(s, act, versions, keeps),
    violation,
    describe,
    kindOf: ({ kind }) => kind,
  };
}

function describe(act: BundleAct): string {
  switch (act.kind) {
    case 'propose':
      return `operator ${act.operator} reads the head row and signs the next version with another`;
    case 'roll-out':
      return `operator ${act.operator} writes the head row${act.answerLost ? ', answer lost' : ''}`;
    case 'read-back':
      return `operator ${act.operator} reads the head row back`;
    case 'read-row':
      return `daemon ${act.daemon} reads the head row`;
    case 'offer':
      return `daemon ${act.daemon} is offered ${nameOf(act.head)}${act.sound ? '' : ' with another body'}`;
    case 'forge':
      return 'a version 9 that one operator signed goes round';
    default:
      return `daemon ${act.daemon} restarts with no bundle`;
  }
}

function nameOf({ version, by }: Head): string {
  return `version ${version} of operator ${by}`;
}

function acts(s: BundleState): BundleAct[] {
  const ofOperators = [0, 1].flatMap((operator): BundleAct[] => [
    { kind: 'propose', operator },
    { kind: 'roll-out', operator, answerLost: false },
    { kind: 'roll-out', operator, answerLost: true },
    { kind: 'read-back', operator },
  ]);
  const ofDaemons = [0, 1].flatMap((daemon): BundleAct[] => [
    { kind: 'read-row', daemon },
    { kind: 'restart-daemon', daemon },
    ...s.offers.flatMap((head): BundleAct[] => [
      { kind: 'offer', daemon, head, sound: true },
      { kind: 'offer', daemon, head, sound: false },
    ]),
  ]);
  return [...ofOperators, ...ofDaemons, { kind: 'forge' }];
}

function violation(s: BundleState): string | undefined {
  if (s.fell) return 'the version of a running daemon never falls';
  const inForce = s.daemons.flatMap(({ head }) => head ?? []);
  if (s.daemons.some(({ sound }) => !sound)) return 'the body in force is the one that was signed';
  if (inForce.some(({ signatures }) => signatures < 2)) {
    return 'two operators signed what is in force';
  }
  if (inForce.some((head) => !s.accepted.includes(nameOf(head)))) {
    return 'only what was accepted in the head row is in force';
  }
  const versions = s.accepted.map((name) => name.split(' of ')[0]);
  if (new Set(versions).size < versions.length) return 'one body is accepted for a version';
  return undefined;
}

type Keeps = (rule: BundleRule) => boolean;

function step(
  s: BundleState,
  act: BundleAct,
  versions: number,
  keeps: Keeps,
): BundleState | undefined {
  switch (act.kind) {
    case 'propose':
      return propose(s, act.operator, versions, keeps);
    case 'roll-out':
      return rollOut(s, act, keeps);
    case 'read-back':
      return readBack(s, act.operator);
    case 'read-row':
      return s.row ? take(s, act.daemon, s.row, true, keeps) : undefined;
    case 'offer':
      return isOffered(s, act.head) ? take(s, act.daemon, act.head, act.sound, keeps) : undefined;
    case 'forge':
      return forge(s);
    case 'restart-daemon':
      return restart(s, act.daemon);
    default:
      return act satisfies never;
  }
}

/** A head of a high version that only one operator signed. */
function forge(s: BundleState): BundleState | undefined {
  if (s.faults === 0) return undefined;
  return withOffer({ ...s, faults: s.faults - 1 }, { version: 9, by: 2, signatures: 1 });
}

/** VMs keep nothing. */
function restart(s: BundleState, d: number): BundleState | undefined {
  if (s.faults === 0) return undefined;
  return withDaemon({ ...s, faults: s.faults - 1 }, d, { head: null, sound: true });
}

function withDaemon(s: BundleState, d: number, daemon: Daemon): BundleState {
  return { ...s, daemons: s.daemons.map((other, i) => (i === d ? daemon : other)) };
}

function withOperator(
  s: BundleState,
  o: number,
  operator: BundleState['operators'][number],
): BundleState {
  return { ...s, operators: s.operators.map((other, i) => (i === o ? operator : other)) };
}

function isOffered({ offers }: BundleState, head: Head): boolean {
  return offers.some((other) => nameOf(other) === nameOf(head));
}

function withOffer(s: BundleState, head: Head): BundleState {
  if (isOffered(s, head)) return s;
  const offers = [...s.offers, head].sort((a, b) => (nameOf(a) < nameOf(b) ? -1 : 1));
  return { ...s, offers };
}

function propose(
  s: BundleState,
  o: number,
  versions: number,
  keeps: Keeps,
): BundleState | undefined {
  const read = s.row?.version ?? 0;
  if (s.operators[o]!.proposed || read === versions) return undefined;
  const proposed = { version: read + 1, by: o, signatures: 2 };
  const next = withOperator(s, o, { read, proposed });
  return keeps('row-first') ? next : withOffer(next, proposed);
}

/** Writes the head row by compare-and-set. Who knows that it was written spreads it. */
function rollOut(
  s: BundleState,
  { operator: o, answerLost }: { operator: number; answerLost: boolean },
  keeps: Keeps,
): BundleState | undefined {
  const { read, proposed } = s.operators[o]!;
  if (!proposed) return undefined;
  const fits = (s.row?.version ?? 0) === read || !keeps('compare-and-set');
  const known = { read, proposed: null };
  if (!fits) return withOperator(s, o, known);
  const accepted = [...new Set([...s.accepted, nameOf(proposed)])];
  const written = { ...s, row: proposed, accepted };
  if (!answerLost) return withOffer(withOperator(written, o, known), proposed);
  return s.faults === 0 ? undefined : { ...written, faults: s.faults - 1 };
}

/** Another operator's head in the row means that one's own can't be written any more. */
function readBack(s: BundleState, o: number): BundleState | undefined {
  const { read, proposed } = s.operators[o]!;
  if (!proposed || (s.row?.version ?? 0) === read) return undefined;
  const next = withOperator(s, o, { read, proposed: null });
  return s.accepted.includes(nameOf(proposed)) ? withOffer(next, proposed) : next;
}

function take(
  s: BundleState,
  d: number,
  head: Head,
  sound: boolean,
  keeps: Keeps,
): BundleState | undefined {
  const version = s.daemons[d]!.head?.version ?? 0;
  if (head.version === version || (head.version < version && keeps('forward'))) return s;
  if (head.signatures < 2 && keeps('two-signatures')) return s;
  if (!sound && keeps('digest')) return s;
  return { ...withDaemon(s, d, { head, sound }), fell: head.version < version };
}
