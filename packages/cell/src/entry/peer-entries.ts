/** The other entries: found by their rows, and reached over links to the owner and to a few of them. */
import type { ForwardedCall, ForwardedResult, ProcessContext } from '@zincspan/core';
import { Dialer, type Link } from '@zincspan/link';
import { LINK_HEARTBEAT } from '../guard/owner-link.js';
import { CELL_TABLE, type Holder } from '../owner/owner-row.js';
import type { Row, RowStore } from '../store/row-store.js';
import {
  ENTRY_PREFIX,
  entryRowKey,
  packEntryRow,
  unpackEntryRow,
  type EntryRow,
} from './entry-row.js';
import { neighboursOf } from './neighbours.js';
import { successorsAnnounced, successorsTold } from './owner-status.js';

/**
 * Links beside the owner's: where a call is passed on when the store turns this entry away. Two, in other failure domains: the
 * owner may be turned away as well.
 */
const NEIGHBOURS = 2;

/** Pause between looks for other entries while links are missing, in ms: a new one takes part within that time. */
const LOOK_EVERY_MS = 2000;

/** And while none is, in ms. */
const SETTLED_LOOK_MS = 10_000;

/** A neighbour without a link for this long gives way to another, in ms: a process that is started anew is back sooner. */
const GIVE_UP_AFTER_MS = 3000;

/** And isn't tried again for this long, in ms. */
const PASSED_OVER_MS = 30_000;

/** Pause before an own row that couldn't be written is tried again, and between looks while no owner is known, in ms. */
const RETRY_MS = 300;

/**
 * Entries that start together announce themselves within this time, in ms; before, none of them is the best of all. Otherwise
 * the first to look would own the cell, and may be the weakest.
 */
const ANNOUNCED_WITHIN_MS = 600;

const CALL_TIMEOUT_MS = 1200;

/** A call is passed on to this many entries at once: the store may turn one of them away as well. */
const ASKED_AT_ONCE = 2;

/** What the peers are found and reached by. */
export interface PeerEntriesOptions {
  ctx: ProcessContext;
  store: RowStore;
  self: EntryRow;
  linkKey: string;
}

interface Peer {
  address: string;
  dialer: Dialer;
  /** When it was first seen without a link, on the monotonic clock; undefined while it has one. */
  missingSince: number | undefined;
}

/** Other entries of the cell. */
export class PeerEntries {
  readonly #options: PeerEntriesOptions;

  readonly #peers = new Map<string, Peer>();

  /** Versions of rows that couldn't be read: each is told of once. */
  readonly #unreadable = new Map<string, number>();

  /** Entries that couldn't be reached, and until when they aren't tried. */
  readonly #passedOver = new Map<string, number>();

  #rows: EntryRow[] = [];

  #startedAt = Infinity;

  /** False until somebody is known to own the cell, if only this entry. */
  #hasOwner = false;

  #owner: Holder | undefined;

  /** As the last owner told that there was a link to. */
  #successors: string[] | undefined;

  #rank: number | undefined;

  /** The owner that told it; undefined if it follows from the entries' rows. */
  #rankToldBy: string | undefined;

  #timer: NodeJS.Timeout | undefined;

  #registered = false;

  #stopped = false;

  constructor(options: PeerEntriesOptions) {
    this.#options = options;
  }

