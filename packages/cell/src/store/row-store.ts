/** Interface to the platform's transactional row store. */

/** Identifies a row. */
export interface RowKey {
  table: string;
  part: string;
  key: string;
}

/** A row. `version` is store-wide and grows with each change. */
export interface Row extends RowKey {
  value: Buffer;
  version: number;
}

/** A changed row in a change feed; `deleted` rows have an empty value. */
export interface FeedRow extends Row {
  deleted: boolean;
}

/** An atomic write, conditional on the `expected` versions. Version 0: the row must not exist. */
export interface Transaction {
  expected: readonly (RowKey & { version: number })[];
  set: readonly (RowKey & { value: Buffer })[];
  remove?: readonly RowKey[];
}

/**
 * Outcome of a transaction. `refused`: certainly not committed. `unknown`: it may have been committed, or may still be
 * committed seconds later if the expected versions still hold.
 */
export type TransactResult =
  | { outcome: 'done'; version: number }
  /** Current state of the expected rows, without those that don't exist. */
  | { outcome: 'conflict'; rows: Row[] }
  | { outcome: 'refused'; detail: string }
  | { outcome: 'unknown'; detail: string };

/** Result of a range read: a snapshot as of one version. */
export type ReadResult =
  | { outcome: 'read'; rows: Row[]; hasMore: boolean; version: number }
  | { outcome: 'failed'; detail: string };

/** Result of a feed call. `forgotten`: the store no longer has the history, so the table must be read again. */
export type FeedResult =
  | { outcome: 'changes'; rows: FeedRow[]; version: number }
  | { outcome: 'forgotten' }
  | { outcome: 'failed'; detail: string };

/** Client of the row store. Calls never reject; a failure is a result. Times are in ms. */
export interface RowStore {
  transact(tx: Transaction, options: { timeoutMs: number }): Promise<TransactResult>;
  /** Reads the rows with `from` <= key < `to`, in key order. */
  read(
    range: { table: string; part: string; from?: string; to?: string },
    options: { timeoutMs: number },
  ): Promise<ReadResult>;
  /** Returns the changes of a table after a version; waits up to `waitMs` for the first one. */
  feed(
    range: { table: string; after: number; waitMs: number },
    options: { timeoutMs: number },
  ): Promise<FeedResult>;
}

/** Compares the keys only. */
export function sameRow(a: RowKey, b: RowKey): boolean {
  return a.table === b.table && a.part === b.part && a.key === b.key;
}
