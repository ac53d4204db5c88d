/**
 * One attempt of a gang as a pure state machine: events in, commands out, no clock and no I/O.
 *
 *   reserving -> writing -> running -> ended
 *        \          \           \
 *         +----------+-----------+--> stopping -> ended
 *
 * Every member is reserved first; when all are ready the row is written `started`; only then is any member told
 * to start. A write whose result is unknown is settled before anything else. A member that fails, is refused or
 * is lost stops all others, and the attempt concludes only once no member can run any more.
 */
import type { AttemptEnd } from '../scheduler/scheduler.js';
import type { TaskEnd } from '../message/message.js';
import { packCheckpoints } from './checkpoint.js';

/** Why an attempt is being stopped. */
export type StopReason = 'unplaced' | 'failed' | 'cancelled' | 'evicted' | 'superseded';

/** Everything that happens to an attempt. */
export type AttemptEvent =
  /** Prepared and held at the barrier. */
  | { type: 'member-ready'; member: number }
  /** The guard surely holds nothing for the member. */
  | { type: 'reserve-refused'; member: number; detail: string }
  /** Not all members got ready in time. `member` is one that didn't. */
  | { type: 'reserve-timeout'; member: number }
  | { type: 'row-written' }
  /** The row changed under us: cancelled, or another owner's. */
  | { type: 'row-conflict'; cancelled: boolean }
  /** The row surely wasn't written. */
  | { type: 'row-unwritten' }
  | { type: 'row-unknown' }
  /** `barred`: by the word of the guard's life that reserved it, which never starts it any more. */
  | { type: 'member-ended'; member: number; end: TaskEnd; barred?: boolean }
  /** Its guard has been out of contact for so long that it may be stopping the member by itself. */
  | { type: 'member-silent'; member: number; detail: string }
  /** The guard or worker is gone, and the member's lease has surely ended. */
  | { type: 'member-lost'; member: number; detail: string }
  | { type: 'cancel' }
  | { type: 'evict'; limitMs: number; checkpoint: boolean };

type EventOf<T extends AttemptEvent['type']> = Extract<AttemptEvent, { type: T }>;

/** What the runner of the attempt is to do. */
export type AttemptCommand =
  | { type: 'reserve'; member: number }
  | { type: 'write-started' }
  | { type: 'settle-row' }
  | { type: 'start'; member: number }
  | { type: 'stop'; member: number; checkpoint: boolean; limitMs: number }
  | { type: 'conclude'; conclusion: AttemptConclusion };

/** How an attempt came out. After `released` the job is still queued, after `ended` its row is still `started`. */
export type AttemptConclusion =
  | { type: 'released'; reason: StopReason; member?: number; detail: string }
  | {
      type: 'ended';
      end: AttemptEnd;
      detail: string;
      /** The member whose failure or loss ended the attempt. */
      member?: number;
      /** Whether a task surely ran. */
      ran: boolean;
      /** Whether none did: every member is barred, and never started. */
      neverStarted: boolean;
      ranMs: number;
      /** The members' checkpoints packed into one, if every member left one. */
      checkpoint?: string;
      results: unknown[];
    };

export type AttemptPhase = 'reserving' | 'writing' | 'settling' | 'running' | 'stopping' | 'ended';

type MemberState = 'reserving' | 'ready' | 'running' | 'ended';

interface MemberRecord {
  state: MemberState;
  end?: TaskEnd;
  lost: boolean;
  /** It surely never started. */
  neverStarted?: boolean;
}

/** State of one attempt. Feed it events with `apply` and carry out the commands that it returns. */
export class Attempt {
  readonly #members: MemberRecord[];

  #phase: AttemptPhase;

  /** Whether the row says `started` for this attempt. */
  #started: boolean;

  #stop: { reason: StopReason; member?: number; detail: string } | undefined;

  #stopLimitMs = 0;

  #checkpoint = false;