  /** Live links to other entries. */
  get links(): Link[] {
    return [...this.#peers.values()].flatMap(({ dialer }) => dialer.link ?? []);
  }

  /** The link to the cell's owner; undefined while there is none, or if this entry is the owner. */
  get ownerLink(): Link | undefined {
    return this.#owner && this.#peers.get(this.#owner.id)?.dialer.link;
  }

  /** False until the others have had time to announce themselves: who is best isn't known before. */
  get isSettled(): boolean {
    return this.#now() - this.#startedAt >= ANNOUNCED_WITHIN_MS;
  }

  /** How many entries take the cell before this one when its owner is lost; undefined if it is none of those. */
  rank(): number | undefined {
    const { self } = this.#options;
    const { ownerLink } = this;
    this.#successors = (ownerLink && successorsTold(ownerLink)) ?? this.#successors;
    const successors = this.#successors ?? successorsAnnounced(self, this.#rows);
    const index = successors.indexOf(self.id);
    const rank = index < 0 ? undefined : index;
    const toldBy = this.#successors && this.#owner?.id;
    if (rank !== this.#rank || toldBy !== this.#rankToldBy) {
      this.#options.ctx.log.info({ rank, successors, toldBy }, 'rank among successors changed');
    }
    this.#rank = rank;
    this.#rankToldBy = toldBy;
    return rank;
  }

  start(): void {
    this.#startedAt = this.#now();
    void this.#tick();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
    this.#peers.forEach(({ dialer }) => dialer.close());
  }

  /** Keeps a link to this entry as long as it owns the cell. */
  followOwner(holder: Holder | undefined): void {
    this.#hasOwner = holder !== undefined;
    const owner = holder?.id === this.#options.self.id ? undefined : holder;
    if (this.#stopped || owner?.incarnation === this.#owner?.incarnation) return;
    this.#owner = owner;
    this.#settle();
  }

  /** Has other entries serve a call: an answer of each that is asked. Rejects where the link fails meanwhile. */
  forward(call: ForwardedCall): Promise<ForwardedResult>[] {
    const live = this.links;
    const first = Math.floor(Math.random() * live.length);
    const asked = [...live.slice(first), ...live.slice(0, first)].slice(0, ASKED_AT_ONCE);
    this.#options.ctx.metrics.count('call.forwarded', asked.length);
    return asked.map((link) => link.call('caller.forward', call, { timeoutMs: call.budgetMs }));
  }

  /** Tells the owner of a row that was written here; without a link, or if it fails, the store's feed does. */
  tellOwner({ key, value, version }: Row): void {
    const { ctx } = this.#options;
    this.ownerLink
      ?.call('job.news', { key, value, version }, { timeoutMs: CALL_TIMEOUT_MS })
      .catch((err: unknown) => {
        ctx.metrics.count('peers.tell-failed');
        ctx.log.info({ key, err: String(err) }, 'telling the owner of a row failed');
      });
  }

  async #tick(): Promise<void> {
    try {
      if (!this.#registered) await this.#register();
      await this.#look();
    } catch (err) {
      this.#options.ctx.metrics.count('peers.look-failed');
      this.#options.ctx.log.error({ err }, 'looking for other entries failed');
    }
    if (this.#stopped) return;
    this.#timer = setTimeout(() => {
      void this.#tick();
    }, this.#pauseMs());
  }

  #pauseMs(): number {
    if (!this.#registered || !this.#hasOwner) return RETRY_MS;
    return this.links.length > NEIGHBOURS ? SETTLED_LOOK_MS : LOOK_EVERY_MS;
  }

  async #register(): Promise<void> {
    const { store, self } = this.#options;
    const result = await store.transact(
      { expected: [], set: [{ ...entryRowKey(self.id), value: packEntryRow(self) }] },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    this.#registered = result.outcome === 'done';
  }

  async #look(): Promise<void> {
    const result = await this.#options.store.read(
      { table: CELL_TABLE, part: '', from: ENTRY_PREFIX, to: `${ENTRY_PREFIX}\uffff` },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    if (result.outcome === 'failed' || this.#stopped) return;
    this.#rows = result.rows.flatMap((row) => this.#decode(row) ?? []);
    this.#giveUpMissing();
    this.#settle();
  }

  /** Undefined for a row of another writer that can't be read: it names no entry, and the others hold. */
  #decode({ key, value, version }: Row): EntryRow | undefined {
    try {
      return unpackEntryRow(value);
    } catch (err) {
      const { ctx } = this.#options;
      ctx.metrics.count('peers.row-unreadable');
      if (this.#unreadable.get(key) !== version) {
        ctx.log.warn({ key, version, err: String(err) }, 'row of an entry unreadable');
      }
      this.#unreadable.set(key, version);
      return undefined;
    }
  }

  #giveUpMissing(): void {
    const now = this.#now();
    this.#peers.forEach((peer, id) => {
      const missingSince = peer.dialer.link === undefined ? (peer.missingSince ?? now) : undefined;
      Object.assign(peer, { missingSince });
      const missingMs = now - (missingSince ?? now);
      if (id === this.#owner?.id || missingMs <= GIVE_UP_AFTER_MS) return;
      this.#passedOver.set(id, now + PASSED_OVER_MS);
      const { ctx } = this.#options;
      ctx.metrics.count('peers.passed-over');
      ctx.log.info({ peer: id, missingMs }, 'entry passed over');
    });
  }

  /** Dials whom it should be linked to, and closes links to others. */
  #settle(): void {
    const wanted = this.#wanted();
    this.#peers.forEach(({ address, dialer }, id) => {
      if (wanted.get(id) === address) return;
      dialer.close();
      this.#peers.delete(id);
    });
    wanted.forEach((address, id) => {
      if (!this.#peers.has(id)) this.#dial(id, address);
    });
  }

  /** Addresses by id. The owner is dialled however long it can't be reached. */
  #wanted(): Map<string, string> {
    const now = this.#now();
    const neighbours = neighboursOf(this.#options.self, this.#rows)
      .filter(({ id }) => id !== this.#owner?.id && (this.#passedOver.get(id) ?? 0) <= now)
      .slice(0, NEIGHBOURS);
    const all = this.#owner === undefined ? neighbours : [...neighbours, this.#owner];
    return new Map(all.map(({ id, address }) => [id, address]));
  }

  #dial(id: string, address: string): void {
    const { ctx, linkKey, self } = this.#options;
    const dialer = new Dialer({
      ctx,
      keys: [linkKey],
      handlers: {},
      heartbeat: LINK_HEARTBEAT,
      address,
      expectId: id,
      status: () => ({ processorShare: self.processorShare }),
    });
    this.#peers.set(id, { address, dialer, missingSince: undefined });
    ctx.log.info({ peer: id, address }, 'entry dialled');
    dialer.start();
  }

  #now(): number {
    return this.#options.ctx.clock.now();
  }
}
