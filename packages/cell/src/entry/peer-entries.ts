/** The other entries: found by their rows, reached over links that are kept open. */
import type { ForwardedCall, ForwardedResult, ProcessContext } from '@zincspan/core';
import { Dialer } from '@zincspan/link';
import { LINK_HEARTBEAT } from '../guard/owner-link.js';
import { CELL_TABLE } from '../owner/owner-row.js';
import type { Row, RowStore } from '../store/row-store.js';
import {
  ENTRY_PREFIX,
  entryRowKey,
  packEntryRow,
  unpackEntryRow,
  type EntryRow,
} from './entry-row.js';

/** Pause between looks for new entries, in ms: a new one takes part within that time. */
const LOOK_EVERY_MS = 2000;

/** Pause before an own row that couldn't be written is tried again, in ms. */
const RETRY_MS = 300;

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

/** All other entries of the cell. */
export class PeerEntries {
  readonly #options: PeerEntriesOptions;

  readonly #dialers = new Map<string, { address: string; dialer: Dialer }>();

  /** Versions of rows that couldn't be read: each is told of once. */
  readonly #unreadable = new Map<string, number>();

  #timer: NodeJS.Timeout | undefined;

  #registered = false;

  #stopped = false;

  constructor(options: PeerEntriesOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#tick();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
    this.#dialers.forEach(({ dialer }) => dialer.close());
  }

  /** Has other entries serve a call: an answer of each that is asked. Rejects where the link fails meanwhile. */
  forward(call: ForwardedCall): Promise<ForwardedResult>[] {
    const live = [...this.#dialers.values()].flatMap(({ dialer }) => dialer.link ?? []);
    const first = Math.floor(Math.random() * live.length);
    const asked = [...live.slice(first), ...live.slice(0, first)].slice(0, ASKED_AT_ONCE);
    this.#options.ctx.metrics.count('call.forwarded', asked.length);
    return asked.map((link) => link.call('caller.forward', call, { timeoutMs: call.budgetMs }));
  }

  /** Tells an entry of a row that was written here; without a link, or if it fails, the store's feed does. */
  tell(id: string, { key, value, version }: Row): void {
    const { ctx } = this.#options;
    const link = this.#dialers.get(id)?.dialer.link;
    if (link === undefined) return;
    link
      .call('job.news', { key, value, version }, { timeoutMs: CALL_TIMEOUT_MS })
      .catch((err: unknown) => {
        ctx.metrics.count('peers.tell-failed');
        ctx.log.info({ peer: id, key, err: String(err) }, 'telling an entry of a row failed');
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
    const pauseMs = this.#registered ? LOOK_EVERY_MS : RETRY_MS;
    this.#timer = setTimeout(() => {
      void this.#tick();
    }, pauseMs);
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
    const { store, self } = this.#options;
    const result = await store.read(
      { table: CELL_TABLE, part: '', from: ENTRY_PREFIX, to: `${ENTRY_PREFIX}\uffff` },
      { timeoutMs: CALL_TIMEOUT_MS },
    );
    if (result.outcome === 'failed' || this.#stopped) return;
    result.rows
      .flatMap((row) => this.#decode(row) ?? [])
      .filter(({ id }) => id !== self.id)
      .forEach((row) => this.#follow(row));
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

  #follow({ id, address }: EntryRow): void {
    const known = this.#dialers.get(id);
    if (known?.address === address) return;
    known?.dialer.close();
    const { ctx, linkKey } = this.#options;
    const dialer = new Dialer({
      ctx,
      keys: [linkKey],
      handlers: {},
      heartbeat: LINK_HEARTBEAT,
      address,
      expectId: id,
    });
    this.#dialers.set(id, { address, dialer });
    ctx.log.info({ peer: id, address }, 'entry found');
    dialer.start();
  }
}
