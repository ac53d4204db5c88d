/** Guards and their workers. */
import type { GangAct } from './acts.js';
import type { GangRule } from './rules.js';
import {
  RIVAL,
  isFinal,
  say,
  withGuard,
  type End,
  type GangState,
  type Guard,
  type Order,
  type Task,
} from './state.js';

/** Tells whether a rule is in force. */
export type Keeps = (rule: GangRule) => boolean;

type ActOf<Kind extends GangAct['kind']> = Extract<GangAct, { kind: Kind }>;

/** An order arrives. A refused one changes nothing. */
export function deliver(s: GangState, { order }: ActOf<'deliver'>, keeps: Keeps): GangState {
  const guard = s.guards[order.guard]!;
  if (!guard.up) return s;
  if (keeps('incarnation') && order.inc !== guard.inc) return s;
  if (keeps('term') && order.term < guard.high) return s;
  const seen = order.term > guard.high ? raiseTerm(s, order, keeps) : s;
  if (order.kind === 'reserve') return reserve(seen, order, keeps);
  if (order.kind === 'start') return start(seen, order, keeps);
  return stop(seen, order, keeps);
}

/** Orders that are refused from now on are dropped, which leaves fewer states to visit. */
function raiseTerm(s: GangState, { guard: g, term, inc }: Order, keeps: Keeps): GangState {
  const raised = withGuard(s, g, { high: term });
  if (!keeps('term')) return raised;
  const isDead = (order: Order) => order.guard === g && order.inc <= inc && order.term < term;
  return { ...raised, orders: s.orders.filter((order) => !isDead(order)) };
}

function find(guard: Guard, { attempt, member }: Order): Task | undefined {
  return guard.tasks.find(
    (task) => task.attempt === attempt && task.member === member && !task.orphan,
  );
}

function reserve(s: GangState, order: Order, keeps: Keeps): GangState {
  const { attempt, member, guard: g } = order;
  const guard = s.guards[g]!;
  const ready = {
    kind: 'ready',
    attempt,
    member,
    guard: g,
    inc: guard.inc,
    term: order.term,
  } as const;
  const known = find(guard, order);
  if (known) return known.st === 'held' && !known.due ? say(s, ready) : s;
  if (guard.tombstones.includes(attempt)) return s;
  if (keeps('one-reservation') && guard.tasks.some(({ orphan }) => !orphan)) return s;
  const task: Task = { attempt, member, st: 'held', due: false, orphan: false };
  const held = withGuard(s, g, { tasks: [...guard.tasks, task] });
  return say(held, ready);
}

function start(s: GangState, order: Order, keeps: Keeps): GangState {
  const { attempt, member, guard: g } = order;
  const guard = s.guards[g]!;
  const task = find(guard, order);
  if (!task && keeps('held')) return s;
  if (task && task.st !== 'held') return s;
  if (task?.due && keeps('lease-before')) return s;
  // The guard has kept the worker's own lease fresh, so only the time of the reservation has passed.
  const starting: Task = { attempt, member, st: 'starting', due: false, orphan: false };
  const others = guard.tasks.filter((other) => other !== task);
  return withGuard(s, g, { tasks: [...others, starting] });
}

function stop(s: GangState, order: Order, keeps: Keeps): GangState {
  const guard = s.guards[order.guard]!;
  const task = find(guard, order);
  // The worker's answer to the start is awaited first.
  if (task?.st === 'starting') return s;
  const known = guard.tombstones.includes(order.attempt);
  if (!task && known) return s;
  const end = task?.st === 'running' ? 'stopped' : 'never';
  return endTask(s, order.guard, task ?? order, end, keeps);
}

/** Takes a task off its worker, leaves a tombstone and says how it ended. */
function endTask(
  s: GangState,
  g: number,
  { attempt, member }: { attempt: number; member: number },
  kind: End,
  keeps: Keeps,
): GangState {
  const guard = s.guards[g]!;
  const tasks = guard.tasks.filter(
    (task) => task.attempt !== attempt || task.member !== member || task.orphan,
  );
  const marks = guard.up && keeps('tombstone') ? mark(guard, attempt) : guard.tombstones;
  const next = withGuard(s, g, { tasks, tombstones: marks });
  return say(next, { kind, attempt, member, guard: g, inc: guard.inc, term: 0 });
}

function mark({ tombstones }: Guard, attempt: number): Guard['tombstones'] {
  if (tombstones.includes(attempt)) return tombstones;
  return [...tombstones, attempt].sort((a, b) => a - b);
}

/** The worker answers a start: its own lease is what counts now. */
export function workerStarts(
  s: GangState,
  { guard: g }: ActOf<'worker-starts'>,
  keeps: Keeps,
): GangState | undefined {
  const guard = s.guards[g]!;
  const task = guard.tasks.find(({ st }) => st === 'starting');
  if (!task) return undefined;
  if (task.due && keeps('lease-at-start')) return endTask(s, g, task, 'lapsed', keeps);
  const tasks = guard.tasks.map((other): Task =>
    other === task ? { ...task, st: 'running', due: false } : other,
  );
  const starts = [...s.starts, `${task.attempt}.${task.member}`].sort();
  return { ...withGuard(s, g, { tasks }), starts };
}

