/** What a job's row becomes once an attempt has surely ended. */
import type { AttemptConclusion } from '../gang/attempt.js';
import { countLost, mayRunAgain, type JobChange } from './job-machine.js';
import type { JobRow, Ran } from './job.js';

/** What the decision depends on besides the row. */
export interface ConclusionOptions {
  /** Whether the job's kind is idempotent. */
  idempotent: boolean;
  /** Whether the account's retry budget allows another attempt after a failed one. */
  mayRetry: boolean;
  /** Wall-clock ms. */
  at: number;
}

/**
 * Attempts lost one after the other, without a new checkpoint, after which a job isn't started again. A job that takes its
 * workers down is lost wherever it runs; of sound ones hardly any meets five losses in a row, with 350 of 20,000 VMs failing
 * a day.
 */
const MOST_LOST_IN_A_ROW = 5;

type Ended = Extract<AttemptConclusion, { type: 'ended' }>;

/** The change to make, or undefined if the job simply stays queued. */
export function changeAfterAttempt(
  row: JobRow,
  conclusion: AttemptConclusion,
  { idempotent, mayRetry, at }: ConclusionOptions,
): JobChange | undefined {
  if (conclusion.type === 'released') {
    const cancelled = conclusion.reason === 'cancelled' || row.cancelRequested;
    return cancelled ? cancelQueued(at) : undefined;
  }
  if (conclusion.end === 'succeeded') return succeed(conclusion, at);
  if (conclusion.end === 'cancelled' || row.cancelRequested) {
    return finish(conclusion, { state: 'cancelled', kind: 'cancelled', at });
  }
  // A task that failed did run, and may have done what must be done once only.
  const checkpoint = conclusion.end === 'failed' ? undefined : conclusion.checkpoint;
  const lost = conclusion.end === 'lost';
  const isLostTooOften = lost && countLost(row, checkpoint) >= MOST_LOST_IN_A_ROW;
  const again = conclusion.end === 'failed' ? mayRetry : !isLostTooOften;
  if (again && mayRunAgain({ idempotent, checkpoint })) {
    const ran = ranOf(conclusion);
    const change: JobChange = { type: 'requeue', ended: true, idempotent, ran, lost };
    return checkpoint === undefined ? change : { ...change, checkpoint };
  }
  return finish(conclusion, { state: 'failed', kind: failureKind(conclusion), at });
}

/** The change that ends a queued job for which no reservation is held. */
export function cancelQueued(at: number): JobChange {
  return {
    type: 'withdraw',
    state: 'cancelled',
    released: true,
    kind: 'cancelled',
    detail: 'Cancelled while it was queued.',
    at,
  };
}

function succeed({ results }: Ended, at: number): JobChange {
  const result = results.length === 1 ? results[0] : results;
  return { type: 'finish', state: 'succeeded', ran: 'ran', kind: 'done', result, at };
}

function finish(
  conclusion: Ended,
  { state, kind, at }: { state: 'failed' | 'cancelled'; kind: string; at: number },
): JobChange {
  return { type: 'finish', state, ran: ranOf(conclusion), kind, detail: conclusion.detail, at };
}

/** What this attempt came to; the row knows of those before. */
function ranOf({ ran, neverStarted }: Ended): Ran {
  if (ran) return 'ran';
  return neverStarted ? 'not-run' : 'unknown';
}

function failureKind({ end }: Ended): string {
  if (end === 'failed') return 'task-failed';
  return end === 'stopped' ? 'evicted' : 'lost';
}
