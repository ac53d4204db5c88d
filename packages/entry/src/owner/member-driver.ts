/**
 * Carries out the orders for one member of an attempt on its guard, again and again until each has surely been
 * answered, its guard has been replaced, or the guard has been silent for so long that the member's lease is over.
 *
 * A guard that is cut off stops its tasks by itself. By its own times the rest of the gang is stopped once it may
 * be about to, and the member counts as lost once it surely has.
 */
import type { TaskEnd } from '@zincspan/core';
import { GuardSilence } from './guard-silence.js';
import type { MemberDriverOptions, PlacedMember } from './placed-member.js';
import { backoffMs, pause } from './timers.js';

/** Outcome of one try: over, again soon, or again only to renew. */
type Try = 'over' | 'again' | 'renew';

/** Order under way for one member; a newer order replaces an older one. */
export class MemberDriver {
  readonly #options: MemberDriverOptions;

  #round = new AbortController();

  #ready = false;

  #isToldReady = false;

  /** The guard has answered a reservation, with its contact times. */
  #isReserved = false;

  #started = false;

  /** The guard may hold something: a reservation was sent. */
  #mayBeReserved = false;

  #stopping: { checkpoint: boolean; limitMs: number } | undefined;

  readonly #silence: GuardSilence;

  #placed: PlacedMember;

  constructor(options: MemberDriverOptions) {
    this.#options = options;
    this.#placed = options.placed;
    this.#silence = new GuardSilence(options);
  }

  get placed(): PlacedMember {
    return this.#placed;
  }

  get isReady(): boolean {
    return this.#ready;
  }

  /** Reserves, and keeps the reservation alive until it is started or stopped. */
  reserve(): void {
    this.#drive(() => this.#tryReserve());
  }

