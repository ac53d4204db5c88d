/** One request at most once without the table: entry, two guards with their ledgers and runners. */
import type { Model, Rule } from '../explore/model.js';

export const REQUEST_RULES = [
  { id: 'record-first', text: 'a guard records the id before the runner sees the request' },
  { id: 'no-repeat', text: 'a guard passes an id that it knows to the runner no second time' },
  { id: 'bar', text: 'never-seen bars the id for good' },
  { id: 'same-incarnation', text: 'only the incarnation that was sent the request can settle it' },
  { id: 'only-never-seen', text: 'not-run and another upstream follow only after never-seen' },
  { id: 'keep-id', text: 'an id stays known when its result is forgotten' },
  { id: 'bound-to-link', text: 'a request is taken only by the incarnation that it was sent to' },
  { id: 'earlier-sends', text: 'not-run takes never-seen from every upstream that was sent it' },
  { id: 'whole-answer', text: 'an answer counts only with its full length and final marker' },
] as const satisfies Rule[];
export type RequestRule = (typeof REQUEST_RULES)[number]['id'];

/** What a guard's ledger holds of the id. */
export type LedgerState = 'unknown' | 'running' | 'ended' | 'barred' | 'forgotten';

/** A guard, its ledger's view of the id, and the runner beside it. */
export interface RequestGuard {
  inc: number;
  ledger: LedgerState;
  /** `called`: the runner works on it; only without the rule before it is recorded. */
  runner: 'idle' | 'working' | 'done';
}

export interface RequestState {
  guards: readonly RequestGuard[];
  /** Requests on their way; they may arrive late and more than once. */
  sent: readonly { guard: number; inc: number }[];
  asked: { guard: number; inc: number } | null;
  phase: 'waiting' | 'lost' | 'answered' | 'cut' | 'not-run' | 'unknown';
  /** A send before this one was left unsettled. */
  unsettled: boolean;
  starts: number;
  faults: number;
}

export type RequestAct =
  | { kind: 'send'; guard: number }
  | { kind: 'deliver'; guard: number; inc: number }
  | { kind: 'record'; guard: number }
  | { kind: 'run-ends'; guard: number }
  | { kind: 'answer'; whole: boolean }
  | { kind: 'lose-link' }
  | { kind: 'settle' }
  | { kind: 'forget'; guard: number }
  | { kind: 'give-up' }
  | { kind: 'restart-guard'; guard: number };

const TEXT: Record<RequestAct['kind'], string> = {
  send: 'entry sends the request to',
  deliver: 'the request arrives at',
  record: 'the id is recorded late by',
  'run-ends': 'the runner ends its work beside',
  answer: 'the answer reaches the entry',
  'lose-link': 'the link to the guard is lost',
  settle: 'entry settles the id on a new link',
  forget: 'the result is dropped by',
  'give-up': 'entry answers with what it knows',
  'restart-guard': 'a restart replaces the incarnation of',
};

/** The model; `idempotent` requests may run again when the outcome is unknown. */
export function requestModel(
  { idempotent, faults }: { idempotent: boolean; faults: number },
  without?: RequestRule,
): Model<RequestState, RequestAct> {
  const keeps = (rule: RequestRule) => rule !== without;
  const guard: RequestGuard = { inc: 0, ledger: 'unknown', runner: 'idle' };
  return {
    name: `request, ${idempotent ? '' : 'non-'}idempotent`,
    start: {
      guards: [guard, guard],
      sent: [],
      asked: null,
      phase: 'waiting',
      unsettled: false,
      starts: 0,
      faults,
    },
    acts,
    step: (s, act) => step(s, act, keeps, idempotent),
    violation: (s) => violation(s, idempotent),
    describe,
    kindOf: ({ kind }) => kind,
  };
}

function describe(act: RequestAct): string {
  const where = 'guard' in act ? ` guard ${act.guard}` : '';
  const cut = act.kind === 'answer' && !act.whole ? ', cut short' : '';
  return `${TEXT[act.kind]}${where}${cut}`;
}

function acts(s: RequestState): RequestAct[] {
  const atGuards = [0, 1].flatMap((guard): RequestAct[] => [
    { kind: 'send', guard },
    { kind: 'record', guard },
    { kind: 'run-ends', guard },
    { kind: 'forget', guard },
    { kind: 'restart-guard', guard },
  ]);
  return [
    ...s.sent.map((order): RequestAct => ({ kind: 'deliver', ...order })),
    ...atGuards,
    { kind: 'answer', whole: true },
    { kind: 'answer', whole: false },
    { kind: 'lose-link' },
    { kind: 'settle' },
    { kind: 'give-up' },
  ];
}

function violation(s: RequestState, idempotent: boolean): string | undefined {
  if (!idempotent && s.starts > 1) return 'a non-idempotent request runs at most once';
  if (s.phase === 'not-run' && s.starts > 0) return 'not-run: never ran and never will';
  if (s.phase === 'cut') return 'the caller receives the whole answer';
  return undefined;
}

type Keeps = (rule: RequestRule) => boolean;

