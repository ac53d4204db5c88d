/** What the scheduler is told of a job. */
import {
  claimKey,
  jobKey,
  type AttemptConclusion,
  type JobRow,
  type QueuedJob,
  type SchedulerEvent,
} from '@zincspan/core';
import type { AttemptRunner } from './attempt-runner.js';
import type { JobEntry } from './job-entry.js';

/** A job as the scheduler knows it. */
export function queuedJob(
  row: JobRow,
  { evictions = 0, savedMs = 0 }: { evictions?: number; savedMs?: number } = {},
): QueuedJob {
  return {
    key: jobKey(row.account, row.id),
    account: row.account,
    spec: row.spec,
    submittedAt: row.submittedAt,
    attempt: row.attempt,
    ...(savedMs > 0 ? { savedMs } : {}),
    ...(evictions > 0 ? { evictions } : {}),
  };
}

/** A started job that a new owner has found. */
export function foundJob(row: JobRow): Extract<SchedulerEvent, { type: 'job-found' }> {
  const { members, submittedAt, startedAt = submittedAt, spec, account } = row;
  return {
    type: 'job-found',
    job: queuedJob(row),
    members,
    startedAt,
    ...(spec.claim === undefined ? {} : { within: claimKey(account, spec.claim) }),
  };
}

/** Tells the scheduler how an attempt came out, by what the row says afterwards. */
export function tellConclusion(
  { post }: { post: (event: SchedulerEvent) => void },
  {
    entry,
    runner,
    conclusion,
  }: { entry: JobEntry; runner: AttemptRunner; conclusion: AttemptConclusion },
): void {
  const { key } = runner;
  const { state } = entry.record.row;
  const member = conclusion.member === undefined ? undefined : runner.members[conclusion.member];
  const worker = member === undefined ? {} : { worker: member.worker };
  if (conclusion.type === 'released') {
    post({ type: 'job-unplaced', key, ...worker });
    // The row was withdrawn, or it belongs to another attempt now.
    if (state !== 'queued') post({ type: 'job-cancelled', key });
    return;
  }
  const { end, ranMs, checkpoint } = conclusion;
  post({
    type: 'job-ended',
    key,
    end,
    ranMs,
    requeue: state === 'queued',
    ...worker,
    ...(checkpoint === undefined ? {} : { savedMs: entry.savedMs }),
  });
}
