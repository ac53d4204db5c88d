/** Changing a claim's row for certain: conflicts are read again, and outages waited out. */
import { isDeepStrictEqual } from 'node:util';
import { toProblem, type ClaimRow } from '@zincspan/core';
import { backoffMs, pause, type Timers } from '../owner/timers.js';
import { changeClaim, type ClaimChange } from './claim-change.js';
import type { ClaimRecord, ClaimStore } from './claim-store.js';

/** Makes a change to a claim's row. False if the row as it stands doesn't allow it, or the owner stopped. */
export async function commitClaim({
  entry,
  change,
  store,
  timers,
  signal,
}: {
  entry: { record: ClaimRecord };
  change: ClaimChange;
  store: ClaimStore;
  timers: Timers;
  signal: AbortSignal;
}): Promise<boolean> {
  let unsettled: ClaimRow | undefined;
  for (let tries = 0; !signal.aborted; tries += 1) {
    const { row } = entry.record;
    if (unsettled !== undefined && isDeepStrictEqual(row, unsettled)) return true;
    const next = changeClaim(row, change);
    if (next === undefined) return false;
    try {
      const saved = await store.save(entry.record, next);
      if (saved !== 'conflict') {
        Object.assign(entry, { record: saved });
        return true;
      }
      const fresh = await store.read(row.account, row.id);
      if (fresh === undefined) return false;
      Object.assign(entry, { record: fresh });
    } catch (err) {
      const { kind, ran } = toProblem(err);
      if (kind !== 'store-unavailable') throw err;
      if (ran === 'unknown') unsettled = next;
      await pause(timers, backoffMs(tries), signal);
    }
  }
  return false;
}
