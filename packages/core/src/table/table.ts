/** The platform's services as the rest of zincspan sees them. Clients live in @zincspan/platform. */

/** A row as read: `version` grows with every change of the row, 0 means it doesn't exist. */
export interface Row {
  key: string;
  version: number;
  value: unknown;
}

/** One change in a transaction: made only if the row still has `ifVersion`. `value` null deletes. */
export interface RowWrite {
  key: string;
  ifVersion: number;
  value: unknown;
}

/** What became of a write. `conflict` carries the rows as they stand. */
export type WriteResult =
  { outcome: 'written'; versions: number[] } | { outcome: 'conflict'; rows: Row[] };

/**
 * Transactional table. Every call rejects with ProblemError `store-unavailable` when the service can't be
 * reached in time; for writes `ran` then says whether the write may have taken effect (`unknown`) or not.
 */
export interface Table {
  get(key: string): Promise<Row>;
  /** Rows whose keys start with `prefix`, in key order, after `after`, `limit` (at most 1,000) at once. */
  scan(prefix: string, options?: { after?: string; limit?: number }): Promise<Row[]>;
  /** All or nothing. A lost answer is settled by the write id before this rejects. */
  write(writes: RowWrite[]): Promise<WriteResult>;
}

/** Immutable objects by key. */
export interface ObjectStore {
  get(key: string): Promise<Uint8Array | undefined>;
  put(key: string, body: Uint8Array): Promise<void>;
}
