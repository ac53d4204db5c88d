/** Replays what becomes of a job's row against the real job machine. */
import {
  cancelQueued,
  changeAfterAttempt,
  changeJob,
  jobRowSchema,
  type AttemptCommand,
  type JobRow,
} from '@zincspan/core';
import type { Conclusion, GangAct } from '../gang/acts.js';
import type { Row } from '../gang/state.js';

export type ConcludeAct = Extract<GangAct, { kind: 'conclude' }>;

/** Whether the model permits a conclusion. */
export type Permits = (as: Conclusion) => boolean;

/** How the real end of an attempt differs from what the model permits, if it does. */
export function differenceOfRow({
  seen,
  act,
  permits,
  command,
  idempotent,
  barred,
}: {
  seen: Row;
  act: ConcludeAct;
  permits: Permits;
  command: Extract<AttemptCommand, { type: 'conclude' }>;
  idempotent: boolean;
  /** Whether the model has every member barred before it started. */
  barred: boolean;
}): string | undefined {
  const row = realRow(seen);
  const options = { idempotent, mayRetry: act.as === 'queued', at: 0 };
  const change = changeAfterAttempt(row, command.conclusion, options);
  if (!change) return 'the row of a started attempt stays as it is';
  const result = changeJob(row, change);
  if (!result.ok) return result.problem.detail;
  const { state, outcome } = result.row;
  if (state === 'queued') return idempotent ? undefined : 'a non-idempotent job is queued again';
  if (!permits(state as Conclusion)) return `the row becomes ${state}`;
  if (outcome?.ran !== 'not-run' || (barred && seen.before === 'not-run')) return undefined;
  return 'not-run though a member may have started';
}

/** How the real answer to a cancelled queued job differs from the model's, if it does. */
export function differenceOfWithdrawal(seen: Row): string | undefined {
  const result = changeJob(realRow(seen), cancelQueued(0));
  if (!result.ok) return result.problem.detail;
  const expected = seen.before;
  const ran = result.row.outcome?.ran;
  return ran === expected ? undefined : `the caller is told ${ran}, not ${expected}`;
}

function realRow(row: Row): JobRow {
  return jobRowSchema.parse({
    id: 'render',
    account: 'tuul',
    failureDomain: 'ernakulam',
    spec: { kind: 'render', shape: { tasks: Math.max(1, row.at.length), acceleratorsPerTask: 1 } },
    digest: '',
    state: row.st,
    attempt: row.attempt,
    ranBefore: row.before,
    term: row.by,
    cancelRequested: row.cancel,
    submittedAt: 0,
  });
}
