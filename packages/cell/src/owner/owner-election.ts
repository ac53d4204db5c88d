/**
 * Which entry owns the cell. The row is for safety: every write of the owner names the row's version, so one that was
 * replaced, paused or cut off changes nothing any more. The heartbeat beside it is for liveness only.
 */
import type { ProcessContext } from '@zincspan/core';
import type { Row, RowStore, TransactResult, Transaction } from '../store/row-store.js';
import {
  CELL_TABLE,
  OWNER_HEARTBEAT_KEY,
  OWNER_ROW_KEY,
  packOwnerRow,
  unpackOwnerRow,
  type Holder,
  type OwnerRow,
} from './owner-row.js';

/** Pause between heartbeats, and between looks at the rows of those that take the cell when its owner is lost, in ms. */
const TICK_INTERVAL_MS = 200;

/**
 * Pause between looks of the others while a link to the owner tells that it lives, in ms: they learn of a new owner within
 * that time, and take the cell only if none of those that should is there.
 */
const LINKED_TICK_INTERVAL_MS = 1000;

/** Each of them gives the one before it this much longer to take a lost or vacant cell, in ms: a look and a write. */
const TAKEOVER_STAGGER_MS = 250;

/**
 * A heartbeat that hasn't changed for this long, over reads that all succeeded, is a dead owner's, in ms: three of its
 * ticks. Short, as an urgent job of 2.5 s has 1.5 s to spare for everything; taking over from an owner that lives is safe.
 */
const HEARTBEAT_TIMEOUT_MS = 700;

/**
 * And this many answers of the store, as long as the slowest took since the heartbeat was seen: one of a slow store comes later, also
 * the last one on its way when the store is fast again.
 */
const TAKEOVER_READ_LATENCIES = 4;

/**
 * Entries that look for the owner's heartbeat at its own pace, so that it is missed at once: with all of 35 doing so, they
 * made 175 reads of the store a second. Three, since two may be lost with the owner's failure domain.
 */
export const SUCCESSOR_COUNT = 3;

/** One call to the store may take this long, in ms: several times a slow store's answer. */
const STORE_TIMEOUT_MS = 1200;

/** Told when this entry becomes the owner, and when it no longer is. */
export interface OwnerElectionEvents {
  onGained: (term: number, ownerVersion: number) => void;
  onLost: (reason: string) => void;
  /** Who owns the cell was seen; undefined if nobody does. */
  onHolder: (holder: Holder | undefined) => void;
}

/** What ownership is looked after by. */
export interface OwnerElectionOptions {
  ctx: ProcessContext;
  store: RowStore;
  self: Holder;
  events: OwnerElectionEvents;
  /** How many entries take the cell before this one; undefined if it isn't one of those that look out for its loss. */
  rank: () => number | undefined;
  /** Whether this entry has been there long enough to know who else is. */
  knowsPeers: () => boolean;
  /** Whether there is a link to the owner. */
  hasOwnerLink: () => boolean;
}

interface HeldOwnership {
  term: number;
  /** Version of the owner's row, which all writes expect. */
  version: number;
  /** When the last write or read that confirmed it was sent, on the monotonic clock. */
  confirmedAt: number;
  /** When the last heartbeat was sent by itself, or with a write that was done. */
  heartbeatSentAt: number;
  /** What the last heartbeat that was done took, in ms. */
  heartbeatLatencyMs: number;
  /** Heartbeats without an answer so far. */
  heartbeatsInFlight: number;
}

/**
 * While a heartbeat is on its way the next one waits for this many durations of the last one, if that is longer than a tick: where
 * transactions take their turns, those of a slow store would leave no turn to anything else. Others wait for as many answers
 * before they take the cell.
 */
const HEARTBEAT_SPACING_FACTOR = 2;

/** Takes the cell when nobody lives who owns it, and keeps it. */
export class OwnerElection {
  readonly #options: OwnerElectionOptions;

  #held: HeldOwnership | undefined;

  #heartbeatCount = 0;

  /** Since when the cell was seen to be nobody's, on the monotonic clock. */
  #vacantSince: number | undefined;

  /** The owner's heartbeat as last seen, and since when it hasn't changed. */
  #observed:
    | { heartbeatVersion: number; ownerVersion: number; since: number; slowestReadMs: number }
    | undefined;

