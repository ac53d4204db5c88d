/**
 * Which entry owns the cell. The row is for safety: every write of the owner names the row's version, so one that was
 * replaced, paused or cut off changes nothing any more. The heartbeat beside it is for liveness only.
 */
import type { ProcessContext } from '@zincspan/core';
import type { Row, RowStore, TransactResult, Transaction } from '../store/row-store.js';
import {
  CELL_TABLE,
  OWNER_BEAT_KEY,
  OWNER_KEY,
  packOwner,
  unpackOwner,
  type Holder,
  type OwnerRow,
} from './owner-row.js';

/** Pause between heartbeats, and between looks at the rows of those that take the cell when its owner is lost, in ms. */
const TICK_MS = 200;

/**
 * Pause between looks of the others while a link to the owner tells that it lives, in ms: they learn of a new owner within
 * that time, and take the cell only if none of those that should is there.
 */
const LINKED_TICK_MS = 1000;

/** Each of them gives the one before it this much longer to take a lost or vacant cell, in ms: a look and a write. */
const GIVE_WAY_MS = 250;

/**
 * A heartbeat that hasn't changed for this long, over reads that all succeeded, is a dead owner's, in ms: three of its
 * ticks. Short, as an urgent job of 2.5 s has 1.5 s to spare for everything; taking over from an owner that lives is safe.
 */
const TAKEOVER_AFTER_MS = 700;

/**
 * And this many answers of the store, as long as the slowest took since the heartbeat was seen: one of a slow store comes later, also
 * the last one on its way when the store is fast again.
 */
const TAKEOVER_ANSWERS = 4;

/**
 * Entries that look for the owner's heartbeat at its own pace, so that it is missed at once: with all of 35 doing so, they
 * made 175 reads of the store a second. Three, since two may be lost with the owner's failure domain.
 */
export const SUCCESSORS = 3;

/** One call to the store may take this long, in ms: several times a slow store's answer. */
const CALL_TIMEOUT_MS = 1200;

/** Told when this entry becomes the owner, and when it no longer is. */
export interface OwnershipEvents {
  onGained: (term: number, ownerVersion: number) => void;
  onLost: (reason: string) => void;
  /** Who owns the cell was seen; undefined if nobody does. */
  onHolder: (holder: Holder | undefined) => void;
}

/** What ownership is looked after by. */
export interface OwnershipOptions {
  ctx: ProcessContext;
  store: RowStore;
  self: Holder;
  events: OwnershipEvents;
  /** How many entries take the cell before this one; undefined if it isn't one of those that look out for its loss. */
  rank: () => number | undefined;
  /** Whether this entry has been there long enough to know who else is. */
  isSettled: () => boolean;
  /** Whether there is a link to the owner. */
  isLinked: () => boolean;
}

interface Held {
  term: number;
  /** Version of the owner's row, which all writes expect. */
  version: number;
  /** When the last write or read that confirmed it was sent, on the monotonic clock. */
  confirmedAt: number;
  /** When the last heartbeat was sent by itself, or with a write that was done. */
  beatAt: number;
  /** What the last heartbeat that was done took, in ms. */
  beatTookMs: number;
  /** Heartbeats without an answer so far. */
  beatsInFlight: number;
}

/**
 * While a heartbeat is on its way the next one waits for this many durations of the last one, if that is longer than a tick: where
 * transactions take their turns, those of a slow store would leave no turn to anything else. Others wait for as many answers
 * before they take the cell.
 */
const BEAT_APART = 2;

/** Takes the cell when nobody lives who owns it, and keeps it. */
export class Ownership {
  readonly #options: OwnershipOptions;

  #held: Held | undefined;

  #beats = 0;

  /** Since when the cell was seen to be nobody's, on the monotonic clock. */
  #vacantSince: number | undefined;

  /** The owner's heartbeat as last seen, and since when it hasn't changed. */
  #seen:
    | { beatVersion: number; ownerVersion: number; since: number; slowestAnswerMs: number }
    | undefined;

  #timer: NodeJS.Timeout | undefined;

