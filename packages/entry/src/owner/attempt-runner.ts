/** Runs one attempt of a gang: feeds its state machine, and carries out the commands on the guards. */
import {
  Attempt,
  type AttemptCommand,
  type AttemptConclusion,
  type AttemptEvent,
  type Clock,
  type TaskEnd,
  type TaskSpec,
} from '@zincspan/core';
import type { GuardOrders } from './guard-orders.js';
import { MemberDriver } from './member-driver.js';
import type { PlacedMember } from './placed-member.js';
import type { Timers } from './timers.js';

/** What became of writing the attempt down. */
export type RowWritten = 'written' | 'cancelled' | 'superseded' | 'unwritten';

/** Limits of attempts, in ms. */
export interface AttemptLimits {
  /** Reservations that aren't started or renewed within this time drop by themselves. */
  ttlMs: number;
  /** All members must be ready within this time. */
  readyMs: number;
  /** Silence of a guard after which a claim's hold counts as lost. Tasks are lost by their guard's own times. */
  lostAfterMs: number;
}

/** Limits unless an owner is given others. */
export const DEFAULT_LIMITS: AttemptLimits = {
  ttlMs: 15_000,
  readyMs: 60_000,
  lostAfterMs: 30_000,
};

/** What an attempt is made from. */
export interface AttemptRunnerOptions {
  key: string;
  attempt: number;
  members: PlacedMember[];
  /** The task of a member; absent for a claim's hold. */
  taskOf?: (member: number) => TaskSpec;
  within?: string | undefined;
  /** The row says `started` already, as found by a new owner. */
  started?: boolean;
  orders: GuardOrders;
  timers: Timers;
  clock: Clock;
  limits?: AttemptLimits;
  /** Writes the row. `onUnknown` is told when a write's result can't be learned yet. */
  writeRow: (onUnknown: () => void) => Promise<RowWritten>;
  onConclude: (conclusion: AttemptConclusion) => void;
}

/** One attempt under way. */
export class AttemptRunner {
  readonly key: string;

  readonly attempt: number;

  readonly within: string | undefined;

  readonly #machine: Attempt;

  readonly #drivers: MemberDriver[];

  readonly #options: AttemptRunnerOptions;

  #cancelReadyTimer: (() => void) | undefined;

  #closed = false;

  #stopWanted = false;

  #cancelWanted = false;

  constructor(options: AttemptRunnerOptions) {
    this.#options = options;
    this.key = options.key;
    this.attempt = options.attempt;
    this.within = options.within;
    const { started = false, members } = options;
    this.#machine = new Attempt({ tasks: members.length, started });
    this.#drivers = members.map((placed) => this.#driver(placed));
  }

  /** Whether the row says `started` for this attempt. */
  get started(): boolean {
    return this.#machine.started;
  }

  /** True once something asked for the attempt to end. */
  get stopWanted(): boolean {
    return this.#stopWanted;
  }

  /** True once a cancellation was asked for. */
  get cancelWanted(): boolean {
    return this.#cancelWanted;
  }

  get members(): PlacedMember[] {
    return this.#drivers.map(({ placed }) => placed);
  }

  /** Sends the first orders. */
  begin(): void {
    const { timers, limits = DEFAULT_LIMITS } = this.#options;
    if (!this.started) {
      this.#cancelReadyTimer = timers.after(limits.readyMs, () => this.#readyTimeout());
    }
    this.#carryOut(this.#machine.begin());
  }

  /** Takes a guard's word that a member is ready. */
  memberReady(member: number, incarnation: string): void {
    const driver = this.#drivers[member];
    if (driver?.placed.incarnation === incarnation) driver.ready();
  }

  /** Takes a guard's word that a member has ended. */
  memberEnded(end: TaskEnd): void {
    const driver = this.#drivers[end.ref.member];
    if (driver?.placed.incarnation === end.incarnation) driver.ended(end);
    else driver?.probe();
  }

  /** Something happened to a guard: its members are asked after. */
  guardChanged(guard: string): void {
    this.#drivers
      .filter(({ placed }) => placed.guard === guard)
      .forEach((driver) => driver.probe());
  }

  /** Ends the attempt for good. */
  cancel(): void {
    this.#stopWanted = true;
    this.#cancelWanted = true;
    this.#apply({ type: 'cancel' });
  }

  /** Ends the attempt so that its job can be queued again. */
  evict({ limitMs, checkpoint }: { limitMs: number; checkpoint: boolean }): void {
    this.#stopWanted = true;
    this.#apply({ type: 'evict', limitMs, checkpoint });
  }

  /** Limits one running member to this many cores. */
  async throttle(member: number, cores: number): Promise<void> {
    await this.#drivers[member]?.throttle(cores);
  }

  /** Lets the guards forget the attempt; its end has been written down. */
  async forget(): Promise<void> {
    await Promise.all(this.#drivers.map((driver) => driver.forget()));
  }

  /** Gives no more orders; what runs goes on running. */
  close(): void {
    this.#closed = true;
    this.#cancelReadyTimer?.();
    this.#drivers.forEach((driver) => driver.close());
  }

  #driver(placed: PlacedMember): MemberDriver {
    const { key, attempt, taskOf, within, orders, timers, clock } = this.#options;
    const { ttlMs, lostAfterMs } = this.#options.limits ?? DEFAULT_LIMITS;
    return new MemberDriver({
      placed,
      ref: { key, attempt, member: placed.member },
      task: taskOf?.(placed.member),
      within,
      ttlMs,
      lostAfterMs,
      orders,
      timers,
      clock,
      tell: (event) => this.#apply(event),
    });
  }

  #readyTimeout(): void {
    const late = this.#drivers.find(({ isReady }) => !isReady);
    if (late !== undefined) {
      this.#apply({ type: 'reserve-timeout', member: late.placed.member });
    }
  }

  #apply(event: AttemptEvent): void {
    if (this.#closed) return;
    if (event.type === 'member-ended' || event.type === 'member-lost') this.#stopWanted = true;
    this.#carryOut(this.#machine.apply(event));
  }

  #carryOut(commands: AttemptCommand[]): void {
    commands.forEach((command) => this.#carryOutOne(command));
  }

  #carryOutOne(command: AttemptCommand): void {
    switch (command.type) {
      case 'reserve':
        this.#drivers[command.member]?.reserve();
        break;
      case 'start':
        this.#drivers[command.member]?.start();
        break;
      case 'stop':
        this.#drivers[command.member]?.stop(command);
        break;
      case 'write-started':
        void this.#writeRow();
        break;
      case 'settle-row':
        // The write that reported it goes on until its result is known.
        break;
      case 'conclude':
        this.#cancelReadyTimer?.();
        this.#options.onConclude(command.conclusion);
        break;
      default:
        command satisfies never;
    }
  }

  async #writeRow(): Promise<void> {
    this.#cancelReadyTimer?.();
    const written = await this.#options.writeRow(() => this.#apply({ type: 'row-unknown' }));
    if (written === 'written') this.#apply({ type: 'row-written' });
    else if (written === 'unwritten') this.#apply({ type: 'row-unwritten' });
    else this.#apply({ type: 'row-conflict', cancelled: written === 'cancelled' });
  }
}