  /** Passes the barrier. A claim's hold has none: it is kept by renewal. */
  start(): void {
    this.#started = true;
    if (this.#options.task === undefined) return;
    this.#drive(() => this.#tryStart());
  }

  /** Stops or releases the member until it surely runs no more. */
  stop(how: { checkpoint: boolean; limitMs: number }): void {
    this.#stopping = how;
    this.#drive(() => this.#tryStop(this.#placed.incarnation));
  }

  /** The guard said by itself that the member is ready. Its answer to the reservation may still be on its way. */
  ready(): void {
    this.#isToldReady = true;
    // The row of the start needs the contact times that come with that answer.
    if (!this.#isReserved || this.#ready || this.#stopping !== undefined) return;
    this.#ready = true;
    this.#options.tell({ type: 'member-ready', member: this.#placed.member });
  }

  /** The guard said by itself that the member has ended. */
  ended(end: TaskEnd): void {
    this.close();
    const barred = end.incarnation === this.#options.placed.incarnation;
    this.#options.tell({ type: 'member-ended', member: this.#placed.member, end, barred });
  }

  /** Something happened to the guard: asks it again how the member stands. */
  probe(): void {
    if (this.#round.signal.aborted || this.#stopping !== undefined) return;
    if (this.#started && this.#options.task !== undefined) this.#drive(() => this.#tryStart());
  }

  /** The end is written down: the guard need not remember it. */
  async forget(): Promise<void> {
    const { orders, ref } = this.#options;
    const placed = this.#placed;
    const incarnation = orders.incarnation(placed.guard) ?? placed.incarnation;
    await orders.send({ guard: placed.guard, incarnation }, 'gang.forget', { ref });
  }

  /** Limits a running task to this many cores. */
  async throttle(cores: number): Promise<void> {
    const { orders, ref } = this.#options;
    const placed = this.#placed;
    await orders.send(placed, 'gang.throttle', { ref, cores });
  }

  /** Gives no more orders. */
  close(): void {
    this.#round.abort();
  }

  #drive(attempt: () => Promise<Try>): void {
    this.#round.abort();
    this.#round = new AbortController();
    void this.#loop(attempt, this.#round.signal);
  }

  async #loop(attempt: () => Promise<Try>, signal: AbortSignal): Promise<void> {
    const { timers, ttlMs } = this.#options;
    for (let tries = 0; !signal.aborted; tries += 1) {
      const outcome = this.#isReplaced() ? await this.#tryReplaced() : await attempt();
      if (outcome === 'over' || signal.aborted) return;
      if (this.#isSurelyOver()) this.#lose('Its guard has been silent for too long.');
      else this.#tellSilence();
      if (!signal.aborted) {
        await pause(timers, outcome === 'renew' ? ttlMs / 3 : backoffMs(tries), signal);
      }
    }
  }

  async #tryReserve(): Promise<Try> {
    const { orders, ref, ttlMs, task, within } = this.#options;
    const { guard, incarnation, contact, ...member } = this.#placed;
    const { signal } = this.#round;
    const result = await orders.send({ guard, incarnation }, 'gang.reserve', {
      ref,
      member,
      ttlMs,
      ...(task === undefined ? {} : { task }),
      ...(within === undefined ? {} : { within }),
    });
    if (signal.aborted) return 'over';
    this.#silence.note(result);
    if (result.type === 'refused') return this.#drop(result.problem.detail);
    if (result.type === 'not-sent' && !this.#mayBeReserved) {
      return this.#drop('No link to its guard.');
    }
    this.#mayBeReserved = true;
    if (result.type !== 'not-sent') this.#silence.noteRenewed();
    if (result.type !== 'done') return 'again';
    const { state } = result.res;
    this.#placed = { ...this.#placed, contact: result.res.contact };
    this.#isReserved = true;
    if (state === 'preparing') {
      if (this.#isToldReady) this.ready();
      return 'renew';
    }
    if (state !== 'ready' && state !== 'held') return this.#drop(`Its reservation is ${state}.`);
    this.ready();
    return 'renew';
  }

  async #tryStart(): Promise<Try> {
    const { orders, ref } = this.#options;
    const placed = this.#placed;
    const { signal } = this.#round;
    const result = await orders.send(placed, 'gang.start', { ref });
    if (signal.aborted) return 'over';
    this.#silence.note(result);
    // The guard may be about to learn that it started; other refusals end it for sure.
    if (result.type === 'refused' && result.problem.ran === 'unknown') return 'again';
    if (result.type === 'refused') return this.#tryStop(placed.incarnation);
    if (result.type !== 'done') return 'again';
    const { state, end } = result.res;
    if (state === 'ended') return end === undefined ? 'again' : this.#over(end);
    return state === 'running' || state === 'stopping' ? 'over' : 'again';
  }

  async #tryStop(incarnation: string): Promise<Try> {
    const { orders, ref } = this.#options;
    const placed = this.#placed;
    const { checkpoint, limitMs } = this.#stopping ?? { checkpoint: false, limitMs: 0 };
    const { signal } = this.#round;
    const to = { guard: placed.guard, incarnation };
    const req = { ref, checkpoint, limitMs };
    const result = await orders.send(to, 'gang.stop', req, { extraMs: limitMs });
    if (signal.aborted) return 'over';
    if (result.type !== 'done') {
      this.#silence.note({ type: 'lost' });
      return 'again';
    }
    return this.#over(result.res);
  }

  /**
   * The guard was restarted. It may have found the task running on its worker and goes on with it; else its answer
   * bars the attempt there.
   */
  async #tryReplaced(): Promise<Try> {
    const { orders, ref, task } = this.#options;
    const { guard } = this.#placed;
    const incarnation = orders.incarnation(guard) ?? this.#placed.incarnation;
    const mayGoOn = this.#started && this.#stopping === undefined && task !== undefined;
    if (!mayGoOn) return this.#tryStop(incarnation);
    const { signal } = this.#round;
    const result = await orders.send({ guard, incarnation }, 'gang.start', { ref });
    if (signal.aborted) return 'over';
    this.#silence.note(result);
    if (result.type === 'refused') return this.#tryStop(incarnation);
    if (result.type !== 'done') return 'again';
    const { state, end } = result.res;
    if (state === 'ended') return end === undefined ? 'again' : this.#over(end);
    this.#placed = { ...this.#placed, incarnation };
    return 'over';
  }

  #isReplaced(): boolean {
    const { orders } = this.#options;
    const placed = this.#placed;
    const incarnation = orders.incarnation(placed.guard);
    return incarnation !== undefined && incarnation !== placed.incarnation;
  }

  #over(end: TaskEnd): Try {
    this.ended(end);
    return 'over';
  }

  /** The reservation is gone without having been started. */
  #drop(detail: string): Try {
    const { tell, ref } = this.#options;
    const { member, incarnation } = this.#placed;
    this.close();
    if (this.#ready) {
      const outcome = 'never-started';
      const end: TaskEnd = { ref, incarnation, outcome, detail, ranMs: 0 };
      tell({ type: 'member-ended', member, end });
    } else tell({ type: 'reserve-refused', member, detail });
    return 'over';
  }

  #lose(detail: string): Try {
    this.close();
    this.#options.tell({ type: 'member-lost', member: this.#placed.member, detail });
    return 'over';
  }

  #isSurelyOver(): boolean {
    return this.#silence.isSurelyOver({ placed: this.#placed, started: this.#started });
  }

  /** The others of the gang needn't go on. */
  #tellSilence(): void {
    if (!this.#started || !this.#silence.hasBecomeLong(this.#placed)) return;
    const detail = 'Its guard is out of contact and stops its tasks by itself.';
    this.#options.tell({ type: 'member-silent', member: this.#placed.member, detail });
  }
}
