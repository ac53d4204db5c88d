/** Everything that can happen in the gang model. */
import type { Order } from './state.js';

/** How a write to the table goes: `late` may take effect any time until it is asked about. */
export type WriteOutcome = 'answered' | 'answer-lost' | 'dropped' | 'late';

/** What a row becomes when its attempt has ended. */
export type Conclusion = 'succeeded' | 'failed' | 'cancelled' | 'queued';

/** An act of an owner, guard, worker, caller or the environment. */
export type GangAct =
  | { kind: 'take-over'; owner: number }
  | { kind: 'crash-owner'; owner: number }
  | { kind: 'cancel' }
  | { kind: 'place'; owner: number; guards: number[] }
  | { kind: 'withdraw'; owner: number; how: WriteOutcome }
  | { kind: 'find-started'; owner: number }
  | { kind: 'reread'; owner: number }
  | { kind: 'abandon'; owner: number }
  | { kind: 'write-started'; owner: number; how: WriteOutcome }
  | { kind: 'stop'; owner: number }
  | { kind: 'conclude'; owner: number; as: Conclusion; how: WriteOutcome }
  | { kind: 'late-write' }
  | { kind: 'settle-write'; owner: number }
  | { kind: 'deliver'; order: Order }
  | { kind: 'rival'; guard: number }
  | { kind: 'rival-leaves'; guard: number }
  | { kind: 'worker-starts'; guard: number }
  | { kind: 'task-ends'; guard: number; ok: boolean }
  | { kind: 'lapse'; guard: number; task: number }
  | { kind: 'expire'; guard: number }
  | { kind: 'drop-tombstones'; guard: number }
  | { kind: 'crash-guard'; guard: number }
  | { kind: 'restart-guard'; guard: number };

const TEXT: Record<GangAct['kind'], string> = {
  'take-over': 'takes the lease with the next term',
  'crash-owner': 'crashes',
  cancel: 'the caller cancels: cancelRequested on the row',
  place: 'reads the queued row and reserves every member',
  withdraw: 'reads the cancelled row and writes it cancelled, not-run',
  'find-started': 'reads the started row and sends start again',
  reread: 'finds that the row has moved on',
  abandon: 'gives up the reservations and sends stop to every member',
  'write-started': 'writes the row started',
  stop: 'sends stop to every member',
  conclude: 'concludes the attempt and writes the row',
  'late-write': 'a write given up for lost takes effect',
  'settle-write': 'reads back what became of its write',
  deliver: 'receives',
  rival: 'is asked to reserve its accelerator for another job',
  'rival-leaves': "lets the other job's reservation go",
  'worker-starts': 'has its worker pass the barrier',
  'task-ends': 'sees its task end',
  lapse: "task's time passes (guard silent or paused)",
  expire: 'drops the reservation that was not started in time',
  'drop-tombstones': 'drops tombstones of lower terms',
  'crash-guard': 'crashes; the worker keeps its task',
  'restart-guard': 'restarts as a new incarnation',
};

/** One readable line. */
export function describeGangAct(act: GangAct): string {
  const who = 'owner' in act ? `owner ${act.owner} ` : '';
  const where = 'guard' in act ? `guard ${act.guard} ` : '';
  if (act.kind === 'deliver') return describeOrder(act.order);
  return `${who}${where}${TEXT[act.kind]}${detailOf(act)}`;
}

function describeOrder({ kind, term, attempt, member, guard, inc }: Order): string {
  const order = `${kind} of attempt ${attempt}, member ${member}`;
  return `guard ${guard} receives ${order} (term ${term}, incarnation ${inc})`;
}

function detailOf(act: GangAct): string {
  switch (act.kind) {
    case 'place':
      return ` on guards ${act.guards.join(', ')}`;
    case 'conclude':
      return ` ${act.as}: ${act.how}`;
    case 'withdraw':
    case 'write-started':
      return `: ${act.how}`;
    case 'task-ends':
      return act.ok ? ' well' : ' in failure';
    default:
      return '';
  }
}
