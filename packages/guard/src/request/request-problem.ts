/** Refusals of requests by a guard. */
import { problem, type Problem, type RecordAnswer } from '@zincspan/core';

const RETRY_MS = 100;

/** Refusals by name. */
export const refuse = {
  draining: (): Problem =>
    problem('draining', {
      detail: 'This runner is draining.',
      remedy: 'Use another runner.',
      retryAfterMs: RETRY_MS,
    }),
  noRunner: (): Problem =>
    problem('no-upstream', {
      detail: 'No runner is announced to this guard.',
      remedy: 'Use another runner, or try again once this one has announced itself.',
      retryAfterMs: RETRY_MS,
    }),
  otherKind: (kind: string, runner: string): Problem =>
    problem('no-upstream', {
      detail: `Runner ${runner} doesn't serve the kind ${kind}.`,
      remedy: 'Use a runner that announces this kind.',
    }),
  cancelled: (running: boolean): Problem =>
    problem('cancelled', {
      detail: running
        ? 'Cancelled while the runner had it.'
        : 'Cancelled before the runner had it.',
      remedy: running ? 'It may have run: ask before repeating it.' : 'Send it again if needed.',
      ran: running ? 'unknown' : 'not-run',
    }),
  silent: (timeLeftMs: number): Problem =>
    problem('deadline-passed', {
      detail: `The runner didn't answer within the ${Math.round(timeLeftMs)} ms that were left.`,
      remedy: 'It may have run. Repeat it only if its kind is idempotent.',
      ran: 'unknown',
    }),
};

/** An id that can't be passed to the runner again. */
export function refuseKnown(state: Exclude<RecordAnswer['state'], 'recorded' | 'ended'>): Problem {
  if (state === 'full') {
    return problem('overloaded', {
      detail: 'This guard remembers as many running requests as it may.',
      remedy: 'Try again after retryAfterMs, or use another runner.',
      retryAfterMs: RETRY_MS,
    });
  }
  const barred = state === 'barred';
  return problem('conflict', {
    detail: barred ? 'The id was barred when it was asked about.' : 'The id may have run before.',
    remedy: 'Send the request again with an id of its own.',
    ran: barred ? 'not-run' : 'unknown',
  });
}
