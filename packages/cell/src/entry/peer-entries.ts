/** Discovers the other entries by their rows, and keeps links to the owner and to a few neighbours. */
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
import { rankNeighbours } from './entry-ranking.js';
import { successorsFromRows, successorsFromOwner } from './successor-list.js';

/**
 * Number of links besides the owner's, for forwarding calls when the store refuses this entry. Two, preferably in other failure
 * domains, because the store may refuse the owner too.
 */
const NEIGHBOUR_LINKS = 2;

/** Interval of discovery while links are missing, in ms. New entries are linked within this time. */
const DISCOVERY_INTERVAL_MS = 2000;

/** Interval of discovery while no link is missing, in ms. */
const STABLE_DISCOVERY_INTERVAL_MS = 10_000;

/** Time without a link after which a neighbour is replaced, in ms. A process that restarts is back sooner. */
const REPLACE_AFTER_MS = 3000;

/** Time for which a replaced neighbour is not dialled, in ms. */
const EXCLUSION_MS = 30_000;

/** Interval of retries to write this entry's row, and of discovery while no owner is known, in ms. */
const RETRY_INTERVAL_MS = 300;

/**
 * Time after the start within which entries that start together have registered, in ms. Candidates are not compared before;
 * otherwise the first entry to look would own the cell, and it may be the weakest.
 */
const STARTUP_DISCOVERY_MS = 600;

const CALL_TIMEOUT_MS = 1200;

/** Number of entries to which a call is forwarded at once; the store may refuse one of them too. */
const FORWARD_FANOUT = 2;

export interface PeerEntriesOptions {
  ctx: ProcessContext;
  store: RowStore;
  self: EntryRow;
  linkKey: string;
  /** Part of the heartbeat status that only the owner needs. */
  ownerStatus: () => Record<string, unknown>;
}

interface Peer {
  address: string;
  dialer: Dialer;
  /** When it was first found without a link (monotonic clock, in ms); undefined while it has one. */
  unlinkedSince: number | undefined;
}

/** This entry's view of the other entries of the cell, and its links to them. */
export class PeerEntries {
  readonly #options: PeerEntriesOptions;

  readonly #peers = new Map<string, Peer>();

  /** Versions of rows that could not be decoded, by key; each is logged once. */
  readonly #invalidRowVersions = new Map<string, number>();

  /** Unreachable entries, and until when they are not dialled. */
  readonly #excludedUntil = new Map<string, number>();

  #rows: EntryRow[] = [];

  #startedAt = Infinity;

  /** True while an owner of the cell is known, including this entry. */
  #isOwnerKnown = false;

  #owner: Holder | undefined;

  /** Last list of successors received from an owner. */
  #successors: string[] | undefined;

  #rank: number | undefined;

  /** Id of the owner whose list the rank is from; undefined if it is computed from the entries' rows. */
  #rankSource: string | undefined;

  #timer: NodeJS.Timeout | undefined;

  #isRegistered = false;

  #stopped = false;

  constructor(options: PeerEntriesOptions) {
    this.#options = options;
  }

