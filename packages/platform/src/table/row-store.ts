/** Rows and transactions in memory, with the guarantees that the platform's table service gives. */
import type { Row, RowWrite, WriteResult } from '@zincspan/core';

/** What a write id stands for once it is settled. `barred`: asked about before it arrived. */
export type SettledWrite = WriteResult | { outcome: 'barred' };

/** Settled write ids that are remembered; at 300 writes a second this is over ten minutes. */
const REMEMBERED_WRITES = 200_000;

/** Most rows of one scan. */
export const MAX_SCAN_ROWS = 1000;

interface StoredRow {
  version: number;
  /** JSON text, so that no caller shares an object with the store. */
  json: string;
}

/** Rows in key order (by UTF-16 code unit), changed by compare-and-set transactions. */
export class RowStore {
  readonly #rows = new Map<string, StoredRow>();

  /** Keys of all rows, in order. */
  readonly #keys: string[] = [];

  readonly #settled = new Map<string, SettledWrite>();

  /** No row that is made again may repeat a version that a deleted one had. */
  #deletedVersion = 0;

  get size(): number {
    return this.#rows.size;
  }

  /** The row, with version 0 and value null if it doesn't exist. */
  get(key: string): Row {
    const stored = this.#rows.get(key);
    if (stored === undefined) return { key, version: 0, value: null };
    return { key, version: stored.version, value: JSON.parse(stored.json) };
  }

  /** Rows whose keys start with `prefix` and come after `after`, in key order. */
  scan(
    prefix: string,
    { after = '', limit = MAX_SCAN_ROWS }: { after?: string; limit?: number } = {},
  ): Row[] {
    const rows: Row[] = [];
    let at = this.#position(after < prefix ? prefix : after);
    if (this.#keys[at] === after) at += 1;
    for (; at < this.#keys.length && rows.length < Math.min(limit, MAX_SCAN_ROWS); at++) {
      const key = this.#keys[at]!;
      if (!key.startsWith(prefix)) break;
      rows.push(this.get(key));
    }
    return rows;
  }

  /** Makes all changes or none; the same write id always gets the same answer. */
  write(writeId: string, writes: RowWrite[]): SettledWrite {
    const earlier = this.#settled.get(writeId);
    if (earlier !== undefined) return earlier;
    const result = this.#apply(writes);
    this.#remember(writeId, result);
    return result;
  }

  /** What became of a write; one that hasn't arrived is barred, so that it never takes effect. */
  settle(writeId: string): SettledWrite {
    const earlier = this.#settled.get(writeId);
    if (earlier !== undefined) return earlier;
    const barred: SettledWrite = { outcome: 'barred' };
    this.#remember(writeId, barred);
    return barred;
  }

  #apply(writes: RowWrite[]): WriteResult {
    const rows = writes.map(({ key }) => this.get(key));
    const stale = writes.some(({ ifVersion }, i) => rows[i]!.version !== ifVersion);
    if (stale) return { outcome: 'conflict', rows };
    return { outcome: 'written', versions: writes.map((write) => this.#change(write)) };
  }

  /** Makes one change; answers the row's new version, 0 once deleted. */
  #change({ key, value }: RowWrite): number {
    const stored = this.#rows.get(key);
    if (value === null || value === undefined) {
      if (stored !== undefined) this.#delete(key, stored);
      return 0;
    }
    const version = (stored?.version ?? this.#deletedVersion) + 1;
    if (stored === undefined) this.#keys.splice(this.#position(key), 0, key);
    this.#rows.set(key, { version, json: JSON.stringify(value) });
    return version;
  }

  #delete(key: string, stored: StoredRow): void {
    this.#deletedVersion = Math.max(this.#deletedVersion, stored.version);
    this.#rows.delete(key);
    this.#keys.splice(this.#position(key), 1);
  }

  #remember(writeId: string, result: SettledWrite): void {
    this.#settled.set(writeId, result);
    if (this.#settled.size <= REMEMBERED_WRITES) return;
    const oldest = this.#settled.keys().next().value;
    if (oldest !== undefined) this.#settled.delete(oldest);
  }

  /** Index of the first key that isn't before `key`. */
  #position(key: string): number {
    let low = 0;
    let high = this.#keys.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (this.#keys[middle]! < key) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
