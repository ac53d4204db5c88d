/** In-memory rows and transactions, with the guarantees of the platform's table service. */
import type { Row, RowWrite, WriteResult } from '@zincspan/core';

/** Final outcome of a write id. `cancelled`: the outcome was queried before the write arrived. */
export type WriteOutcome = WriteResult | { outcome: 'cancelled' };

/** Write ids whose outcomes are kept; at 300 writes a second this is over ten minutes. */
const MAX_REMEMBERED_WRITES = 200_000;

/** Most rows that one scan returns. */
export const MAX_SCAN_ROWS = 1000;

interface StoredRow {
  version: number;
  /** JSON text, so that no caller shares an object with the store. */
  json: string;
}

/** Rows in key order (by UTF-16 code unit), changed by compare-and-swap transactions. */
export class RowStore {
  readonly #rows = new Map<string, StoredRow>();

  readonly #sortedKeys: string[] = [];

  readonly #outcomes = new Map<string, WriteOutcome>();

  /** New rows continue from this version, so that a recreated row never repeats a version of the deleted one. */
  #highestDeletedVersion = 0;

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
    let i = this.#lowerBound(after < prefix ? prefix : after);
    if (this.#sortedKeys[i] === after) i += 1;
    for (; i < this.#sortedKeys.length && rows.length < Math.min(limit, MAX_SCAN_ROWS); i++) {
      const key = this.#sortedKeys[i]!;
      if (!key.startsWith(prefix)) break;
      rows.push(this.get(key));
    }
    return rows;
  }

  /** Makes all changes or none. Idempotent: a repeated write id gets the outcome of the first call. */
  write(writeId: string, writes: RowWrite[]): WriteOutcome {
    const known = this.#outcomes.get(writeId);
    if (known !== undefined) return known;
    const result = this.#apply(writes);
    this.#remember(writeId, result);
    return result;
  }

  /** Returns the outcome of a write. One that hasn't arrived is cancelled, so that it never takes effect. */
  resolveOutcome(writeId: string): WriteOutcome {
    const known = this.#outcomes.get(writeId);
    if (known !== undefined) return known;
    const cancelled: WriteOutcome = { outcome: 'cancelled' };
    this.#remember(writeId, cancelled);
    return cancelled;
  }

  #apply(writes: RowWrite[]): WriteResult {
    const rows = writes.map(({ key }) => this.get(key));
    const stale = writes.some(({ ifVersion }, i) => rows[i]!.version !== ifVersion);
    if (stale) return { outcome: 'conflict', rows };
    return { outcome: 'written', versions: writes.map((write) => this.#applyWrite(write)) };
  }

  /** Makes one change. Returns the new version of the row, 0 if it is deleted. */
  #applyWrite({ key, value }: RowWrite): number {
    const stored = this.#rows.get(key);
    if (value === null || value === undefined) {
      if (stored !== undefined) this.#delete(key, stored);
      return 0;
    }
    const version = (stored?.version ?? this.#highestDeletedVersion) + 1;
    if (stored === undefined) this.#sortedKeys.splice(this.#lowerBound(key), 0, key);
    this.#rows.set(key, { version, json: JSON.stringify(value) });
    return version;
  }

  #delete(key: string, stored: StoredRow): void {
    this.#highestDeletedVersion = Math.max(this.#highestDeletedVersion, stored.version);
    this.#rows.delete(key);
    this.#sortedKeys.splice(this.#lowerBound(key), 1);
  }

  #remember(writeId: string, result: WriteOutcome): void {
    this.#outcomes.set(writeId, result);
    if (this.#outcomes.size <= MAX_REMEMBERED_WRITES) return;
    const oldest = this.#outcomes.keys().next().value;
    if (oldest !== undefined) this.#outcomes.delete(oldest);
  }

  /** Index of the first key that isn't before `key`. */
  #lowerBound(key: string): number {
    let low = 0;
    let high = this.#sortedKeys.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if (this.#sortedKeys[middle]! < key) low = middle + 1;
      else high = middle;
    }
    return low;
  }
}
