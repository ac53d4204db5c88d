/**
 * The only door through which a job row changes. Each function is pure: a row and a change in, a new row or a
 * problem out. The rules of truthfulness live here:
 * - `not-run` is said only of a job of which no attempt ran: never started, once every reservation for it is surely
 *   gone, or written as started while every guard bars it and says that it never was;
 * - a job whose kind is not idempotent gets no second attempt, unless that continues from a checkpoint.
 */
import { problem, type Problem } from '../error/problem.js';
import { mergeRan, type JobOutcome, type JobRow, type JobState, type Ran } from './job.js';

/** States that a job never leaves. */
export const FINAL_STATES: readonly JobState[] = ['succeeded', 'failed', 'cancelled', 'refused'];

/** Longest detail kept in an outcome. */
const MAX_DETAIL = 1000;

/** What can happen to a job row. Times are wall-clock ms. */
export type JobChange =
  | { type: 'request-cancel' }
  /** Gives a queued job to another failure domain; `lastAttempt`: highest number its guards have seen here. */
  | { type: 'move'; failureDomain: string; lastAttempt: number }
  | { type: 'start'; attempt: number; term: number; members: JobRow['members']; at: number }
  /** Ends a job that was never started; `released`: every reservation for it is surely gone. */
  | {
      type: 'withdraw';
      state: 'cancelled' | 'refused';
      released: boolean;
      kind: string;
      detail: string;
      at: number;
    }
  /** Queues a started job again; `ended`: every member of the attempt surely runs no more; `lost`: with its worker. */
  | {
      type: 'requeue';
      ended: boolean;
      idempotent: boolean;
      ran: Ran;
      lost?: boolean;
      checkpoint?: string;
    }
  | {
      type: 'finish';
      state: 'succeeded' | 'failed' | 'cancelled';
      /** `not-run`: every member is barred and never started. */
      ran: Ran;
      kind: string;
      detail?: string;
      result?: unknown;
      at: number;
    };

/** Answer of `changeJob`. */
export type JobChangeResult = { ok: true; row: JobRow } | { ok: false; problem: Problem };

/** Whether a job has reached its end. */
export function isFinal(row: Pick<JobRow, 'state'>): boolean {
  return FINAL_STATES.includes(row.state);
}

/** Applies a change to a job row, or says why the rules forbid it. */
export function changeJob(row: JobRow, change: JobChange): JobChangeResult {
  if (isFinal(row)) return refused(row, `it is ${row.state} already`);
  switch (change.type) {
    case 'request-cancel':
      return { ok: true, row: { ...row, cancelRequested: true } };
    case 'move':
      return move(row, change);
    case 'start':
      return start(row, change);
    case 'withdraw':
      return withdraw(row, change);
    case 'requeue':
      return requeue(row, change);
    case 'finish':
      return finish(row, change);
    default:
      return change satisfies never;
  }
}

/** How many attempts in a row were lost, with one more that left this checkpoint. */
export function countLost(row: JobRow, checkpoint: string | undefined): number {
  const hasProgressed = checkpoint !== undefined && checkpoint !== row.checkpoint;
  return hasProgressed ? 0 : (row.lostInARow ?? 0) + 1;
}

/** Whether another attempt may follow one that was started and has surely ended. */
export function mayRunAgain({
  idempotent,
  checkpoint,
}: {
  idempotent: boolean;
  checkpoint?: string | undefined;
}): boolean {
  return idempotent || checkpoint !== undefined;
}

function move(row: JobRow, change: Extract<JobChange, { type: 'move' }>): JobChangeResult {
  const { failureDomain } = change;
  if (row.state !== 'queued') return refused(row, `it is ${row.state}, not queued`);
  if (row.cancelRequested) return refused(row, 'its cancellation was requested');
  if (row.spec.claim !== undefined) return refused(row, 'its claim binds it to its failure domain');
  const lastAttempt = Math.max(row.attempt, row.lastAttempt ?? 0, change.lastAttempt);
  return { ok: true, row: { ...row, failureDomain, lastAttempt } };
}

function start(row: JobRow, change: Extract<JobChange, { type: 'start' }>): JobChangeResult {
  if (row.state !== 'queued') return refused(row, `it is ${row.state}, not queued`);
  if (row.cancelRequested) return refused(row, 'its cancellation was requested');
  if (change.attempt <= row.attempt) {
    return refused(row, `attempt ${change.attempt} is not after attempt ${row.attempt}`);
  }
  if (change.members.length !== row.spec.shape.tasks) {
    return refused(row, `${change.members.length} members are not its whole gang`);
  }
  return {
    ok: true,
    row: {
      ...row,
      state: 'started',
      attempt: change.attempt,
      term: change.term,
      members: change.members,
      startedAt: row.startedAt ?? change.at,
    },
  };
}

function withdraw(row: JobRow, change: Extract<JobChange, { type: 'withdraw' }>): JobChangeResult {
  if (row.state !== 'queued') return refused(row, `it is ${row.state}, not queued`);
  if (!change.released) return refused(row, 'a reservation for it may still be held');
  // A job evicted to its queue did run; one whose attempts were all barred before they started did not.
  return { ok: true, row: ended(row, change.state, { ...change, ran: row.ranBefore }, change.at) };
}

function requeue(row: JobRow, change: Extract<JobChange, { type: 'requeue' }>): JobChangeResult {
  if (row.state !== 'started') return refused(row, `it is ${row.state}, not started`);
  if (!change.ended) return refused(row, 'a member of its attempt may still run');
  if (!mayRunAgain(change)) {
    return refused(row, 'its kind is not idempotent and no checkpoint continues it');
  }
  const checkpoint = change.checkpoint ?? row.checkpoint;
  return {
    ok: true,
    row: {
      ...row,
      state: 'queued',
      lostInARow: change.lost ? countLost(row, change.checkpoint) : 0,
      ranBefore: mergeRan(row.ranBefore, change.ran),
      members: [],
      ...(checkpoint === undefined ? {} : { checkpoint }),
    },
  };
}

function finish(row: JobRow, change: Extract<JobChange, { type: 'finish' }>): JobChangeResult {
  if (row.state !== 'started') return refused(row, `it is ${row.state}, not started`);
  const ran = mergeRan(row.ranBefore, change.ran);
  return { ok: true, row: ended(row, change.state, { ...change, ran }, change.at) };
}

function ended(
  row: JobRow,
  state: JobState,
  { ran, kind, detail, result }: Omit<JobOutcome, 'detail'> & { detail?: string },
  at: number,
): JobRow {
  const outcome = {
    ran,
    kind,
    detail: (detail ?? '').slice(0, MAX_DETAIL),
    ...(result === undefined ? {} : { result }),
  };
  return { ...row, state, endedAt: at, outcome };
}

function refused(row: JobRow, why: string): JobChangeResult {
  return {
    ok: false,
    problem: problem('conflict', {
      detail: `Job ${row.id} can't change so: ${why}.`,
      remedy: 'Read the job again and decide anew.',
      ran: row.state === 'queued' ? row.ranBefore : 'unknown',
    }),
  };
}