  #stopping = false;

  constructor(options: OwnershipOptions) {
    this.#options = options;
  }

  get held(): Readonly<Held> | undefined {
    return this.#held;
  }

  start(): void {
    void this.#tick();
  }

  /** Hands the cell over, if this entry owns it: another takes it at its next look. */
  async stop(): Promise<void> {
    this.#stopping = true;
    clearTimeout(this.#timer);
    const held = this.#held;
    if (held === undefined) return;
    this.lose('planned stop');
    const result = await this.#options.store.transact(
      {
        expected: [{ ...OWNER_KEY, version: held.version }],
        set: [{ ...OWNER_KEY, value: packOwner({ term: held.term }) }],
      },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    this.#options.ctx.log.info(
      { term: held.term, outcome: result.outcome },
      'ownership handed over',
    );
  }

  /** The owner's row was seen changed by others. */
  lose(reason: string): void {
    if (this.#held === undefined) return;
    this.#options.ctx.metrics.count('owner.lost');
    this.#options.ctx.log.warn({ term: this.#held.term, reason }, 'ownership lost');
    this.#held = undefined;
    this.#seen = undefined;
    this.#options.events.onLost(reason);
  }

  /** Sends a write that names the owner's row. It carries a heartbeat along: a slow store has few turns to give. */
  async transact(tx: Transaction, options: { timeoutMs: number }): Promise<TransactResult> {
    const held = this.#held;
    const sentAt = this.#now();
    this.#beats += 1;
    const beat = { ...OWNER_BEAT_KEY, value: Buffer.from(`${held?.term}:${this.#beats}`) };
    if (held !== undefined) held.beatsInFlight += 1;
    const result = await this.#options.store.transact({ ...tx, set: [...tx.set, beat] }, options);
    if (held !== undefined) held.beatsInFlight -= 1;
    if (result.outcome === 'done') this.#confirm(sentAt);
    return result;
  }

  #confirm(sentAt: number): void {
    const held = this.#held;
    if (held === undefined) return;
    held.confirmedAt = Math.max(held.confirmedAt, sentAt);
    held.beatAt = Math.max(held.beatAt, sentAt);
    held.beatTookMs = this.#now() - sentAt;
  }

