/** Refusals of orders by a guard. */
import { ProblemError, problem } from '@zincspan/core';

const RETRY_MS = 500;

/** No worker is announced, or what an earlier life left on it isn't cleared yet. */
export function noWorker(): ProblemError {
  return new ProblemError(
    problem('no-upstream', {
      detail: 'This guard offers no worker now.',
      remedy: 'Await its announcement, or place the gang elsewhere.',
      retryAfterMs: RETRY_MS,
    }),
  );
}

/** The task isn't known here, but what an earlier life of this guard left on the worker isn't either, yet. */
export function notCleared(): ProblemError {
  return new ProblemError(
    problem('no-upstream', {
      detail: 'This guard has not yet found out what its earlier life left running.',
      remedy: 'Repeat the order.',
      ran: 'unknown',
      retryAfterMs: RETRY_MS,
    }),
  );
}

/** The worker takes nothing new. */
export function draining(): ProblemError {
  return new ProblemError(
    problem('draining', {
      detail: 'This worker is draining.',
      remedy: 'Place the gang on another worker.',
    }),
  );
}

/** No such task. */
export function taskUnknown(): ProblemError {
  return new ProblemError(
    problem('not-found', {
      detail: 'No such task runs on this worker.',
      remedy: 'Ask for the inventory.',
    }),
  );
}

/** The worker's answer to the start was lost. */
export function startLost(): ProblemError {
  return new ProblemError(
    problem('upstream-failed', {
      detail: "The worker's answer to the start was lost.",
      remedy: 'Repeat the start, or stop the attempt; the guard finds out either way.',
      ran: 'unknown',
      retryAfterMs: RETRY_MS,
    }),
  );
}