  /** `started`: the row already says so, as an owner finds it when it takes over. */
  constructor({ tasks, started = false }: { tasks: number; started?: boolean }) {
    const state: MemberState = started ? 'running' : 'reserving';
    this.#members = Array.from({ length: tasks }, () => ({ state, lost: false }));
    this.#phase = started ? 'running' : 'reserving';
    this.#started = started;
  }

  get phase(): AttemptPhase {
    return this.#phase;
  }

  /** Whether the row says `started` for this attempt. */
  get started(): boolean {
    return this.#started;
  }

  /** First commands: reserve every member, or start them again when found started. */
  begin(): AttemptCommand[] {
    const type = this.#started ? 'start' : 'reserve';
    return this.#members.map((_, member) => ({ type, member }));
  }

  /** Takes one event and answers what to do next. Events that come twice or too late change nothing. */
  apply(event: AttemptEvent): AttemptCommand[] {
    if (this.#phase === 'ended') return [];
    switch (event.type) {
      case 'member-ready':
        return this.#ready(event.member);
      case 'reserve-refused':
        if (this.#started) return [];
        this.#end(event.member, {});
        return this.#halt('unplaced', event.detail, event.member);
      case 'reserve-timeout':
        if (this.#phase !== 'reserving') return [];
        return this.#halt('unplaced', 'Not all members got ready in time.', event.member);
      case 'row-written':
        return this.#written();
      case 'row-conflict':
        if (!this.#isWriting()) return [];
        return this.#unwritten(event.cancelled ? 'cancelled' : 'superseded');
      case 'row-unwritten':
        if (!this.#isWriting()) return [];
        return this.#unwritten('unplaced');
      case 'row-unknown':
        if (!this.#isWriting()) return [];
        this.#phase = 'settling';
        return [{ type: 'settle-row' }];
      case 'member-ended':
        return this.#memberEnded(event);
      case 'member-silent':
        if (this.#phase !== 'running') return [];
        return this.#halt('failed', event.detail, event.member);
      case 'member-lost':
        this.#end(event.member, { lost: true });
        return this.#halt(this.#started ? 'failed' : 'unplaced', event.detail, event.member);
      case 'cancel':
        return this.#halt('cancelled', 'Cancelled by its client account.');
      case 'evict':
        this.#checkpoint = event.checkpoint;
        this.#stopLimitMs = event.limitMs;
        return this.#halt('evicted', 'Evicted.');
      default:
        return event satisfies never;
    }
  }

  #isWriting(): boolean {
    return this.#phase === 'writing' || this.#phase === 'settling';
  }

  #ready(member: number): AttemptCommand[] {
    const record = this.#members[member];
    if (record?.state !== 'reserving') return [];
    record.state = 'ready';
    if (this.#phase !== 'reserving') return [];
    if (!this.#members.every(({ state }) => state === 'ready')) return [];
    this.#phase = 'writing';
    return [{ type: 'write-started' }];
  }

  #written(): AttemptCommand[] {
    if (!this.#isWriting()) return [];
    this.#started = true;
    // A stop that came during the write goes first: nobody has been told to start yet.
    if (this.#stop !== undefined) return this.#stopAll();
    this.#phase = 'running';
    this.#alive().forEach((member) => {
      this.#setState(member, 'running');
    });
    return this.#alive().map((member) => ({ type: 'start', member }));
  }

  #unwritten(reason: StopReason): AttemptCommand[] {
    this.#stop ??= { reason, detail: 'The row could not be written as started.' };
    return this.#stopAll();
  }

  #memberEnded({ member, end, barred = false }: EventOf<'member-ended'>): AttemptCommand[] {
    const record = this.#members[member];
    if (record === undefined || record.state === 'ended') return [];
    record.neverStarted = barred && end.outcome === 'never-started';
    this.#end(member, { end });
    if (end.outcome === 'succeeded') return this.#concludeIfDone();
    const reason = this.#started ? 'failed' : 'unplaced';
    return this.#halt(reason, end.detail || `Member ${member}: ${end.outcome}.`, member);
  }

  #end(member: number, { end, lost = false }: { end?: TaskEnd; lost?: boolean }): void {
    const record = this.#members[member];
    if (record === undefined || record.state === 'ended') return;
    record.state = 'ended';
    record.lost = lost;
    if (end !== undefined) record.end = end;
  }

  /** Notes the first reason to stop, and stops unless a write is under way: its result must be known first. */
  #halt(reason: StopReason, detail: string, member?: number): AttemptCommand[] {
    // A cancellation outranks an eviction: the job must not be queued again.
    const overrides = reason === 'cancelled' && this.#stop?.reason === 'evicted';
    if (this.#stop === undefined || overrides) {
      this.#stop = { reason, detail, ...(member === undefined ? {} : { member }) };
    }
    if (this.#isWriting()) return [];
    if (this.#phase === 'stopping') return this.#concludeIfDone();
    return this.#stopAll();
  }

  #stopAll(): AttemptCommand[] {
    this.#phase = 'stopping';
    const checkpoint = this.#checkpoint && this.#started && this.#stop?.reason === 'evicted';
    const limitMs = checkpoint ? this.#stopLimitMs : 0;
    const stops = this.#alive().map((member): AttemptCommand => ({
      type: 'stop',
      member,
      checkpoint,
      limitMs,
    }));
    return [...stops, ...this.#concludeIfDone()];
  }

  #setState(member: number, state: MemberState): void {
    const record = this.#members[member];
    if (record !== undefined) record.state = state;
  }

