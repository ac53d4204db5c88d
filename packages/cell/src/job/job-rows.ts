/**
 * Rows of jobs in the store. A job has up to three: the submission, which never changes, the progress, which only the
 * cell's owner changes, and the cancellation, which any entry may add. All are in one table, so that one feed covers them.
 */
import { Packr } from 'msgpackr';
import type { RowKey } from '../store/row-store.js';
import { JobProgress, type ProgressRow } from './progress.js';
import { submissionSchema, type Submission } from './submission.js';

/** Table of all jobs of a cell. */
export const JOB_TABLE = 'jobs';

/** Kinds of rows of a job. */
export type JobRowKind = 'submission' | 'progress' | 'cancellation';

const KEY_SUFFIX: Record<JobRowKind, string> = {
  submission: 's',
  progress: 'p',
  cancellation: 'c',
};

/** With records each field is named once per row instead of once per task. */
const packr = new Packr({ useRecords: true });

/** Key of one row of a job. */
export function jobRowKey(id: string, kind: JobRowKind): RowKey {
  return { table: JOB_TABLE, part: '', key: `${id}/${KEY_SUFFIX[kind]}` };
}

/** Job and kind of row that a key names; undefined if it isn't the key of a job's row. */
export function parseJobRowKey(key: string): { id: string; kind: JobRowKind } | undefined {
  const slash = key.lastIndexOf('/');
  const suffix = key.slice(slash + 1);
  const kind = (Object.keys(KEY_SUFFIX) as JobRowKind[]).find(
    (each) => KEY_SUFFIX[each] === suffix,
  );
  if (slash <= 0 || kind === undefined) return undefined;
  return { id: key.slice(0, slash), kind };
}

export function packSubmission(submission: Submission): Buffer {
  return packr.pack(submission);
}

/** Throws if the row isn't a submission. */
export function unpackSubmission(value: Buffer): Submission {
  return submissionSchema.parse(packr.unpack(value));
}

export function packProgress(progress: JobProgress): Buffer {
  return packr.pack(progress.toRow());
}

/** Trusts the row without validation, as only the owner writes it. */
export function unpackProgress(submission: Submission, value: Buffer): JobProgress {
  return new JobProgress(submission, packr.unpack(value) as ProgressRow);
}
