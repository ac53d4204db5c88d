/** What follows from the end of an attempt: the answer, a final problem, or another runner. Pure. */
import { problem, type Kind, type Problem, type Ran } from '@zincspan/core';
import type { Answer, AttemptEnd } from './attempt.js';
import type { LifeEnd } from './request-life.js';

/** What to do next. `retry` and `reroute` carry the problem to answer if there is no other runner. */
export type Verdict =
  | { type: 'answer'; answer: Answer }
  | { type: 'fail'; problem: Problem }
  /** Another attempt, which counts as a retry of the account. */
  | { type: 'retry'; problem: Problem }
  /** The runner takes no new requests: the attempt cost it nothing, and isn't counted. */
  | { type: 'reroute'; problem: Problem };

/**
 * Problems that say something of the runner, not of the request: another runner may do better. `conflict`: the id was
 * barred at that guard, as a repeat with the same key had asked about it before it came.
 */
const RUNNER_KINDS = new Set([
  'overloaded',
  'draining',
  'no-upstream',
  'upstream-failed',
  'conflict',
]);

/** Problems of a guard whose runner leaves or has left. */
const LEAVING_KINDS = new Set(['draining', 'no-upstream']);

const RETRY_AFTER_MS = 1000;

/** Judges one attempt. Only what surely did not run, or may run twice, is tried again. */
export function judge(
  end: AttemptEnd,
  { kind, runner, over }: { kind: Kind; runner: string; over: LifeEnd | undefined },
): Verdict {
  switch (end.type) {
    case 'answered':
      return { type: 'answer', answer: end.answer };
    case 'refused':
      return judgeRefusal(end.problem, kind);
    case 'not-sent':
    case 'barred':
      return { type: 'retry', problem: notReached(runner) };
    case 'lost':
      return { type: kind.idempotent ? 'retry' : 'fail', problem: lost(runner, end.why) };
    default:
      return { type: 'fail', problem: lifeOver(over, end.sent ? 'unknown' : 'not-run') };
  }
}

/** The problem of a request whose life is over. */
export function lifeOver(over: LifeEnd | undefined, ran: Ran): Problem {
  if (over === 'caller-left') {
    return problem('cancelled', {
      detail: 'The caller closed its connection.',
      remedy: 'Keep the connection open until the answer is there.',
      ran,
    });
  }
  return problem('deadline-passed', {
    detail: 'The deadline passed before the answer was there.',
    remedy:
      ran === 'unknown'
        ? 'It may have run: check its effect, or repeat it with the same Idempotency-Key.'
        : 'Try again, with a later Zincspan-Deadline-Ms.',
    ran,
  });
}

function judgeRefusal(cause: Problem, kind: Kind): Verdict {
  if (cause.ran === 'not-run' && LEAVING_KINDS.has(cause.kind)) {
    return { type: 'reroute', problem: cause };
  }
  const mayRepeat = cause.ran === 'not-run' || kind.idempotent;
  return { type: mayRepeat && RUNNER_KINDS.has(cause.kind) ? 'retry' : 'fail', problem: cause };
}

function notReached(runner: string): Problem {
  return problem('no-upstream', {
    detail: `The link to runner ${runner} failed before the request reached it.`,
    remedy: 'Try again shortly.',
    retryAfterMs: RETRY_AFTER_MS,
  });
}

function lost(runner: string, why: string): Problem {
  return problem('upstream-lost', {
    detail: `Runner ${runner} was lost with the request in progress (${why}).`,
    remedy: 'It may have run: check its effect before you send it again.',
    ran: 'unknown',
  });
}
