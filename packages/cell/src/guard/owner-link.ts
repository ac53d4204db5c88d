/** Finds the cell's owner and keeps a link to it. */
import type { Handlers, ProcessContext } from '@zincspan/core';
import { Dialer, type Link } from '@zincspan/link';
import { OWNER_ROW_KEY, unpackOwnerRow, type Holder } from '../owner/owner-row.js';
import { readRow } from '../store/read-row.js';
import type { RowStore } from '../store/row-store.js';

/**
 * Pause between looks at the owner's row while the owner answers and the store confirms it, in ms: a rest, should both be
 * wrong. Once a second from each of 160 guards was a tenth of all calls to the store.
 */
const LOOK_EVERY_MS = 10_000;

/** While that is in doubt, in ms: another entry takes the cell about 0.8 s after the owner was last confirmed. */
const LOOK_IN_DOUBT_MS = 500;

/** And while there is no link, in ms. */
const LOOK_WITHOUT_LINK_MS = 150;

const READ_TIMEOUT_MS = 1000;

/** Heartbeats of links, in ms: two missed ones end a link. A link looks after itself twice in the time between them. */
export const LINK_HEARTBEAT = { everyMs: 800, silenceMs: 2000 };

/** A link whose address answers nothing is redialled soon, in ms: an owner that restarts is back within a second. */
const REDIAL = { firstMs: 50, maxMs: 300 };

/** What the link is made of. */
export interface OwnerLinkOptions {
  ctx: ProcessContext;
  store: RowStore;
  linkKey: string;
  handlers: Handlers;
  onLink: () => void;
}

/** Follows the owner's row; never goes back to a lower term. */
export class OwnerLink {
  readonly #options: OwnerLinkOptions;

  #term = 0;

  #holder: Holder | undefined;

  #dialer: Dialer | undefined;

  #timer: NodeJS.Timeout | undefined;

  #looking = false;

  /** The owner didn't answer in time, or isn't confirmed by the store any more. */
  #inDoubt = false;

  #stopped = false;

  constructor(options: OwnerLinkOptions) {
    this.#options = options;
  }

  get link(): Link | undefined {
    return this.#dialer?.link;
  }

  start(): void {
    void this.#look();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
    this.#dialer?.close();
  }

  /** The owner answered, and the store confirms it. */
  trust(): void {
    this.#inDoubt = false;
  }

  /** Another entry may own the cell by now: looks at once, and again until the owner is trusted. */
  doubt(): void {
    if (this.#inDoubt) return;
    this.#inDoubt = true;
    this.lookNow();
  }

  /** The present owner says that it isn't: looks at once. */
  lookNow(): void {
    if (this.#looking || this.#stopped) return;
    clearTimeout(this.#timer);
    void this.#look();
  }

  async #look(): Promise<void> {
    if (this.#looking) return;
    this.#looking = true;
    const { store, ctx } = this.#options;
    const result = await readRow(store, OWNER_ROW_KEY, { timeoutMs: READ_TIMEOUT_MS });
    this.#looking = false;
    if (this.#stopped) return;
    if (result.outcome === 'failed') ctx.metrics.count('owner-link.look-failed');
    if (result.outcome === 'found') {
      const { term, holder } = unpackOwnerRow(result.row.value);
      if (term > this.#term) this.#follow(term, holder);
    }
    this.#timer = setTimeout(() => {
      void this.#look();
    }, this.#pauseMs());
  }

  #pauseMs(): number {
    if (this.link === undefined) return LOOK_WITHOUT_LINK_MS;
    return this.#inDoubt ? LOOK_IN_DOUBT_MS : LOOK_EVERY_MS;
  }

  #follow(term: number, holder: Holder | undefined): void {
    const { ctx, linkKey, handlers, onLink } = this.#options;
    ctx.log.info({ term, owner: holder?.id, address: holder?.address }, 'owner found');
    this.#term = term;
    this.#dialer?.close();
    this.#holder = holder;
    this.#dialer = undefined;
    if (holder === undefined) return;
    this.#dialer = new Dialer({
      ctx,
      keys: [linkKey],
      handlers,
      heartbeat: LINK_HEARTBEAT,
      address: holder.address,
      expectId: holder.id,
      backoff: REDIAL,
      onPeer: () => {
        ctx.log.info({ owner: this.#holder?.id, term: this.#term }, 'link to the owner up');
        onLink();
      },
    });
    this.#dialer.start();
  }
}
