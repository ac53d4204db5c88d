/** The key by which links between our processes prove themselves: a row that the first process to come makes. */
import { randomBytes } from 'node:crypto';
import type { ProcessContext } from '@zincspan/core';
import { readRow } from '../store/read-row.js';
import type { RowStore } from '../store/row-store.js';
import { LINK_KEY_KEY } from './owner-row.js';
import { sleep } from '../clock/sleep.js';

const KEY_BYTES = 32;
const CALL_TIMEOUT_MS = 1200;
const RETRY_PAUSE_MS = 150;

/** Reads the key, or makes it. Tries until the store answers. */
export async function fetchLinkKey(ctx: ProcessContext, store: RowStore): Promise<string> {
  for (let attempt = 1; ; attempt++) {
    const read = await readRow(store, LINK_KEY_KEY, { timeoutMs: CALL_TIMEOUT_MS });
    if (read.outcome === 'found') return read.row.value.toString('hex');
    if (read.outcome === 'absent') {
      const made = await store.transact(
        {
          expected: [{ ...LINK_KEY_KEY, version: 0 }],
          set: [{ ...LINK_KEY_KEY, value: randomBytes(KEY_BYTES) }],
        },
        { timeoutMs: CALL_TIMEOUT_MS },
      );
      ctx.log.info({ outcome: made.outcome }, 'link key made');
      // Read back in any case: another process may have been first.
      if (made.outcome === 'done' || made.outcome === 'conflict') continue;
    }
    if (attempt % 10 === 1) ctx.log.warn({ attempt }, 'link key not read yet');
    await sleep(RETRY_PAUSE_MS);
  }
}
