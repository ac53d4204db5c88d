/** A job as its owner keeps it. */
import type { JobRecord } from '../job/job-store.js';
import type { AttemptRunner } from './attempt-runner.js';

/** A job and its attempt, if one is under way. */
export interface JobEntry {
  readonly key: string;
  record: JobRecord;
  runner?: AttemptRunner | undefined;
  /** Highest attempt number ever given to guards: a number is never used twice. */
  lastAttempt: number;
  /** Attempts in a row that guards refused. */
  refusals: number;
  evictions: number;
  /** Run time that its checkpoints hold, in ms. */
  savedMs: number;
  /** A change that ends its queueing or its attempt is being written. */
  closing: boolean;
}

/** A job just read. */
export function newJobEntry(
  key: string,
  record: JobRecord,
  { lastAttempt = 0 }: { lastAttempt?: number } = {},
): JobEntry {
  return {
    key,
    record,
    lastAttempt: Math.max(record.row.attempt, record.row.lastAttempt ?? 0, lastAttempt),
    refusals: 0,
    evictions: 0,
    savedMs: 0,
    closing: false,
  };
}
