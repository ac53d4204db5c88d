/** Changing a job's row for certain: conflicts are read again, unknown results settled, outages waited out. */
import { isDeepStrictEqual } from 'node:util';
import { changeJob, toProblem, type JobChange, type JobRow } from '@zincspan/core';
import type { JobRecord, JobStore } from '../job/job-store.js';
import { backoffMs, pause, type Timers } from './timers.js';

/** How a change went. `forbidden`: the row as it stands now doesn't allow it. `closed`: the owner stopped. */
export type Commit = 'written' | 'forbidden' | 'unwritten' | 'closed';

/** A change and how far to go for it. */
export interface CommitOptions {
  /** Holds the job as read last; replaced by what was written or read. */
  entry: { record: JobRecord };
  /** The change to make to a row as it stands, or undefined if there is none any more. */
  change: (row: JobRow) => JobChange | undefined;
  store: JobStore;
  timers: Timers;
  signal: AbortSignal;
  /** Asked after a write that surely had no effect: true gives up as `unwritten`. */
  giveUp?: () => boolean;
  /** Told when a write may have taken effect without saying so. */
  onUnknown?: () => void;
}

/** Makes a change to a job's row. Repeating a write by compare-and-set is what settles a lost answer. */
export async function commitJob(options: CommitOptions): Promise<Commit> {
  const { entry, change, store, timers, signal, giveUp, onUnknown } = options;
  let unsettled: JobRow | undefined;
  for (let tries = 0; !signal.aborted; tries += 1) {
    const { row } = entry.record;
    if (unsettled !== undefined && isSameJob(row, unsettled)) return 'written';
    const wanted = change(row);
    const result = wanted === undefined ? undefined : changeJob(row, wanted);
    if (result?.ok !== true) return 'forbidden';
    try {
      const saved = await store.save(entry.record, result.row);
      if (saved !== 'conflict') {
        Object.assign(entry, { record: saved });
        return 'written';
      }
      const fresh = await store.readBoth(row.account, row.id);
      if (fresh === undefined) return 'forbidden';
      Object.assign(entry, { record: fresh });
    } catch (err) {
      const { kind, ran } = toProblem(err);
      if (kind !== 'store-unavailable') throw err;
      if (ran === 'unknown') {
        unsettled = result.row;
        onUnknown?.();
      } else if (unsettled === undefined && giveUp?.() === true) return 'unwritten';
      await pause(timers, backoffMs(tries), signal);
    }
  }
  return 'closed';
}

/** Whether a row as read is the one that was written; a wish to cancel may have come since. */
function isSameJob(row: JobRow, written: JobRow): boolean {
  const plain = JSON.parse(JSON.stringify({ ...written, cancelRequested: row.cancelRequested }));
  return isDeepStrictEqual(JSON.parse(JSON.stringify(row)), plain);
}
