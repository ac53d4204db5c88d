/**
 * Rows of jobs in the store. A job has up to three: the submission, which never changes, the progress, which only the
 * cell's owner changes, and the cancellation, which any entry may add. One table, so that one feed tells of all.
 */
import { Packr } from 'msgpackr';
import type { RowKey } from '../store/row-store.js';
import { JobProgress, type ProgressRow } from './progress.js';
import { submissionSchema, type Submission } from './submission.js';

/** The table of all jobs of a cell. */
export const JOB_TABLE = 'jobs';

/** Which of a job's rows. */
export type JobRowKind = 'submission' | 'progress' | 'cancellation';

const KEY_SUFFIX: Record<JobRowKind, string> = {
  submission: 's',
  progress: 'p',
  cancellation: 'c',
};

/** Records name each field once a row instead of once a task. */
const packr = new Packr({ useRecords: true });

/** The key of one row of a job. */
export function jobRowKey(id: string, kind: JobRowKind): RowKey {
  return { table: JOB_TABLE, part: '', key: `${id}/${KEY_SUFFIX[kind]}` };
}

/** Which job and row a key names; undefined if it is none of ours. */
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

/** The owner's own writing: read back as it was written. */
export function unpackProgress(submission: Submission, value: Buffer): JobProgress {
  return new JobProgress(submission, packr.unpack(value) as ProgressRow);
}
