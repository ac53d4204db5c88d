/** The platform's transactional rows, as the cell sees them. */

/** Names a row. */
export interface RowKey {
  table: string;
  part: string;
  key: string;
}

/** A row. `version` grows with each change, over all rows. */
export interface Row extends RowKey {
  value: Buffer;
  version: number;
}

/** A changed row in a feed; `deleted` rows have an empty value. */
export interface FeedRow extends Row {
  deleted: boolean;
}

/** All or nothing. `expected` version 0: the row must not exist. */
export interface Transaction {
  expected: readonly (RowKey & { version: number })[];
  set: readonly (RowKey & { value: Buffer })[];
  remove?: readonly RowKey[];
}

/**
 * How a transaction ended. `refused`: surely not done. `unknown`: it may have been done, or may be done seconds later
 * if its expectations still hold.
 */
export type TransactResult =
  | { outcome: 'done'; version: number }
  /** The expected rows as they are now; rows that don't exist are left out. */
  | { outcome: 'conflict'; rows: Row[] }
  | { outcome: 'refused'; detail: string }
  | { outcome: 'unknown'; detail: string };

/** A read of a range, as of one moment. */
export type ReadResult =
  | { outcome: 'read'; rows: Row[]; hasMore: boolean; version: number }
  | { outcome: 'failed'; detail: string };

/** A wait for changes. `forgotten`: the store no longer has the history; read the table anew. */
export type FeedResult =
  | { outcome: 'changes'; rows: FeedRow[]; version: number }
  | { outcome: 'forgotten' }
  | { outcome: 'failed'; detail: string };

/** Calls never reject: a failure is a result. Times in ms. */
export interface RowStore {
  transact(tx: Transaction, options: { timeoutMs: number }): Promise<TransactResult>;
  /** Rows with `from` <= key < `to`, in order. */
  read(
    range: { table: string; part: string; from?: string; to?: string },
    options: { timeoutMs: number },
  ): Promise<ReadResult>;
  /** Changes of a table after a version; waits up to `waitMs` for one. */
  feed(
    range: { table: string; after: number; waitMs: number },
    options: { timeoutMs: number },
  ): Promise<FeedResult>;
}

/** Same row? */
export function sameRow(a: RowKey, b: RowKey): boolean {
  return a.table === b.table && a.part === b.part && a.key === b.key;
}