function step(
  s: RequestState,
  act: RequestAct,
  keeps: Keeps,
  idempotent: boolean,
): RequestState | undefined {
  switch (act.kind) {
    case 'send':
      return send(s, act.guard);
    case 'deliver':
      return deliver(s, act, keeps);
    case 'record':
      return change(s, act.guard, ({ runner, ledger }) =>
        runner !== 'idle' && ledger === 'unknown' ? { ledger: 'running' } : undefined,
      );
    case 'run-ends':
      return change(s, act.guard, ({ runner, ledger }) =>
        runner === 'working'
          ? { runner: 'done', ledger: ledger === 'running' ? 'ended' : ledger }
          : undefined,
      );
    case 'answer':
      return answer(s, act.whole, keeps);
    case 'lose-link':
      return s.asked && s.phase === 'waiting' ? { ...s, phase: 'lost' } : undefined;
    case 'settle':
      return settle(s, keeps);
    case 'forget':
      return change(s, act.guard, ({ ledger }) =>
        ledger === 'ended' ? { ledger: keeps('keep-id') ? 'forgotten' : 'unknown' } : undefined,
      );
    case 'give-up':
      return giveUp(s, keeps, idempotent);
    case 'restart-guard':
      return restart(s, act.guard);
    default:
      return act satisfies never;
  }
}

function change(
  s: RequestState,
  g: number,
  fn: (guard: RequestGuard) => Partial<RequestGuard> | undefined,
): RequestState | undefined {
  const changed = fn(s.guards[g]!);
  if (!changed) return undefined;
  return { ...s, guards: s.guards.map((guard, i) => (i === g ? { ...guard, ...changed } : guard)) };
}

function send(s: RequestState, g: number): RequestState | undefined {
  if (s.asked || s.phase !== 'waiting' || s.sent.some(({ guard }) => guard === g)) return undefined;
  const order = { guard: g, inc: s.guards[g]!.inc };
  const sent = [...s.sent, order].sort((a, b) => a.guard - b.guard);
  return { ...s, asked: order, sent };
}

function deliver(
  s: RequestState,
  { guard: g, inc }: { guard: number; inc: number },
  keeps: Keeps,
): RequestState {
  const { inc: current, ledger } = s.guards[g]!;
  if (inc !== current && keeps('bound-to-link')) return s;
  if (ledger !== 'unknown' && (ledger === 'barred' || keeps('no-repeat'))) return s;
  const recorded = keeps('record-first') ? 'running' : ledger;
  const next = change(s, g, () => ({ runner: 'working', ledger: recorded }))!;
  return { ...next, starts: Math.min(2, s.starts + 1) };
}

function answer(s: RequestState, whole: boolean, keeps: Keeps): RequestState | undefined {
  if (!s.asked || s.phase !== 'waiting') return undefined;
  const { inc, ledger } = s.guards[s.asked.guard]!;
  if (inc !== s.asked.inc || ledger !== 'ended') return undefined;
  if (whole) return { ...s, phase: 'answered' };
  return { ...s, phase: keeps('whole-answer') ? 'lost' : 'cut' };
}

/** Asks the guard what became of the id. A running one is asked about again later. */
function settle(s: RequestState, keeps: Keeps): RequestState | undefined {
  if (!s.asked || s.phase !== 'lost') return undefined;
  const { guard: g, inc } = s.asked;
  const { inc: current, ledger } = s.guards[g]!;
  if (current !== inc && keeps('same-incarnation')) return { ...s, phase: 'unknown' };
  if (ledger === 'ended') return { ...s, phase: 'answered' };
  if (ledger === 'forgotten') return { ...s, phase: 'unknown' };
  if (ledger === 'running') return undefined;
  const barred = keeps('bar') ? change(s, g, () => ({ ledger: 'barred' }))! : s;
  // Never seen: another upstream, if one is left.
  if (s.sent.length < s.guards.length) return { ...barred, asked: null, phase: 'waiting' };
  return { ...barred, phase: notRun(s, keeps) };
}

function notRun({ unsettled }: RequestState, keeps: Keeps): 'not-run' | 'unknown' {
  return unsettled && keeps('earlier-sends') ? 'unknown' : 'not-run';
}

/** The deadline comes before the id is settled. */
function giveUp(s: RequestState, keeps: Keeps, idempotent: boolean): RequestState | undefined {
  if (s.phase === 'waiting' && !s.asked) return { ...s, phase: notRun(s, keeps) };
  if (s.phase !== 'lost') return undefined;
  if (!keeps('only-never-seen')) return { ...s, asked: null, phase: 'waiting' };
  const mayRepeat = idempotent && s.sent.length < s.guards.length;
  return mayRepeat
    ? { ...s, asked: null, phase: 'waiting', unsettled: true }
    : { ...s, phase: 'unknown' };
}

/** The runner's work goes on; the ledger is empty again. */
function restart(s: RequestState, g: number): RequestState | undefined {
  if (s.faults === 0) return undefined;
  const { inc } = s.guards[g]!;
  return { ...change(s, g, () => ({ inc: inc + 1, ledger: 'unknown' }))!, faults: s.faults - 1 };
}