  /** Live links to other entries. */
  get links(): Link[] {
    return [...this.#peers.values()].flatMap(({ dialer }) => dialer.link ?? []);
  }

  /** The link to the cell's owner; undefined if there is none or this entry is the owner. */
  get ownerLink(): Link | undefined {
    return this.#owner && this.#peers.get(this.#owner.id)?.dialer.link;
  }

  /** True once the other entries have had time to register, so that candidates can be compared. */
  get isDiscoveryDone(): boolean {
    return this.#now() - this.#startedAt >= STARTUP_DISCOVERY_MS;
  }

  /** Number of entries before this one in the order of succession; undefined if it is not a successor. */
  rank(): number | undefined {
    const { self } = this.#options;
    const { ownerLink } = this;
    this.#successors = (ownerLink && successorsFromOwner(ownerLink)) ?? this.#successors;
    const successors = this.#successors ?? successorsFromRows(self, this.#rows);
    const index = successors.indexOf(self.id);
    const rank = index < 0 ? undefined : index;
    const toldBy = this.#successors && this.#owner?.id;
    if (rank !== this.#rank || toldBy !== this.#rankSource) {
      this.#options.ctx.log.info({ rank, successors, toldBy }, 'rank among successors changed');
    }
    this.#rank = rank;
    this.#rankSource = toldBy;
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

  /** Sets the owner of the cell and keeps a link to it. */
  setOwner(holder: Holder | undefined): void {
    this.#isOwnerKnown = holder !== undefined;
    const owner = holder?.id === this.#options.self.id ? undefined : holder;
    if (this.#stopped || owner?.incarnation === this.#owner?.incarnation) return;
    this.#owner = owner;
    this.#updateLinks();
  }

  /** Forwards a call to other entries; one promise per entry. Rejects if the link fails meanwhile. */
  forward(call: ForwardedCall): Promise<ForwardedResult>[] {
    const liveLinks = this.links;
    const first = Math.floor(Math.random() * liveLinks.length);
    const asked = [...liveLinks.slice(first), ...liveLinks.slice(0, first)].slice(
      0,
      FORWARD_FANOUT,
    );
    this.#options.ctx.metrics.count('call.forwarded', asked.length);
    return asked.map((link) => link.call('caller.forward', call, { timeoutMs: call.budgetMs }));
  }

  /** Sends the owner a row that was written here. Without a link, or if the call fails, the owner gets it from the store's change feed. */
  notifyOwner({ key, value, version }: Row): void {
    const { ctx } = this.#options;
    this.ownerLink
      ?.call('job.news', { key, value, version }, { timeoutMs: CALL_TIMEOUT_MS })
      .catch((err: unknown) => {
        ctx.metrics.count('peers.tell-failed');
        ctx.log.info({ key, err: String(err) }, 'notifying the owner of a written row failed');
      });
  }

  async #tick(): Promise<void> {
    try {
      if (!this.#isRegistered) await this.#register();
      await this.#discover();
    } catch (err) {
      this.#options.ctx.metrics.count('peers.look-failed');
      this.#options.ctx.log.error({ err }, 'discovering other entries failed');
    }
    if (this.#stopped) return;
    this.#timer = setTimeout(() => {
      void this.#tick();
    }, this.#discoveryIntervalMs());
  }

  #discoveryIntervalMs(): number {
    if (!this.#isRegistered || !this.#isOwnerKnown) return RETRY_INTERVAL_MS;
    return this.links.length > NEIGHBOUR_LINKS
      ? STABLE_DISCOVERY_INTERVAL_MS
      : DISCOVERY_INTERVAL_MS;
  }

  async #register(): Promise<void> {
    const { store, self } = this.#options;
    const result = await store.transact(
      { expected: [], set: [{ ...entryRowKey(self.id), value: packEntryRow(self) }] },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    this.#isRegistered = result.outcome === 'done';
  }

  async #discover(): Promise<void> {
    const result = await this.#options.store.read(
      { table: CELL_TABLE, part: '', from: ENTRY_PREFIX, to: `${ENTRY_PREFIX}\uffff` },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    if (result.outcome === 'failed' || this.#stopped) return;
    this.#rows = result.rows.flatMap((row) => this.#decode(row) ?? []);
    this.#excludeUnreachable();
    this.#updateLinks();
  }

  /** Undefined for a row that another process wrote and that cannot be decoded; it is ignored, the other rows remain valid. */
  #decode({ key, value, version }: Row): EntryRow | undefined {
    try {
      const row = unpackEntryRow(value);
      if (entryRowKey(row.id).key !== key) throw new Error(`row names entry ${row.id}`);
      return row;
    } catch (err) {
      const { ctx } = this.#options;
      ctx.metrics.count('peers.row-unreadable');
      if (this.#invalidRowVersions.get(key) !== version) {
        ctx.log.warn(
          { key, version, err: String(err) },
          'row of an entry cannot be decoded; ignoring it',
        );
      }
      this.#invalidRowVersions.set(key, version);
      return undefined;
    }
  }

  #excludeUnreachable(): void {
    const now = this.#now();
    this.#peers.forEach((peer, id) => {
      const unlinkedSince =
        peer.dialer.link === undefined ? (peer.unlinkedSince ?? now) : undefined;
      Object.assign(peer, { unlinkedSince });
      const missingMs = now - (unlinkedSince ?? now);
      if (id === this.#owner?.id || missingMs <= REPLACE_AFTER_MS) return;
      this.#excludedUntil.set(id, now + EXCLUSION_MS);
      const { ctx } = this.#options;
      ctx.metrics.count('peers.passed-over');
      ctx.log.info({ peer: id, missingMs }, 'neighbour unreachable; replacing it');
    });
  }

  /** Dials missing links and closes those that are no longer wanted. */
  #updateLinks(): void {
    const targets = this.#targetAddresses();
    this.#peers.forEach(({ address, dialer }, id) => {
      if (targets.get(id) === address) return;
      dialer.close();
      this.#peers.delete(id);
    });
    targets.forEach((address, id) => {
      if (!this.#peers.has(id)) this.#dial(id, address);
    });
  }

  /** Addresses of the entries to link to, by id. The owner is always included, however long it has been unreachable. */
  #targetAddresses(): Map<string, string> {
    const now = this.#now();
    const neighbours = rankNeighbours(this.#options.self, this.#rows)
      .filter(({ id }) => id !== this.#owner?.id && (this.#excludedUntil.get(id) ?? 0) <= now)
      .slice(0, NEIGHBOUR_LINKS);
    const all = this.#owner === undefined ? neighbours : [...neighbours, this.#owner];
    return new Map(all.map(({ id, address }) => [id, address]));
  }

  #dial(id: string, address: string): void {
    const { ctx, linkKey, self, ownerStatus } = this.#options;
    const isOwner = (): boolean => this.#owner?.id === id;
    const dialer = new Dialer({
      ctx,
      keys: [linkKey],
      handlers: {},
      heartbeat: LINK_HEARTBEAT,
      address,
      expectId: id,
      status: () => ({
        processorShare: self.processorShare,
        ...(isOwner() ? ownerStatus() : {}),
      }),
      needsStatus: isOwner,
    });
    this.#peers.set(id, { address, dialer, unlinkedSince: undefined });
    ctx.log.info({ peer: id, address }, 'dialling entry');
    dialer.start();
  }

  #now(): number {
    return this.#options.ctx.clock.now();
  }
}