  #timer: NodeJS.Timeout | undefined;

  #stopping = false;

  constructor(options: OwnerElectionOptions) {
    this.#options = options;
  }

  get held(): Readonly<HeldOwnership> | undefined {
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
    this.endOwnership('planned stop');
    const result = await this.#options.store.transact(
      {
        expected: [{ ...OWNER_ROW_KEY, version: held.version }],
        set: [{ ...OWNER_ROW_KEY, value: packOwnerRow({ term: held.term }) }],
      },
      { timeoutMs: STORE_TIMEOUT_MS },
    );
    this.#options.ctx.log.info(
      { term: held.term, outcome: result.outcome },
      'ownership handed over',
    );
  }

  /** The owner's row was seen changed by others. */
  endOwnership(reason: string): void {
    if (this.#held === undefined) return;
    this.#options.ctx.metrics.count('owner.lost');
    this.#options.ctx.log.warn({ term: this.#held.term, reason }, 'ownership lost');
    this.#held = undefined;
    this.#observed = undefined;
    this.#options.events.onLost(reason);
  }

  /** Sends a write that names the owner's row. It carries a heartbeat along: a slow store has few turns to give. */
  async transact(tx: Transaction, options: { timeoutMs: number }): Promise<TransactResult> {
    const held = this.#held;
    const sentAt = this.#now();
    this.#heartbeatCount += 1;
    const heartbeat = {
      ...OWNER_HEARTBEAT_KEY,
      value: Buffer.from(`${held?.term}:${this.#heartbeatCount}`),
    };
    if (held !== undefined) held.heartbeatsInFlight += 1;
    const result = await this.#options.store.transact(
      { ...tx, set: [...tx.set, heartbeat] },
      options,
    );
    if (held !== undefined) held.heartbeatsInFlight -= 1;
    if (result.outcome === 'done') this.#confirm(sentAt);
    return result;
  }

  #confirm(sentAt: number): void {
    const held = this.#held;
    if (held === undefined) return;
    held.confirmedAt = Math.max(held.confirmedAt, sentAt);
    held.heartbeatSentAt = Math.max(held.heartbeatSentAt, sentAt);
    held.heartbeatLatencyMs = this.#now() - sentAt;
  }

  #now(): number {
    return this.#options.ctx.clock.now();
  }

  async #tick(): Promise<void> {
    if (this.#stopping) return;
    try {
      if (this.#held === undefined) await this.#checkOwner();
      else if (this.#isHeartbeatDue(this.#held)) this.#sendHeartbeat(this.#held);
    } catch (err) {
      this.#options.ctx.metrics.count('owner.tick-failed');
      this.#options.ctx.log.error({ err }, 'looking after the ownership failed');
    }
    if (this.#stopping) return;
    this.#timer = setTimeout(() => {
      void this.#tick();
    }, this.#tickIntervalMs());
  }

  #tickIntervalMs(): number {
    const { rank, hasOwnerLink: isLinked } = this.#options;
    if (this.#held !== undefined || rank() !== undefined || !isLinked()) return TICK_INTERVAL_MS;
    return LINKED_TICK_INTERVAL_MS;
  }

  #isHeartbeatDue({
    heartbeatSentAt,
    heartbeatLatencyMs,
    heartbeatsInFlight,
  }: HeldOwnership): boolean {
    const spacingMs = heartbeatsInFlight > 0 ? HEARTBEAT_SPACING_FACTOR * heartbeatLatencyMs : 0;
    // A timer may fire a little early.
    return this.#now() - heartbeatSentAt >= Math.max(TICK_INTERVAL_MS / 2, spacingMs);
  }

  /**
   * Not awaited: the next one goes out in time although the answer to this one is lost, which takes a whole call's time to
   * show. Otherwise a store that loses answers made the cell change hands about once a second.
   */
  #sendHeartbeat(held: HeldOwnership): void {
    this.#writeHeartbeat(held).catch((err: unknown) => {
      this.#options.ctx.metrics.count('owner.beat-failed');
      this.#options.ctx.log.error({ err }, 'a heartbeat of the owner failed');
    });
  }

  async #writeHeartbeat(held: HeldOwnership): Promise<void> {
    Object.assign(held, { heartbeatSentAt: this.#now() });
    const expected = [{ ...OWNER_ROW_KEY, version: held.version }];
    const result = await this.transact({ expected, set: [] }, { timeoutMs: STORE_TIMEOUT_MS });
    if (this.#held !== held || result.outcome === 'done') return;
    if (result.outcome === 'conflict') this.endOwnership('another entry took it');
    else this.#options.ctx.metrics.count('owner.beat-failed');
  }

  async #checkOwner(): Promise<void> {
    const now = this.#now();
    const result = await this.#options.store.read(
      {
        table: CELL_TABLE,
        part: '',
        from: OWNER_ROW_KEY.key,
        to: `${OWNER_HEARTBEAT_KEY.key}\u0000`,
      },
      { timeoutMs: STORE_TIMEOUT_MS },
    );
    if (result.outcome === 'failed') {
      // Nothing was seen meanwhile: an owner that couldn't write either mustn't be taken for dead.
      this.#observed = undefined;
      this.#vacantSince = undefined;
      return;
    }
    const ownerRow = result.rows.find(({ key }) => key === OWNER_ROW_KEY.key);
    const holder = ownerRow && unpackOwnerRow(ownerRow.value).holder;
    this.#options.events.onHolder(holder);
    const heartbeatVersion =
      result.rows.find(({ key }) => key === OWNER_HEARTBEAT_KEY.key)?.version ?? 0;
    const readMs = this.#now() - now;
    const mayTakeOver = this.#mayTakeOver({ ownerRow, holder, heartbeatVersion, now, readMs });
    if (mayTakeOver) await this.#takeOver(ownerRow);
  }

  #mayTakeOver({
    ownerRow,
    holder,
    heartbeatVersion,
    now,
    readMs,
  }: {
    ownerRow: Row | undefined;
    holder: Holder | undefined;
    heartbeatVersion: number;
    /** When the read was sent. */
    now: number;
    readMs: number;
  }): boolean {
    const staggerMs = TAKEOVER_STAGGER_MS * (this.#options.rank() ?? SUCCESSOR_COUNT);
    if (ownerRow === undefined || holder === undefined) {
      if (!this.#options.knowsPeers()) return false;
      this.#vacantSince ??= now;
      return now - this.#vacantSince >= staggerMs;
    }
    this.#vacantSince = undefined;
    // A holder on this VM is an earlier life of this process.
    if (holder.id === this.#options.self.id) return true;
    const observed = this.#observed;
    if (
      observed?.heartbeatVersion !== heartbeatVersion ||
      observed.ownerVersion !== ownerRow.version
    ) {
      const { version: ownerVersion } = ownerRow;
      this.#observed = { heartbeatVersion, ownerVersion, since: now, slowestReadMs: readMs };
      return false;
    }
    observed.slowestReadMs = Math.max(observed.slowestReadMs, readMs);
    const readLatenciesMs = TAKEOVER_READ_LATENCIES * observed.slowestReadMs;
    return now - observed.since >= HEARTBEAT_TIMEOUT_MS + readLatenciesMs + staggerMs;
  }

  async #takeOver(ownerRow: Row | undefined): Promise<void> {
    const sentAt = this.#now();
    const previous = ownerRow === undefined ? undefined : unpackOwnerRow(ownerRow.value);
    const row: OwnerRow = { term: (previous?.term ?? 0) + 1, holder: this.#options.self };
    const result = await this.#options.store.transact(
      {
        expected: [{ ...OWNER_ROW_KEY, version: ownerRow?.version ?? 0 }],
        set: [{ ...OWNER_ROW_KEY, value: packOwnerRow(row) }],
      },
      { timeoutMs: STORE_TIMEOUT_MS },
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
      heartbeatSentAt: -Infinity,
      heartbeatLatencyMs: 0,
      heartbeatsInFlight: 0,
    };
    this.#options.events.onHolder(this.#options.self);
    this.#options.ctx.metrics.count('owner.taken');
    this.#options.ctx.log.info(
      {
        term: row.term,
        from: previous?.holder?.id,
        beatUnchangedMs: this.#heartbeatUnchangedMs(sentAt),
      },
      'ownership taken',
    );
    this.#options.events.onGained(row.term, result.version);
  }

  #heartbeatUnchangedMs(now: number): number | undefined {
    return this.#observed && Math.round(now - this.#observed.since);
  }
}
