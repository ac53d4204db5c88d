/**
 * Elects the entry that owns the cell. The owner row gives safety: every write of the owner expects the row's version, so an
 * owner that was replaced, paused or cut off changes nothing any more. The heartbeat row beside it is for liveness only.
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

/** Interval between heartbeats of the owner, and between checks of its rows by the entries that succeed it, in ms. */
const TICK_INTERVAL_MS = 200;

/**
 * Interval between checks by other entries while a link shows that the owner is alive, in ms: they learn of a new owner within
 * that time, and take the cell only if none of its successors is there.
 */
const LINKED_TICK_INTERVAL_MS = 1000;

/** Each successor waits this much longer than the one before it to take a lost or vacant cell, in ms: a check and a write. */
const TAKEOVER_STAGGER_MS = 250;

/**
 * An owner whose heartbeat hasn't changed for this long, over reads that all succeeded, counts as dead, in ms: three of its
 * ticks. Short, as an urgent job of 2.5 s has 1.5 s to spare for everything; taking over from a live owner is safe.
 */
const HEARTBEAT_TIMEOUT_MS = 700;

/**
 * Added to the time-out: this many times the slowest read since the heartbeat was last seen to change. With a slow store
 * heartbeats come later, also the last one in flight when the store becomes fast again.
 */
const TAKEOVER_READ_LATENCIES = 4;

/**
 * Number of entries that check the owner's heartbeat as often as it is sent, so that a loss is noticed at once: all of 35 doing
 * so made 175 reads of the store a second. Three, since two may be lost with the owner's failure domain.
 */
export const SUCCESSOR_COUNT = 3;

/** Time-out of a call to the store, in ms: several times the response time of a slow store. */
const STORE_TIMEOUT_MS = 1200;

/** Called when this entry becomes the owner, when it no longer is, and when the owner was read. */
export interface OwnerElectionEvents {
  onGained: (term: number, ownerVersion: number) => void;
  onLost: (reason: string) => void;
  /** The current owner was read from the store; undefined if there is none. */
  onHolder: (holder: Holder | undefined) => void;
}

/** Dependencies of the election. */
export interface OwnerElectionOptions {
  ctx: ProcessContext;
  store: RowStore;
  self: Holder;
  events: OwnerElectionEvents;
  /** Number of successors that take the cell before this entry; undefined if this entry isn't a successor. */
  rank: () => number | undefined;
  /** Whether this entry has been up long enough to know the other entries. */
  knowsPeers: () => boolean;
  /** Whether this entry has a link to the owner. */
  hasOwnerLink: () => boolean;
}

interface HeldOwnership {
  term: number;
  /** Version of the owner row, which all writes of the owner expect. */
  version: number;
  /** When the last call that confirmed the ownership was sent, on the monotonic clock. */
  confirmedAt: number;
  /** When the last heartbeat was sent by itself, or with a write that succeeded. */
  heartbeatSentAt: number;
  /** Duration of the last heartbeat that succeeded, in ms. */
  heartbeatLatencyMs: number;
  /** Number of heartbeats that have no answer yet. */
  heartbeatsInFlight: number;
}

/**
 * While a heartbeat is in flight, the next one waits for this many durations of the last one, if that is longer than a tick: where
 * transactions run one after another, heartbeats in a slow store would leave no turn to other writes. Other entries wait for at
 * least as many answers before they take the cell.
 */
const HEARTBEAT_SPACING_FACTOR = 2;

/** Takes the cell when it has no live owner, and keeps it until it is lost or released. */
export class OwnerElection {
  readonly #options: OwnerElectionOptions;

  #held: HeldOwnership | undefined;

  #heartbeatCount = 0;

  /** Since when the cell was seen without an owner, on the monotonic clock. */
  #vacantSince: number | undefined;

  /** The owner's heartbeat as last read, and since when it hasn't changed. */
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

  /** Releases the cell if this entry owns it: another entry takes it at its next check. */
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
    this.#options.ctx.log.info({ term: held.term, outcome: result.outcome }, 'ownership released');
  }

  /** Ends this entry's ownership: for a planned stop, or because the store shows that it is lost. */
  endOwnership(reason: string): void {
    if (this.#held === undefined) return;
    this.#options.ctx.metrics.count('owner.lost');
    this.#options.ctx.log.warn({ term: this.#held.term, reason }, 'ownership lost');
    this.#held = undefined;
    this.#observed = undefined;
    this.#options.events.onLost(reason);
  }

  /** Sends a write that expects the owner row, and adds a heartbeat to it, since a slow store runs few transactions. */
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
      this.#options.ctx.log.error({ err }, 'owner check or heartbeat failed');
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
    // Timers may fire slightly early.
    return this.#now() - heartbeatSentAt >= Math.max(TICK_INTERVAL_MS / 2, spacingMs);
  }

  /**
   * Not awaited, so that the next heartbeat is sent in time although the answer to this one is lost, which shows only at the
   * call's time-out. When it was awaited, a store that lost answers made the cell change its owner about once a second.
   */
  #sendHeartbeat(held: HeldOwnership): void {
    this.#writeHeartbeat(held).catch((err: unknown) => {
      this.#options.ctx.metrics.count('owner.beat-failed');
      this.#options.ctx.log.error({ err }, 'owner heartbeat failed');
    });
  }

  async #writeHeartbeat(held: HeldOwnership): Promise<void> {
    Object.assign(held, { heartbeatSentAt: this.#now() });
    const expected = [{ ...OWNER_ROW_KEY, version: held.version }];
    const result = await this.transact({ expected, set: [] }, { timeoutMs: STORE_TIMEOUT_MS });
    if (this.#held !== held || result.outcome === 'done') return;
    if (result.outcome === 'conflict') this.endOwnership('another entry took the cell');
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
      // Nothing was read meanwhile: an owner that couldn't write either mustn't be taken for dead.
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
    // A holder with this VM's id is an earlier incarnation of this process.
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
      // If the write succeeded all the same, the next check finds this process as holder and takes the next term.
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
