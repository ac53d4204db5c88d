/** Keeps the newest configuration and knows how fresh that knowledge is. */
import type { ProcessContext } from '@zincspan/core';
import { elapsedMs, readClocks, type ClockReading } from '../clock/elapsed-time.js';
import { readRow } from '../store/read-row.js';
import type { Row, RowKey, RowStore } from '../store/row-store.js';
import type { CellConfig } from './cell-config.js';

/** Reads within the time in which a change has to be in force: four of them may fail. */
const READS_PER_CHANGE = 5;

/** Longest pause between reads, in ms: what an entry says of itself (ready or not) rests on them, too. */
const LONGEST_PAUSE_MS = 600;

/** A read that takes longer than this is given up, in ms: an idle connection may have gone silent for good. */
const READ_TIMEOUT_MS = 1200;

/** Where the operator's configuration stands, and how it is written. */
export interface ConfigSource {
  key: RowKey;
  /** Throws if the value isn't a configuration. */
  decode(value: Buffer): CellConfig;
}

/** What is in force, with the version of its row. */
export interface KnownConfig {
  config: CellConfig;
  rowVersion: number;
}

/** Reads the row again and again. Versions never fall, whatever arrives late. */
export class ConfigWatch {
  readonly #ctx: ProcessContext;

  readonly #store: RowStore;

  readonly #source: ConfigSource;

  readonly #pauseMs: number;

  #known: KnownConfig | undefined;

  /** Highest version by which another entry has answered a caller of this one. */
  #seenVersion = 0;

  /** Version of the last row that couldn't be read: it is told of once. */
  #unreadable = 0;

  /** When the last read that confirmed the configuration was sent. */
  #confirmed: ClockReading | undefined;

  #reading: Promise<void> | undefined;

  #timer: NodeJS.Timeout | undefined;

  #stopped = false;

  constructor({
    ctx,
    store,
    source,
    applyMs,
  }: {
    ctx: ProcessContext;
    store: RowStore;
    source: ConfigSource;
    /** A change has to be in force within this time, in ms. */
    applyMs: number;
  }) {
    this.#ctx = ctx;
    this.#store = store;
    this.#source = source;
    this.#pauseMs = Math.min(LONGEST_PAUSE_MS, applyMs / READS_PER_CHANGE);
  }

  /** What is in force; undefined until a first read succeeded. */
  get known(): KnownConfig | undefined {
    return this.#known;
  }

  /** A caller of this entry was answered by a newer configuration than the one that is known here. */
  get isBehind(): boolean {
    return (this.#known?.config.version ?? 0) < this.#seenVersion;
  }

  /** Another entry has answered a caller of this one by this version. */
  noteSeen(version: number): void {
    this.#seenVersion = Math.max(this.#seenVersion, version);
  }

  get key(): RowKey {
    return this.#source.key;
  }

  /** Time since the configuration was last confirmed, in ms, suspensions of the VM included. */
  get ageMs(): number {
    if (this.#confirmed === undefined) return Infinity;
    return elapsedMs(this.#confirmed, readClocks(this.#ctx.clock));
  }

  start(): void {
    void this.#loop();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  /** Reads once, or joins the read in progress. */
  async refresh(): Promise<void> {
    this.#reading ??= this.#read().finally(() => {
      this.#reading = undefined;
    });
    await this.#reading;
  }

  /** Takes over a row that another call brought, unless it is older. */
  adopt(row: Row): void {
    const newest = Math.max(this.#known?.rowVersion ?? 0, this.#unreadable);
    if (row.version <= newest) return;
    try {
      const config = this.#source.decode(row.value);
      if (this.#known !== undefined && config.version < this.#known.config.version) return;
      this.#known = { config, rowVersion: row.version };
      this.#ctx.metrics.count('config.applied');
      this.#ctx.log.info({ version: config.version, rowVersion: row.version }, 'config applied');
    } catch (err) {
      this.#unreadable = row.version;
      this.#ctx.metrics.count('config.unreadable');
      this.#ctx.log.error({ err, rowVersion: row.version }, 'config unreadable, keeping the last');
    }
  }

  async #loop(): Promise<void> {
    if (this.#stopped) return;
    await this.refresh();
    this.#timer = setTimeout(() => {
      void this.#loop();
    }, this.#pauseMs);
  }

  async #read(): Promise<void> {
    const sentAt = readClocks(this.#ctx.clock);
    const result = await readRow(this.#store, this.#source.key, { timeoutMs: READ_TIMEOUT_MS });
    if (result.outcome === 'failed') this.#ctx.metrics.count('config.read-failed');
    if (result.outcome !== 'found') return;
    this.adopt(result.row);
    this.#confirmed = sentAt;
  }
}
