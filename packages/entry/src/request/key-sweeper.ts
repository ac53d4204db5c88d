/** Deletes key rows once no caller repeats their requests any more. */
import type { ProcessContext, Row, Table } from '@zincspan/core';
import { KEY_ROWS, keyRowSchema } from './key-row.js';

/** Rows are kept this long after their claim, in ms: a caller must stop repeating a request before. */
export const KEEP_KEYS_MS = 24 * 3_600_000;

const PAGE_ROWS = 100;
const MAX_WRITES = 25;
const PAUSE_MS = 2000;

/** What the sweeper works with. */
export interface KeySweeperOptions {
  ctx: ProcessContext;
  table: Table;
  /** One entry sweeps at a time; two at once would only waste reads. */
  isMyTurn: () => boolean;
  pauseMs?: number;
}

/** Walks over all key rows, a page at a time. */
export class KeySweeper {
  readonly #ctx: ProcessContext;

  readonly #table: Table;

  readonly #isMyTurn: () => boolean;

  readonly #pauseMs: number;

  #after: string | undefined;

  #timer: NodeJS.Timeout | undefined;

  constructor({ ctx, table, isMyTurn, pauseMs = PAUSE_MS }: KeySweeperOptions) {
    this.#ctx = ctx;
    this.#table = table;
    this.#isMyTurn = isMyTurn;
    this.#pauseMs = pauseMs;
  }

  /** Sweeps until `stop`. */
  start(): void {
    this.#timer = setTimeout(() => {
      void this.#sweepInTurn().finally(() => {
        if (this.#timer !== undefined) this.start();
      });
    }, this.#pauseMs);
  }

  stop(): void {
    clearTimeout(this.#timer);
    this.#timer = undefined;
  }

  /** Looks at the next page and deletes what is old. */
  async sweepPage(): Promise<void> {
    const after = this.#after === undefined ? {} : { after: this.#after };
    const rows = await this.#table.scan(KEY_ROWS, { ...after, limit: PAGE_ROWS });
    this.#after = rows.length < PAGE_ROWS ? undefined : rows.at(-1)?.key;
    const old = rows.filter((row) => this.#isOld(row));
    for (let i = 0; i < old.length; i += MAX_WRITES) {
      const writes = old.slice(i, i + MAX_WRITES).map(({ key, version }) => ({
        key,
        ifVersion: version,
        value: null,
      }));
      const { outcome } = await this.#table.write(writes);
      if (outcome === 'written') this.#ctx.metrics.count('request.key.deleted', writes.length);
    }
  }

  async #sweepInTurn(): Promise<void> {
    if (!this.#isMyTurn()) return;
    try {
      await this.sweepPage();
    } catch {
      // The table is down; the next turn starts from the same page.
      this.#ctx.metrics.count('request.key.sweep-failed');
    }
  }

  #isOld({ value }: Row): boolean {
    const row = keyRowSchema.safeParse(value);
    return row.success && row.data.at + KEEP_KEYS_MS < this.#ctx.clock.wall();
  }
}
