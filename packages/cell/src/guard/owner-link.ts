/** Finds the cell's owner in the store and keeps a link to it. */
import type { Handlers, ProcessContext } from '@zincspan/core';
import { Dialer, type Link } from '@zincspan/link';
import { OWNER_ROW_KEY, unpackOwnerRow, type Holder } from '../owner/owner-row.js';
import { readRow } from '../store/read-row.js';
import type { Row, RowStore } from '../store/row-store.js';

/**
 * Interval between reads of the owner's row while the owner answers and the store confirms it, in ms: a safeguard, should both be
 * wrong. Once a second from each of 160 guards was a tenth of all calls to the store.
 */
const REFRESH_INTERVAL_MS = 10_000;

/**
 * Interval while the owner may have failed, in ms: another entry takes the cell about 0.8 s after the owner was last confirmed.
 */
const SUSPECT_REFRESH_INTERVAL_MS = 500;

/** Interval while there is no link, in ms. */
const NO_LINK_REFRESH_INTERVAL_MS = 150;

const READ_TIMEOUT_MS = 1000;

/** Heartbeats of links, in ms: two missed ones end a link. A link checks for silence twice in each interval. */
export const LINK_HEARTBEAT = { everyMs: 800, silenceMs: 2000 };

/** Backoff for redialling an address that doesn't answer, in ms. Short, as an owner that restarts is back within a second. */
const REDIAL_BACKOFF = { firstMs: 50, maxMs: 300 };

/** Dependencies of the link. */
export interface OwnerLinkOptions {
  ctx: ProcessContext;
  store: RowStore;
  linkKey: string;
  handlers: Handlers;
  /** Sent when a link is up, before the first contact, and with each heartbeat. */
  status: () => Record<string, unknown>;
  onLinkUp: () => void;
}

/** Connects to the owner that the store names; never goes back to one of a lower term. */
export class OwnerLink {
  readonly #options: OwnerLinkOptions;

  #term = 0;

  #holder: Holder | undefined;

  #dialer: Dialer | undefined;

  #timer: NodeJS.Timeout | undefined;

  #isRefreshing = false;

  /** The owner didn't answer in time, or the store doesn't confirm it any more. */
  #isSuspect = false;

  #stopped = false;

  /** Version of the last row that could not be decoded; logged only once. */
  #invalidRowVersion = 0;

  constructor(options: OwnerLinkOptions) {
    this.#options = options;
  }

  get link(): Link | undefined {
    return this.#dialer?.link;
  }

  start(): void {
    void this.#refresh();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
    this.#dialer?.close();
  }

  /** The owner answered, and the store confirms it. */
  markConfirmed(): void {
    this.#isSuspect = false;
  }

  /**
   * Another entry may own the cell by now: reads the owner's row at once, and at short intervals until the owner is confirmed.
   */
  markSuspect(): void {
    if (this.#isSuspect) return;
    this.#isSuspect = true;
    this.refreshNow();
  }

  /** The process that was taken for the owner says that it isn't: reads the owner's row at once. */
  refreshNow(): void {
    if (this.#isRefreshing || this.#stopped) return;
    clearTimeout(this.#timer);
    void this.#refresh();
  }

  async #refresh(): Promise<void> {
    if (this.#isRefreshing) return;
    this.#isRefreshing = true;
    const { store, ctx } = this.#options;
    const result = await readRow(store, OWNER_ROW_KEY, { timeoutMs: READ_TIMEOUT_MS });
    this.#isRefreshing = false;
    if (this.#stopped) return;
    if (result.outcome === 'failed') ctx.metrics.count('owner-link.look-failed');
    if (result.outcome === 'found') this.#applyRow(result.row);
    this.#timer = setTimeout(() => {
      void this.#refresh();
    }, this.#refreshIntervalMs());
  }

  /** Ignores a row that can't be decoded: the owner's next write replaces it. */
  #applyRow({ value, version }: Row): void {
    try {
      const { term, holder } = unpackOwnerRow(value);
      if (term > this.#term) this.#connect(term, holder);
    } catch (err) {
      const { ctx } = this.#options;
      ctx.metrics.count('owner-link.row-unreadable');
      if (version !== this.#invalidRowVersion) {
        ctx.log.warn({ version, err: String(err) }, 'owner row cannot be decoded; ignoring it');
      }
      this.#invalidRowVersion = version;
    }
  }

  #refreshIntervalMs(): number {
    if (this.link === undefined) return NO_LINK_REFRESH_INTERVAL_MS;
    return this.#isSuspect ? SUSPECT_REFRESH_INTERVAL_MS : REFRESH_INTERVAL_MS;
  }

  #connect(term: number, holder: Holder | undefined): void {
    const { ctx, linkKey, handlers, status, onLinkUp } = this.#options;
    ctx.log.info({ term, owner: holder?.id, address: holder?.address }, 'cell owner found');
    this.#term = term;
    this.#dialer?.close();
    this.#holder = holder;
    this.#dialer = undefined;
    if (holder === undefined) return;
    this.#dialer = new Dialer({
      ctx,
      keys: [linkKey],
      handlers,
      status,
      heartbeat: LINK_HEARTBEAT,
      address: holder.address,
      expectId: holder.id,
      backoff: REDIAL_BACKOFF,
      onPeer: () => {
        ctx.log.info({ owner: this.#holder?.id, term: this.#term }, 'connected to the cell owner');
        onLinkUp();
      },
    });
    this.#dialer.start();
  }
}
