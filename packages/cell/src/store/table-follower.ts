/** Reads a whole table, then follows its change feed; reads it again if the store has dropped the feed's history. */
import type { ProcessContext } from '@zincspan/core';
import type { FeedRow, RowStore } from './row-store.js';
import { sleep } from '../clock/sleep.js';

/**
 * Longest wait of a feed call for a change, in ms. Short, because a connection may die without an error, and jobs of an entry without
 * a link to the owner wait meanwhile. A call costs the platform less than a hundredth of what a late urgent job does.
 */
const FEED_WAIT_MS = 800;

/** Added to a feed call's wait for its timeout, in ms: twice the answer time of a store that is sixty times slower than usual. */
const FEED_TIMEOUT_MARGIN_MS = 600;

/** Timeout for reading one page of a table, in ms. */
const PAGE_TIMEOUT_MS = 2500;

/** Delay after a failed call, in ms. */
const RETRY_DELAY_MS = 150;

/**
 * Delay between feed calls, in ms. A busy cell changes dozens of rows a second, and the delay batches them; urgent changes are sent
 * over links.
 */
const FEED_INTERVAL_MS = 100;

/** `onRows` receives the rows of the table and of each change; versions of the same row arrive in order. */
export interface TableFollowerOptions {
  ctx: ProcessContext;
  store: RowStore;
  table: string;
  onRows: (rows: FeedRow[]) => void;
  /** Called once, after the whole table has been read for the first time. */
  onLoaded: (rows: number) => void;
}

/** Follows one table. The initial read covers only its empty part; the feed covers all parts. */
export class TableFollower {
  readonly #options: TableFollowerOptions;

  #isLoaded = false;

  #lastVersion = 0;

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
    let canFollow = false;
    while (!this.#stopped) {
      canFollow = canFollow ? await this.#follow() : await this.#load();
    }
  }

  /** Reads all pages. Returns true if the feed can be followed from there. */
  async #load(): Promise<boolean> {
    const { store, table } = this.#options;
    const read = await readTable(store, table, { timeoutMs: PAGE_TIMEOUT_MS });
    if (this.#stopped) return false;
    if (read === undefined) {
      await sleep(RETRY_DELAY_MS);
      return false;
    }
    this.#options.onRows(read.rows);
    this.#lastVersion = read.version;
    if (!this.#isLoaded) this.#options.onLoaded(read.rows.length);
    this.#isLoaded = true;
    return true;
  }

  /** Makes one feed call. Returns false if the table must be read again. */
  async #follow(): Promise<boolean> {
    const { ctx, store, table } = this.#options;
    const result = await store.feed(
      { table, after: this.#lastVersion, waitMs: FEED_WAIT_MS },
      { timeoutMs: FEED_WAIT_MS + FEED_TIMEOUT_MARGIN_MS },
    );
    if (result.outcome === 'forgotten') {
      ctx.metrics.count('feed.forgotten');
      ctx.log.warn(
        { table, after: this.#lastVersion },
        'store has dropped the feed history; reading the table again',
      );
      return false;
    }
    if (result.outcome === 'failed') {
      ctx.metrics.count('feed.failed');
      await sleep(RETRY_DELAY_MS);
      return true;
    }
    if (this.#stopped) return false;
    this.#lastVersion = Math.max(this.#lastVersion, result.version);
    if (result.rows.length > 0) this.#options.onRows(result.rows);
    await sleep(FEED_INTERVAL_MS);
    return true;
  }
}

/** Reads all rows of a table's empty part, and the version from which to follow its feed; undefined if a call failed. */
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
    // Pages are snapshots of different times. The feed repeats whatever changed after the first page.
    version ??= page.version;
    const last = page.rows.at(-1);
    if (!page.hasMore || last === undefined) return { rows, version };
    from = `${last.key}\u0000`;
  }
}