  #alive(): number[] {
    return this.#members.flatMap(({ state }, member) => (state === 'ended' ? [] : [member]));
  }

  #concludeIfDone(): AttemptCommand[] {
    if (this.#alive().length > 0 || this.#isWriting()) return [];
    this.#phase = 'ended';
    return [{ type: 'conclude', conclusion: this.#conclusion() }];
  }

  #conclusion(): AttemptConclusion {
    const stop = this.#stop ?? { reason: 'failed', detail: '' };
    const where = stop.member === undefined ? {} : { member: stop.member };
    if (!this.#started) {
      return { type: 'released', reason: stop.reason, detail: stop.detail, ...where };
    }
    const ends = this.#members.flatMap(({ end }) => (end === undefined ? [] : [end]));
    const checkpoint = packCheckpoints(this.#members.map(({ end }) => end?.checkpoint));
    return {
      type: 'ended',
      end: this.#attemptEnd(),
      detail: stop.detail,
      ...where,
      ran: ends.some(({ outcome, ranMs }) => outcome !== 'never-started' && ranMs > 0),
      neverStarted: this.#members.every(({ neverStarted = false }) => neverStarted),
      ranMs: Math.max(0, ...ends.map(({ ranMs }) => ranMs)),
      ...(checkpoint === undefined ? {} : { checkpoint }),
      results: ends.map(({ result }) => result),
    };
  }

  #attemptEnd(): AttemptEnd {
    const all = (outcome: TaskEnd['outcome']) =>
      this.#members.every(({ end }) => end?.outcome === outcome);
    // All succeeded before a stop reached them: the work is done, whatever was asked meanwhile.
    if (all('succeeded')) return 'succeeded';
    if (this.#stop?.reason === 'cancelled') return 'cancelled';
    const failed = this.#members.some(({ end }) => end?.outcome === 'failed');
    if (failed) return 'failed';
    if (this.#members.some(({ lost, end }) => lost || end?.outcome === 'lease-lapsed')) {
      return 'lost';
    }
    if (this.#stop?.reason === 'evicted') {
      return all('checkpointed') ? 'checkpointed' : 'stopped';
    }
    // The guard stopped a member by itself, out of time; the others were stopped for it.
    const cause = this.#stop?.member === undefined ? undefined : this.#members[this.#stop.member];
    return cause?.end?.outcome === 'stopped' ? 'failed' : 'lost';
  }
}
