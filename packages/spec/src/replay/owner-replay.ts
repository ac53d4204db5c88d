/** Replays the acts of owners against the real state machine of attempts. */
import { Attempt, type AttemptCommand, type TaskEnd } from '@zincspan/core';
import type { GangAct } from '../gang/acts.js';
import { endsOf } from '../gang/owner.js';
import type { End, GangBounds, GangState } from '../gang/state.js';
import {
  differenceOfRow,
  differenceOfWithdrawal,
  type ConcludeAct,
  type Permits,
} from './row-replay.js';

const OUTCOMES: Record<End, TaskEnd['outcome']> = {
  never: 'never-started',
  ok: 'succeeded',
  fail: 'failed',
  stopped: 'stopped',
  lapsed: 'lease-lapsed',
};

/** One owner of the model, by the real attempt. */
export class OwnerReplay {
  readonly #owner: number;

  readonly #bounds: GangBounds;

  #attempt: Attempt | undefined;

  constructor(owner: number, bounds: GangBounds) {
    this.#owner = owner;
    this.#bounds = bounds;
  }

  /** Says how the real attempt differs from the model, if it does. `after` is undefined if the act isn't allowed. */
  apply(
    act: GangAct,
    {
      before,
      after,
      permits,
    }: { before: GangState; after: GangState | undefined; permits: Permits },
  ): string | undefined {
    if (!('owner' in act) || act.owner !== this.#owner) return undefined;
    const phase = after?.owners[this.#owner]!.ph;
    switch (act.kind) {
      case 'place':
        return after && this.#begin(act.guards.length, 'reserve');
      case 'find-started':
        return after && this.#begin(before.row.at.length, 'start');
      case 'write-started':
        return this.#writeStarted(before, phase);
      case 'settle-write':
        return after && this.#settle(phase);
      case 'stop':
        return after && this.#stop(before);
      case 'conclude':
        return this.#conclude(act, before, permits);
      case 'withdraw':
        return after && differenceOfWithdrawal(before.row);
      case 'abandon':
        return after && expectType(this.#feed({ type: 'reserve-timeout', member: 0 }), 'stop');
      default:
        return undefined;
    }
  }

  #begin(tasks: number, type: 'reserve' | 'start'): string | undefined {
    this.#attempt = new Attempt({ tasks, started: type === 'start' });
    return expectType(this.#attempt.begin(), type);
  }

  #writeStarted(s: GangState, phase: string | undefined): string | undefined {
    const { at, attempt, term, ph } = s.owners[this.#owner]!;
    if (ph !== 'reserving') return undefined;
    const commands = at.flatMap(([guard, inc], member) => {
      const isReady = s.facts.some(
        (fact) =>
          fact.kind === 'ready' &&
          fact.attempt === attempt &&
          fact.member === member &&
          fact.guard === guard &&
          fact.inc === inc &&
          fact.term === term,
      );
      return isReady ? this.#feed({ type: 'member-ready', member }) : [];
    });
    const wants = commands.some(({ type }) => type === 'write-started');
    if (wants !== (phase !== undefined)) return `write-started ${wants ? 'too early' : 'missing'}`;
    if (phase === 'running') return expectType(this.#feed({ type: 'row-written' }), 'start');
    if (phase === 'unsure') return expectType(this.#feed({ type: 'row-unknown' }), 'settle-row');
    if (phase === undefined) return undefined;
    return expectType(this.#feed({ type: 'row-conflict', cancelled: false }), 'stop');
  }

  #settle(phase: string | undefined): string | undefined {
    if (this.#attempt?.phase !== 'settling') return undefined;
    if (phase === 'running') return expectType(this.#feed({ type: 'row-written' }), 'start');
    return expectType(this.#feed({ type: 'row-unwritten' }), 'stop');
  }

  #stop(s: GangState): string | undefined {
    const owner = s.owners[this.#owner]!;
    const ended = this.#feedEnds(s, false);
    const commands = s.row.cancel ? [...ended, ...this.#feed({ type: 'cancel' })] : ended;
    const alive = owner.at.filter((_, member) => endsOf(s, owner, member).length === 0).length;
    const stops = commands.filter(({ type }) => type === 'stop').length;
    return stops >= alive ? undefined : `${stops} of ${alive} members are stopped`;
  }

  /** Tells the attempt all that is known of how members ended. */
  #feedEnds(s: GangState, isWell: boolean): AttemptCommand[] {
    const owner = s.owners[this.#owner]!;
    return owner.at.flatMap((_, member) => {
      const ends = endsOf(s, owner, member);
      // Of two ends that an owner may have heard first, the one that its act shows.
      const kind = ends.find((end) => (end === 'ok') === isWell) ?? ends[0];
      if (kind === undefined) return [];
      if (kind === 'lapsed') return this.#feed({ type: 'member-lost', member, detail: '' });
      return this.#feed({ type: 'member-ended', member, end: endOf(kind, owner.attempt, member) });
    });
  }

  #conclude(act: ConcludeAct, s: GangState, permits: Permits): string | undefined {
    if (this.#attempt === undefined || this.#attempt.phase === 'ended') return undefined;
    const owner = s.owners[this.#owner]!;
    const command = this.#feedEnds(s, act.as === 'succeeded').find(
      ({ type }) => type === 'conclude',
    );
    if (command?.type !== 'conclude') {
      return permits(act.as) ? 'no conclusion though every member has ended' : undefined;
    }
    const all = owner.at.every((_, member) => endsOf(s, owner, member).length > 0);
    if (!all) return 'concluded before every member had ended';
    const barred = owner.at.every((_, member) => endsOf(s, owner, member).includes('never'));
    return differenceOfRow({ seen: owner.seen!, act, permits, command, barred, ...this.#bounds });
  }

  #feed(event: Parameters<Attempt['apply']>[0]): AttemptCommand[] {
    return this.#attempt?.apply(event) ?? [];
  }
}

function expectType(commands: AttemptCommand[], type: AttemptCommand['type']): string | undefined {
  const types = commands.map((command) => command.type);
  if (types.includes(type)) return undefined;
  return `expected ${type}, got ${types.join(', ') || 'nothing'}`;
}

function endOf(kind: End, attempt: number, member: number): TaskEnd {
  const ranMs = kind === 'never' ? 0 : 5;
  const ref = { key: 'jobs/tuul/render', attempt, member };
  return { ref, incarnation: 'incarnation-0', outcome: OUTCOMES[kind], detail: '', ranMs };
}
