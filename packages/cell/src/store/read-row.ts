/** Reads a single row, as the store itself offers only range reads. */
import { sameRow, type Row, type RowKey, type RowStore } from './row-store.js';

/** `absent`: the row did not exist at some time during the call. */
export type ReadRowResult =
  { outcome: 'found'; row: Row } | { outcome: 'absent' } | { outcome: 'failed'; detail: string };

/** Never rejects. */
export async function readRow(
  store: RowStore,
  rowKey: RowKey,
  options: { timeoutMs: number },
): Promise<ReadRowResult> {
  const { table, part, key } = rowKey;
  const result = await store.read({ table, part, from: key, to: `${key}\u0000` }, options);
  if (result.outcome === 'failed') return result;
  const row = result.rows.find((candidate) => sameRow(candidate, rowKey));
  return row === undefined ? { outcome: 'absent' } : { outcome: 'found', row };
}