  #now(): number {
    return this.#options.ctx.clock.now();
  }

  async #tick(): Promise<void> {
    if (this.#stopping) return;
    try {
      if (this.#held === undefined) await this.#look();
      else if (this.#isBeatDue(this.#held)) this.#sendBeat(this.#held);
    } catch (err) {
      this.#options.ctx.metrics.count('owner.tick-failed');
      this.#options.ctx.log.error({ err }, 'looking after the ownership failed');
    }
    if (this.#stopping) return;
    this.#timer = setTimeout(() => {
      void this.#tick();
    }, this.#tickMs());
  }

  #tickMs(): number {
    const { rank, isLinked } = this.#options;
    if (this.#held !== undefined || rank() !== undefined || !isLinked()) return TICK_MS;
    return LINKED_TICK_MS;
  }

  #isBeatDue({ beatAt, beatTookMs, beatsInFlight }: Held): boolean {
    const apartMs = beatsInFlight > 0 ? BEAT_APART * beatTookMs : 0;
    // A timer may fire a little early.
    return this.#now() - beatAt >= Math.max(TICK_MS / 2, apartMs);
  }

  /**
   * Not awaited: the next one goes out in time although the answer to this one is lost, which takes a whole call's time to
   * show. Otherwise a store that loses answers made the cell change hands about once a second.
   */
  #sendBeat(held: Held): void {
    this.#beat(held).catch((err: unknown) => {
      this.#options.ctx.metrics.count('owner.beat-failed');
      this.#options.ctx.log.error({ err }, 'a heartbeat of the owner failed');
    });
  }

  async #beat(held: Held): Promise<void> {
    Object.assign(held, { beatAt: this.#now() });
    const expected = [{ ...OWNER_KEY, version: held.version }];
    const result = await this.transact({ expected, set: [] }, { timeoutMs: CALL_TIMEOUT_MS });
    if (this.#held !== held || result.outcome === 'done') return;
    if (result.outcome === 'conflict') this.lose('another entry took it');
    else this.#options.ctx.metrics.count('owner.beat-failed');
  }

  async #look(): Promise<void> {
    const now = this.#now();
    const result = await this.#options.store.read(
      { table: CELL_TABLE, part: '', from: OWNER_KEY.key, to: `${OWNER_BEAT_KEY.key}\u0000` },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    if (result.outcome === 'failed') {
      // Nothing was seen meanwhile: an owner that couldn't write either mustn't be taken for dead.
      this.#seen = undefined;
      this.#vacantSince = undefined;
      return;
    }
    const ownerRow = result.rows.find(({ key }) => key === OWNER_KEY.key);
    const holder = ownerRow && unpackOwner(ownerRow.value).holder;
    this.#options.events.onHolder(holder);
    const beatVersion = result.rows.find(({ key }) => key === OWNER_BEAT_KEY.key)?.version ?? 0;
    const answerMs = this.#now() - now;
    const mayTake = this.#mayTake({ ownerRow, holder, beatVersion, now, answerMs });
    if (mayTake) await this.#take(ownerRow);
  }

  #mayTake({
    ownerRow,
    holder,
    beatVersion,
    now,
    answerMs,
  }: {
    ownerRow: Row | undefined;
    holder: Holder | undefined;
    beatVersion: number;
    /** When the read was sent. */
    now: number;
    answerMs: number;
  }): boolean {
    const giveWayMs = GIVE_WAY_MS * (this.#options.rank() ?? SUCCESSORS);
    if (ownerRow === undefined || holder === undefined) {
      if (!this.#options.isSettled()) return false;
      this.#vacantSince ??= now;
      return now - this.#vacantSince >= giveWayMs;
    }
    this.#vacantSince = undefined;
    // A holder on this VM is an earlier life of this process.
    if (holder.id === this.#options.self.id) return true;
    const seen = this.#seen;
    if (seen?.beatVersion !== beatVersion || seen.ownerVersion !== ownerRow.version) {
      const { version: ownerVersion } = ownerRow;
      this.#seen = { beatVersion, ownerVersion, since: now, slowestAnswerMs: answerMs };
      return false;
    }
    seen.slowestAnswerMs = Math.max(seen.slowestAnswerMs, answerMs);
    const answersMs = TAKEOVER_ANSWERS * seen.slowestAnswerMs;
    return now - seen.since >= TAKEOVER_AFTER_MS + answersMs + giveWayMs;
  }

  async #take(ownerRow: Row | undefined): Promise<void> {
    const sentAt = this.#now();
    const previous = ownerRow === undefined ? undefined : unpackOwner(ownerRow.value);
    const row: OwnerRow = { term: (previous?.term ?? 0) + 1, holder: this.#options.self };
    const result = await this.#options.store.transact(
      {
        expected: [{ ...OWNER_KEY, version: ownerRow?.version ?? 0 }],
        set: [{ ...OWNER_KEY, value: packOwner(row) }],
      },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    if (result.outcome !== 'done' || this.#stopping) {
      // If it was done all the same, the next look finds this process as holder and takes the next term.
      this.#options.ctx.metrics.count(`owner.take-${result.outcome}`);
      return;
    }
    this.#held = {
      term: row.term,
      version: result.version,
      confirmedAt: sentAt,
      beatAt: -Infinity,
      beatTookMs: 0,
      beatsInFlight: 0,
    };
    this.#options.events.onHolder(this.#options.self);
    this.#options.ctx.metrics.count('owner.taken');
    this.#options.ctx.log.info(
      { term: row.term, from: previous?.holder?.id, beatUnchangedMs: this.#unchangedMs(sentAt) },
      'ownership taken',
    );
    this.#options.events.onGained(row.term, result.version);
  }

  #unchangedMs(now: number): number | undefined {
    return this.#seen && Math.round(now - this.#seen.since);
  }
}
