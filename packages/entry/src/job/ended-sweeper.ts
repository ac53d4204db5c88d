/** Removes the rows of jobs and claims that ended long ago, a page at a time. Rows that aren't final are left alone. */
import {
  activeClaimKey,
  claimRowSchema,
  isFinal,
  jobRowSchema,
  type ProcessContext,
  type Row,
  type RowWrite,
  type Table,
} from '@zincspan/core';
import { isOver } from '../claim/claim-change.js';
import type { Timers } from '../owner/timers.js';

/** Rows read in one pass, and rows changed in one transaction. */
const PAGE_ROWS = 50;
const MOST_WRITES = 25;

/** Time between two passes, in ms. */
const PAUSE_MS = 5000;

const PREFIXES = ['jobs/', 'claims/'];

/** What a sweeper is made from. Times in ms. */
export interface EndedSweeperOptions {
  ctx: ProcessContext;
  table: Table;
  timers: Timers;
  /** Rows are kept for this long after their end. */
  keepEndedMs: number;
  /** One entry sweeps at a time; two at once would only waste reads. */
  isMyTurn: () => boolean;
}

/** Walks over all rows of jobs and claims, again and again. */
export class EndedSweeper {
  readonly #options: EndedSweeperOptions;

  #prefix = 0;

  #after: string | undefined;

  #cancelTimer: (() => void) | undefined;

  #stopped = false;

  constructor(options: EndedSweeperOptions) {
    this.#options = options;
  }

  start(): void {
    if (this.#stopped) return;
    this.#cancelTimer = this.#options.timers.after(PAUSE_MS, () => {
      void this.#pass().finally(() => this.start());
    });
  }

  stop(): void {
    this.#stopped = true;
    this.#cancelTimer?.();
  }

  async #pass(): Promise<void> {
    if (!this.#options.isMyTurn()) return;
    try {
      await this.#sweepPage();
    } catch {
      // The table is down, or a row is of a kind not known here; the next pass reads on.
      this.#options.ctx.metrics.count('row.sweep-failed');
    }
  }

  async #sweepPage(): Promise<void> {
    const { table } = this.#options;
    const prefix = PREFIXES[this.#prefix] ?? 'jobs/';
    const after = this.#after === undefined ? {} : { after: this.#after };
    const rows = await table.scan(prefix, { ...after, limit: PAGE_ROWS });
    const writes = await Promise.all(
      rows.map((row) => (prefix === 'jobs/' ? this.#jobWrite(row) : this.#claimWrite(row))),
    );
    await this.#write(writes.filter((write) => write !== undefined));
    this.#after = rows.at(-1)?.key;
    if (rows.length === PAGE_ROWS) return;
    this.#after = undefined;
    this.#prefix = (this.#prefix + 1) % PREFIXES.length;
  }

  async #write(writes: RowWrite[]): Promise<void> {
    const { table, ctx } = this.#options;
    for (let i = 0; i < writes.length; i += MOST_WRITES) {
      const batch = writes.slice(i, i + MOST_WRITES);
      const { outcome } = await table.write(batch);
      const removed = batch.filter(({ value }) => value === null).length;
      if (outcome === 'written') ctx.metrics.count('row.removed', removed);
    }
  }

  #jobWrite({ key, version, value }: Row): RowWrite | undefined {
    const { data } = jobRowSchema.safeParse(value);
    if (data === undefined || !isFinal(data) || !this.#isOld(data.endedAt)) return undefined;
    return { key, ifVersion: version, value: null };
  }

  /** A claim's row doesn't say when it ended: that is counted from when this was seen first. */
  async #claimWrite({ key, version, value }: Row): Promise<RowWrite | undefined> {
    const { data } = claimRowSchema.safeParse(value);
    if (data === undefined || !isOver(data)) return undefined;
    if (data.endedAt === undefined) {
      const endedAt = this.#options.ctx.clock.wall();
      return { key, ifVersion: version, value: { ...data, endedAt } };
    }
    if (!this.#isOld(data.endedAt)) return undefined;
    // While the row beside it stands, guards may still hold something for it.
    const { failureDomain, account, id } = data;
    const active = await this.#options.table.get(activeClaimKey(failureDomain, account, id));
    return active.version > 0 ? undefined : { key, ifVersion: version, value: null };
  }

  #isOld(endedAt: number | undefined): boolean {
    const { ctx, keepEndedMs } = this.#options;
    return endedAt !== undefined && ctx.clock.wall() - endedAt > keepEndedMs;
  }
}
