/** The attempt of a gang as a model for the explorer. */
import type { Model } from '../explore/model.js';
import { describeGangAct, type Conclusion, type GangAct, type WriteOutcome } from './acts.js';
import * as guards from './guard.js';
import { gangViolation } from './invariants.js';
import * as owners from './owner.js';
import type { GangRule } from './rules.js';
import { startOf, type GangBounds, type GangState } from './state.js';
import * as table from './table.js';

const WRITE_OUTCOMES: WriteOutcome[] = ['answered', 'answer-lost', 'dropped', 'late'];
const CONCLUSIONS: Conclusion[] = ['succeeded', 'failed', 'cancelled', 'queued'];

/** The model within these bounds; `without` removes a rule. */
export function gangModel(bounds: GangBounds, without?: GangRule): Model<GangState, GangAct> {
  const keeps = (rule: GangRule) => rule !== without;
  return {
    name: `gang of ${bounds.tasks}, ${bounds.idempotent ? '' : 'non-'}idempotent`,
    start: startOf(bounds),
    acts: (s) => [...ownerActs(s, bounds), ...guardActs(s, bounds)],
    step: (s, act) => step(s, act, bounds, keeps),
    violation: (s) => gangViolation(s, bounds),
    describe: describeGangAct,
    kindOf,
  };
}

function kindOf(act: GangAct): string {
  if (act.kind === 'deliver') return `deliver ${act.order.kind}`;
  if (act.kind === 'conclude') return `conclude ${act.as} ${act.how}`;
  return 'how' in act ? `${act.kind} ${act.how}` : act.kind;
}

function ownerActs(s: GangState, bounds: GangBounds): GangAct[] {
  const acts = s.owners.flatMap(({ ph }, owner): GangAct[] => [
    { kind: 'take-over', owner },
    ...(ph === 'none' ? [] : actsInOffice(owner, bounds)),
  ]);
  return [...acts, { kind: 'cancel' }, { kind: 'late-write' }];
}

function actsInOffice(owner: number, bounds: GangBounds): GangAct[] {
  const kinds = [
    'crash-owner',
    'find-started',
    'reread',
    'abandon',
    'stop',
    'settle-write',
  ] as const;
  return [
    ...kinds.map((kind) => ({ kind, owner })),
    ...placesOf(bounds).map((at): GangAct => ({ kind: 'place', owner, guards: at })),
    ...WRITE_OUTCOMES.flatMap((how) => writesOf(owner, how)),
  ];
}

function writesOf(owner: number, how: WriteOutcome): GangAct[] {
  return [
    { kind: 'withdraw', owner, how },
    { kind: 'write-started', owner, how },
    ...CONCLUSIONS.map((as): GangAct => ({ kind: 'conclude', owner, as, how })),
  ];
}

function placesOf({ tasks, choose }: GangBounds): number[][] {
  if (tasks === 2) return [[0, 1]];
  return choose ? [[0], [1]] : [[0]];
}

function guardActs(s: GangState, { tasks, choose, rival }: GangBounds): GangAct[] {
  const inUse = tasks === 2 || choose ? [0, 1] : [0];
  const acts = inUse.flatMap((guard): GangAct[] => [
    { kind: 'worker-starts', guard },
    { kind: 'task-ends', guard, ok: true },
    { kind: 'task-ends', guard, ok: false },
    { kind: 'lapse', guard, task: 0 },
    { kind: 'lapse', guard, task: 1 },
    { kind: 'expire', guard },
    { kind: 'drop-tombstones', guard },
    { kind: 'crash-guard', guard },
    { kind: 'restart-guard', guard },
  ]);
  const rivals: GangAct[] = [
    { kind: 'rival', guard: 0 },
    { kind: 'rival-leaves', guard: 0 },
  ];
  const orders = s.orders.map((order): GangAct => ({ kind: 'deliver', order }));
  return [...orders, ...acts, ...(rival ? rivals : [])];
}

function step(
  s: GangState,
  act: GangAct,
  bounds: GangBounds,
  keeps: guards.Keeps,
): GangState | undefined {
  switch (act.kind) {
    case 'take-over':
      return owners.takeOver(s, act.owner, bounds);
    case 'crash-owner':
      return owners.crashOwner(s, act.owner, bounds);
    case 'place':
      return owners.place(s, act, bounds);
    case 'withdraw':
      return owners.withdraw(s, act, keeps);
    case 'find-started':
      return owners.findStarted(s, act.owner);
    case 'reread':
      return owners.reread(s, act.owner);
    case 'abandon':
      return owners.abandon(s, act.owner);
    case 'write-started':
      return owners.writeStarted(s, act, keeps);
    case 'stop':
      return owners.stopAll(s, act.owner, keeps);
    case 'conclude':
      return owners.conclude(s, act, bounds, keeps);
    case 'cancel':
      return table.cancel(s);
    case 'late-write':
      return table.lateWrite(s, keeps);
    case 'settle-write':
      return table.settleWrite(s, act.owner, keeps);
    default:
      return stepGuard(s, act, keeps);
  }
}

type GuardAct = Extract<GangAct, { guard: number } | { kind: 'deliver' }>;

function stepGuard(s: GangState, act: GuardAct, keeps: guards.Keeps): GangState | undefined {
  switch (act.kind) {
    case 'deliver':
      return guards.deliver(s, act, keeps);
    case 'rival':
      return guards.rival(s, act.guard, keeps);
    case 'rival-leaves':
      return guards.rivalLeaves(s, act.guard);
    case 'worker-starts':
      return guards.workerStarts(s, act, keeps);
    case 'task-ends':
      return guards.taskEnds(s, act, keeps);
    case 'lapse':
      return guards.lapse(s, act, keeps);
    case 'expire':
      return guards.expire(s, act, keeps);
    case 'drop-tombstones':
      return guards.dropTombstones(s, act, keeps);
    case 'crash-guard':
      return guards.crashGuard(s, act.guard, keeps);
    case 'restart-guard':
      return guards.restartGuard(s, act.guard, keeps);
    default:
      return act satisfies never;
  }
}
