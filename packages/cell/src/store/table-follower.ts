/** Reads a whole table once, then follows its feed; reads it anew when the history is gone. */
import type { ProcessContext } from '@zincspan/core';
import type { FeedRow, RowStore } from './row-store.js';
import { sleep } from '../clock/sleep.js';

/**
 * How long a feed call waits for a change, in ms. Short, as a connection may go silent without an error, and a job whose entry
 * has no link to the owner waits meanwhile; a call costs the platform less than a hundredth of what a late urgent job does.
 */
const FEED_WAIT_MS = 800;

/** Beyond its wait, a feed call may take this long, in ms: twice what a store sixty times slower than usual takes. */
const FEED_SLACK_MS = 600;

/** A page of a table may take this long, in ms. */
const READ_TIMEOUT_MS = 2500;

/** Pause after a failed call, in ms. */
const RETRY_PAUSE_MS = 150;

/**
 * Pause before the feed is asked again, in ms: a busy cell changes dozens of rows a second, which come together so. What is
 * urgent is told over links.
 */
const FEED_PAUSE_MS = 100;

/** Told the rows of each page and of each change, in order of their versions within one row. */
export interface TableFollowerOptions {
  ctx: ProcessContext;
  store: RowStore;
  table: string;
  onRows: (rows: FeedRow[]) => void;
  /** The whole table was read for the first time. */
  onLoaded: (rows: number) => void;
}

/** Follows one table (its empty part is read at first; the feed tells of all parts). */
export class TableFollower {
  readonly #options: TableFollowerOptions;

  #loaded = false;

  #after = 0;

  #stopped = false;

  constructor(options: TableFollowerOptions) {
    this.#options = options;
  }

  start(): void {
    void this.#run();
  }

  stop(): void {
    this.#stopped = true;
  }

  async #run(): Promise<void> {
    let current = false;
    while (!this.#stopped) {
      current = current ? await this.#follow() : await this.#load();
    }
  }

  /** Reads all pages. True if the feed may be followed from there. */
  async #load(): Promise<boolean> {
    const { store, table } = this.#options;
    const read = await readTable(store, table, { timeoutMs: READ_TIMEOUT_MS });
    if (this.#stopped) return false;
    if (read === undefined) {
      await sleep(RETRY_PAUSE_MS);
      return false;
    }
    this.#options.onRows(read.rows);
    this.#after = read.version;
    if (!this.#loaded) this.#options.onLoaded(read.rows.length);
    this.#loaded = true;
    return true;
  }

  /** Waits for changes once. False if the table has to be read anew. */
  async #follow(): Promise<boolean> {
    const { ctx, store, table } = this.#options;
    const result = await store.feed(
      { table, after: this.#after, waitMs: FEED_WAIT_MS },
      { timeoutMs: FEED_WAIT_MS + FEED_SLACK_MS },
    );
    if (result.outcome === 'forgotten') {
      ctx.metrics.count('feed.forgotten');
      ctx.log.warn({ table, after: this.#after }, 'feed history gone, reading the table anew');
      return false;
    }
    if (result.outcome === 'failed') {
      ctx.metrics.count('feed.failed');
      await sleep(RETRY_PAUSE_MS);
      return true;
    }
    if (this.#stopped) return false;
    this.#after = Math.max(this.#after, result.version);
    if (result.rows.length > 0) this.#options.onRows(result.rows);
    await sleep(FEED_PAUSE_MS);
    return true;
  }
}

/** All rows of a table's empty part and the version from which its feed goes on; undefined if a call failed. */
export async function readTable(
  store: RowStore,
  table: string,
  options: { timeoutMs: number },
): Promise<{ rows: FeedRow[]; version: number } | undefined> {
  const rows: FeedRow[] = [];
  let version: number | undefined;
  let from = '';
  for (;;) {
    const page = await store.read({ table, part: '', from }, options);
    if (page.outcome === 'failed') return undefined;
    rows.push(...page.rows.map((row) => ({ ...row, deleted: false })));
    // Pages are of different moments: what changed after the first is told again by the feed.
    version ??= page.version;
    const last = page.rows.at(-1);
    if (!page.hasMore || last === undefined) return { rows, version };
    from = `${last.key}\u0000`;
  }
}
