/** Polls the configuration row, keeps the newest version and tracks when it was last confirmed. */
import type { ProcessContext } from '@zincspan/core';
import { elapsedMs, readClocks, type ClockReading } from '../clock/elapsed-time.js';
import { readRow } from '../store/read-row.js';
import type { Row, RowKey, RowStore } from '../store/row-store.js';
import type { CellConfig } from './cell-config.js';

/** Reads within the time in which a change must take effect, so that four of them may fail. */
const READS_PER_APPLY_PERIOD = 5;

/** Longest interval between reads, in ms. An entry's readiness also depends on them. */
const MAX_READ_INTERVAL_MS = 600;

/** Timeout of a read, in ms. An idle connection may have died without an error. */
const READ_TIMEOUT_MS = 1200;

/** Row of the operator's configuration, and its decoder. */
export interface ConfigSource {
  key: RowKey;
  /** Throws if the value isn't a valid configuration. */
  decode(value: Buffer): CellConfig;
}

/** The configuration in force, with the version of its row. */
export interface CurrentConfig {
  config: CellConfig;
  rowVersion: number;
}

/** Polls the configuration row. The version never decreases, even if an older row arrives late. */
export class ConfigWatcher {
  readonly #ctx: ProcessContext;

  readonly #store: RowStore;

  readonly #source: ConfigSource;

  readonly #readIntervalMs: number;

  #current: CurrentConfig | undefined;

  /** Highest configuration version with which another entry has answered a caller of this entry. */
  #highestSeenVersion = 0;

  /** Version of the last row that could not be decoded; reported only once. */
  #invalidRowVersion = 0;

  /** Send time of the last read that confirmed the configuration. */
  #confirmedAt: ClockReading | undefined;

  #pendingRead: Promise<void> | undefined;

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
    /** Time within which a change must take effect, in ms. */
    applyMs: number;
  }) {
    this.#ctx = ctx;
    this.#store = store;
    this.#source = source;
    this.#readIntervalMs = Math.min(MAX_READ_INTERVAL_MS, applyMs / READS_PER_APPLY_PERIOD);
  }

  /** The configuration in force; undefined until the first read succeeds. */
  get current(): CurrentConfig | undefined {
    return this.#current;
  }

  /** True if a caller of this entry was answered with a newer configuration than the current one here. */
  get isBehind(): boolean {
    return (this.#current?.config.version ?? 0) < this.#highestSeenVersion;
  }

  /** Records the configuration version with which another entry has answered a caller of this entry. */
  noteSeenVersion(version: number): void {
    this.#highestSeenVersion = Math.max(this.#highestSeenVersion, version);
  }

  get key(): RowKey {
    return this.#source.key;
  }

  /** Time since the configuration was last confirmed, in ms, including time during which the VM was suspended. */
  get ageMs(): number {
    if (this.#confirmedAt === undefined) return Infinity;
    return elapsedMs(this.#confirmedAt, readClocks(this.#ctx.clock));
  }

  start(): void {
    void this.#pollLoop();
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
  }

  /** Reads the row, or waits for the read in progress. */
  async refresh(): Promise<void> {
    this.#pendingRead ??= this.#read().finally(() => {
      this.#pendingRead = undefined;
    });
    await this.#pendingRead;
  }

  /** Applies a configuration row, from a read or another call's result, unless it is older than the current one. */
  applyRow(row: Row): void {
    const newestRowVersion = Math.max(this.#current?.rowVersion ?? 0, this.#invalidRowVersion);
    if (row.version <= newestRowVersion) return;
    try {
      const config = this.#source.decode(row.value);
      if (this.#current !== undefined && config.version < this.#current.config.version) return;
      this.#current = { config, rowVersion: row.version };
      this.#ctx.metrics.count('config.applied');
      this.#ctx.log.info(
        { version: config.version, rowVersion: row.version },
        'configuration applied',
      );
    } catch (err) {
      this.#invalidRowVersion = row.version;
      this.#ctx.metrics.count('config.unreadable');
      this.#ctx.log.error(
        { err, rowVersion: row.version },
        'configuration row cannot be decoded; keeping the previous configuration',
      );
    }
  }

  async #pollLoop(): Promise<void> {
    if (this.#stopped) return;
    await this.refresh();
    this.#timer = setTimeout(() => {
      void this.#pollLoop();
    }, this.#readIntervalMs);
  }

  async #read(): Promise<void> {
    const sentAt = readClocks(this.#ctx.clock);
    const result = await readRow(this.#store, this.#source.key, { timeoutMs: READ_TIMEOUT_MS });
    if (result.outcome === 'failed') this.#ctx.metrics.count('config.read-failed');
    if (result.outcome !== 'found') return;
    this.applyRow(result.row);
    this.#confirmedAt = sentAt;
  }
}
