/** Shared key by which the cell's processes authenticate links between them: a row that the first process creates. */
import { randomBytes } from 'node:crypto';
import type { ProcessContext } from '@zincspan/core';
import { readRow } from '../store/read-row.js';
import type { RowStore } from '../store/row-store.js';
import { LINK_KEY_ROW_KEY } from './owner-row.js';
import { sleep } from '../clock/sleep.js';

const KEY_BYTES = 32;
const STORE_TIMEOUT_MS = 1200;
const RETRY_DELAY_MS = 150;

/** Reads the key, or creates it. Retries until the store answers. */
export async function getOrCreateLinkKey(ctx: ProcessContext, store: RowStore): Promise<string> {
  for (let attempt = 1; ; attempt++) {
    const read = await readRow(store, LINK_KEY_ROW_KEY, { timeoutMs: STORE_TIMEOUT_MS });
    if (read.outcome === 'found') return read.row.value.toString('hex');
    if (read.outcome === 'absent') {
      const created = await store.transact(
        {
          expected: [{ ...LINK_KEY_ROW_KEY, version: 0 }],
          set: [{ ...LINK_KEY_ROW_KEY, value: randomBytes(KEY_BYTES) }],
        },
        { timeoutMs: STORE_TIMEOUT_MS },
      );
      ctx.log.info({ outcome: created.outcome }, 'tried to create the link key');
      // Read back in any case: another process may have been first.
      if (created.outcome === 'done' || created.outcome === 'conflict') continue;
    }
    if (attempt % 10 === 1) ctx.log.warn({ attempt }, 'link key not read from store yet, retrying');
    await sleep(RETRY_DELAY_MS);
  }
}
