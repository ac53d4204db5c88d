/** What the scheduler is told of a job. */
import {
  jobKey,
  type AttemptConclusion,
  type JobRow,
  type QueuedJob,
  type SchedulerEvent,
} from '@zincspan/core';
import type { AttemptRunner } from './attempt-runner.js';

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

/** Tells the scheduler how an attempt came out, by what the row says afterwards. */
export function tellConclusion(
  { post }: { post: (event: SchedulerEvent) => void },
  {
    row,
    runner,
    conclusion,
  }: { row: JobRow; runner: AttemptRunner; conclusion: AttemptConclusion },
): void {
  const { key } = runner;
  const member = conclusion.member === undefined ? undefined : runner.members[conclusion.member];
  const worker = member === undefined ? {} : { worker: member.worker };
  if (conclusion.type === 'released') {
    post({ type: 'job-unplaced', key, ...worker });
    // The row was withdrawn, or it belongs to another attempt now.
    if (row.state !== 'queued') post({ type: 'job-cancelled', key });
    return;
  }
  const { end, ranMs, checkpoint } = conclusion;
  post({
    type: 'job-ended',
    key,
    end,
    ranMs,
    requeue: row.state === 'queued',
    ...worker,
    ...(checkpoint === undefined ? {} : { savedMs: ranMs }),
  });
}