/** A running task ends by itself. */
export function taskEnds(
  s: GangState,
  { guard: g, ok }: ActOf<'task-ends'>,
  keeps: Keeps,
): GangState | undefined {
  const guard = s.guards[g]!;
  const task = guard.tasks.find(({ st, orphan }) => st === 'running' && !orphan);
  if (!task || !guard.up) return undefined;
  return endTask(s, g, task, ok ? 'ok' : 'fail', keeps);
}

/** Nobody renewed the task in time. A running one stops by itself; owners may count on it from here. */
export function lapse(
  s: GangState,
  { guard: g, task: index }: ActOf<'lapse'>,
  keeps: Keeps,
): GangState | undefined {
  const guard = s.guards[g]!;
  const task = guard.tasks[index];
  if (s.faults === 0 || !task || task.due || task.attempt === RIVAL) return undefined;
  const { attempt, member } = task;
  const spent = { ...s, faults: s.faults - 1 };
  const gone = task.st === 'running' || !guard.up;
  if (gone && task.orphan) {
    return withGuard(spent, g, { tasks: guard.tasks.filter((other) => other !== task) });
  }
  if (gone) return endTask(spent, g, task, 'lapsed', keeps);
  const tasks = guard.tasks.map((other) => (other === task ? { ...task, due: true } : other));
  const due = withGuard(spent, g, { tasks });
  return say(due, { kind: 'lapsed', attempt, member, guard: g, inc: guard.inc, term: 0 });
}

/** A live guard lets go of what wasn't started in time. */
export function expire(
  s: GangState,
  { guard: g }: ActOf<'expire'>,
  keeps: Keeps,
): GangState | undefined {
  const guard = s.guards[g]!;
  const task = guard.tasks.find(({ st, due, orphan }) => st === 'held' && due && !orphan);
  if (!task || !guard.up) return undefined;
  return endTask(s, g, task, 'never', keeps);
}

/** Memory is bounded: marks go once no order that they bar could pass. */
export function dropTombstones(
  s: GangState,
  { guard: g }: ActOf<'drop-tombstones'>,
  keeps: Keeps,
): GangState | undefined {
  const guard = s.guards[g]!;
  const kept = guard.tombstones.filter(
    (attempt) => !isOver(s, attempt) || (keeps('keep-tombstone') && mayArrive(s, g, attempt)),
  );
  if (kept.length === guard.tombstones.length) return undefined;
  return withGuard(s, g, { tombstones: kept });
}

function isOver({ row }: GangState, attempt: number): boolean {
  return row.attempt > attempt || isFinal(row);
}

/** Whether an order for this attempt is on its way that the guard wouldn't refuse for its term. */
function mayArrive({ guards, orders }: GangState, g: number, attempt: number): boolean {
  const { high, inc } = guards[g]!;
  return orders.some(
    (order) =>
      order.guard === g && order.attempt === attempt && order.inc === inc && order.term >= high,
  );
}

/** The guard dies; its worker goes on. */
export function crashGuard(s: GangState, g: number, keeps: Keeps): GangState | undefined {
  if (!s.guards[g]!.up || s.faults === 0) return undefined;
  const isDead = ({ guard }: Order) => guard === g && keeps('incarnation');
  const orders = s.orders.filter((order) => !isDead(order));
  const crashed = { ...s, orders, faults: s.faults - 1 };
  return withGuard(crashed, g, { up: false, high: 0, tombstones: [] });
}

/** A new incarnation comes up with no memory. */
export function restartGuard(s: GangState, g: number, keeps: Keeps): GangState | undefined {
  const guard = s.guards[g]!;
  if (guard.up) return undefined;
  const left = keeps('clean-restart') ? [] : guard.tasks;
  const tasks = left.map((task) => ({ ...task, orphan: true }));
  return withGuard(s, g, { up: true, inc: guard.inc + 1, tasks });
}

/** Another job's reservation arrives, from an owner of the term that the guard knows. */
export function rival(s: GangState, g: number, keeps: Keeps): GangState | undefined {
  const guard = s.guards[g]!;
  if (!guard.up || guard.tasks.some(({ attempt }) => attempt === RIVAL)) return undefined;
  const seen = guard.high === 0 ? withGuard(s, g, { high: 1 }) : s;
  if (keeps('one-reservation') && guard.tasks.some(({ orphan }) => !orphan)) return seen;
  const task: Task = { attempt: RIVAL, member: 0, st: 'held', due: false, orphan: false };
  return withGuard(seen, g, { tasks: [...guard.tasks, task] });
}

export function rivalLeaves(s: GangState, g: number): GangState | undefined {
  const { tasks } = s.guards[g]!;
  const left = tasks.filter(({ attempt }) => attempt !== RIVAL);
  return left.length === tasks.length ? undefined : withGuard(s, g, { tasks: left });
}
