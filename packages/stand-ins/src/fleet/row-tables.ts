/** Rows in memory, as the platform's store keeps them: one counter, atomic transactions, a history that can be dropped. */

import { waitFor } from './wait-for.js';

/** Names a row. */
export interface StoredKey {
  table: string;
  part: string;
  key: string;
}

/** A row. `version` is that of the transaction that last changed it. */
export interface StoredRow extends StoredKey {
  value: Buffer;
  version: number;
}

/** A change as the history keeps it. */
export interface RowChange extends StoredRow {
  deleted: boolean;
}

/** What one transaction asks for. Expected version 0: the row must not exist. */
export interface RowsTransaction {
  expected: readonly (StoredKey & { version: number })[];
  set: readonly (StoredKey & { value: Buffer })[];
  remove: readonly StoredKey[];
}

export type RowsResult =
  { outcome: 'done'; version: number } | { outcome: 'conflict'; rows: StoredRow[] };

/** Most rows of one page. */
export const PAGE_ROWS = 500;

/** All tables. */
export class RowTables {
  /** Every change since the start, also those that the history has lost: for explaining a run afterwards. */
  readonly journal: RowChange[] = [];

  readonly #rows = new Map<string, StoredRow>();

  readonly #waiting = new Set<() => void>();

  #history: RowChange[] = [];

  /** Changes up to this version are no longer in the history. */
  #forgotten = 0;

  #version = 0;

  get version(): number {
    return this.#version;
  }

  get(key: StoredKey): StoredRow | undefined {
    return this.#rows.get(idOf(key));
  }

  transact({ expected, set, remove }: RowsTransaction): RowsResult {
    const isAsExpected = expected.every(
      ({ version, ...key }) => (this.get(key)?.version ?? 0) === version,
    );
    if (!isAsExpected) {
      const rows = expected.map((key) => this.get(key)).filter((row) => row !== undefined);
      return { outcome: 'conflict', rows };
    }
    this.#version += 1;
    set.forEach(({ table, part, key, value }) => {
      const row = { table, part, key, value, version: this.#version };
      this.#rows.set(idOf(row), row);
      this.#note({ ...row, deleted: false });
    });
    remove.forEach(({ table, part, key }) => {
      const row = { table, part, key, value: Buffer.alloc(0), version: this.#version };
      this.#rows.delete(idOf(row));
      this.#note({ ...row, deleted: true });
    });
    [...this.#waiting].forEach((wake) => wake());
    return { outcome: 'done', version: this.#version };
  }

  #note(change: RowChange): void {
    this.#history.push(change);
    this.journal.push(change);
  }

  /** Rows with `from` <= key < `to`, in ascending order. */
  read({
    table,
    part,
    from = '',
    to,
  }: {
    table: string;
    part: string;
    from?: string;
    to?: string;
  }): {
    rows: StoredRow[];
    hasMore: boolean;
  } {
    const rows = [...this.#rows.values()]
      .filter((row) => row.table === table && row.part === part)
      .filter(({ key }) => key >= from && (to === undefined || key < to))
      .sort((a, b) => (a.key < b.key ? -1 : 1));
    return { rows: rows.slice(0, PAGE_ROWS), hasMore: rows.length > PAGE_ROWS };
  }

  /** Changes of a table after a version; undefined if the history doesn't reach back that far. */
  changes(table: string, after: number): RowChange[] | undefined {
    if (after < this.#forgotten || after > this.#version) return undefined;
    return this.#history.filter((row) => row.table === table && row.version > after);
  }

  /** Waits for a change after a version, at most this long, in ms. */
  async changed(table: string, after: number, waitMs: number): Promise<void> {
    if (this.changes(table, after)?.length !== 0) return;
    await waitFor(this.#waiting, () => this.changes(table, after)?.length !== 0, waitMs);
  }

  /** Drops the history. */
  forgetHistory(): void {
    this.#forgotten = this.#version;
    this.#history = [];
    [...this.#waiting].forEach((wake) => wake());
  }
}

function idOf({ table, part, key }: StoredKey): string {
  return [table, part, key].join('\u0000');
}
