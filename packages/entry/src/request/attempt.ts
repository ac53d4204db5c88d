/** One attempt of a request at one guard incarnation: sent, and settled there if its answer was lost. */
import {
  LinkError,
  ProblemError,
  toProblem,
  type Peer,
  type Problem,
  type RequestResult,
  type RequestRun,
  type RunnerLoad,
} from '@zincspan/core';
import type { UpstreamDirectory } from '../membership/upstream-directory.js';
import { LIFE_OVER, type RequestLife } from './request-life.js';

/** Where an attempt runs. Another incarnation of the guard knows nothing of it. */
export interface AttemptTarget {
  guard: string;
  incarnation: string;
}

/** A runner's whole answer. */
export interface Answer {
  status: number;
  contentType: string;
  body: RequestRun['body'];
}

/** How an attempt ended. */
export type AttemptEnd =
  | { type: 'answered'; answer: Answer; load: RunnerLoad; serviceMs: number }
  /** The guard answered a problem, which says whether it ran. */
  | { type: 'refused'; problem: Problem; load?: RunnerLoad }
  /** The guard surely never saw it. */
  | { type: 'not-sent' }
  /** The guard had not seen it and will never take it: it surely didn't run. */
  | { type: 'barred' }
  /** What became of it can't be learned any more. */
  | { type: 'lost'; why: 'guard-gone' | 'guard-restarted' | 'forgotten' | 'not-linked' }
  /** Deadline passed or caller left before the end was known. */
  | { type: 'life-over'; sent: boolean };

const SETTLE_TIMEOUT_MS = 1000;
const FIRST_PAUSE_MS = 20;
const LONGEST_PAUSE_MS = 500;

/** Sends a request and follows it to its end. `settleWithinMs` bounds the wait for the guard's next link. */
export async function runAttempt(
  upstreams: UpstreamDirectory,
  peer: Peer,
  run: RequestRun,
  { life, settleWithinMs }: { life: RequestLife; settleWithinMs?: number },
): Promise<AttemptEnd> {
  try {
    const call = peer.call('request.run', run, {
      timeoutMs: Math.max(1, life.timeLeftMs()),
    });
    const result = await life.within(call);
    return result === LIFE_OVER ? { type: 'life-over', sent: true } : resultEnd(result);
  } catch (err) {
    if (!(err instanceof LinkError)) return { type: 'refused', problem: toProblem(err) };
    if (err.failure === 'not-sent') return { type: 'not-sent' };
    const { id: guard, incarnation } = peer.process;
    const target = { guard, incarnation };
    return settleAttempt(upstreams, run.requestId, target, {
      life,
      ...(settleWithinMs === undefined ? {} : { settleWithinMs }),
    });
  }
}

/** Learns from the guard incarnation that a request was sent to what became of it. */
export async function settleAttempt(
  upstreams: UpstreamDirectory,
  requestId: string,
  target: AttemptTarget,
  { life, settleWithinMs }: { life: RequestLife; settleWithinMs?: number },
): Promise<AttemptEnd> {
  const givenUp = new AbortController();
  const giveUp = (): void => givenUp.abort();
  life.signal.addEventListener('abort', giveUp);
  const timer = settleWithinMs === undefined ? undefined : setTimeout(giveUp, settleWithinMs);
  try {
    let pauseMs = FIRST_PAUSE_MS;
    while (life.over === undefined) {
      const peer = await upstreams.whenLinked(target.guard, givenUp.signal);
      if (peer === undefined) return unlinkedEnd(upstreams, target, life);
      if (peer.process.incarnation !== target.incarnation) {
        return { type: 'lost', why: 'guard-restarted' };
      }
      const end = await askGuard(peer, requestId, life);
      if (end !== undefined) return end;
      await life.pause(pauseMs);
      pauseMs = Math.min(pauseMs * 2, LONGEST_PAUSE_MS);
    }
    return { type: 'life-over', sent: true };
  } finally {
    clearTimeout(timer);
    life.signal.removeEventListener('abort', giveUp);
  }
}

/** One question to the guard; undefined if it is still running or the link failed. */
async function askGuard(
  peer: Peer,
  requestId: string,
  life: RequestLife,
): Promise<AttemptEnd | undefined> {
  const { incarnation } = peer.process;
  try {
    const timeoutMs = Math.min(SETTLE_TIMEOUT_MS, Math.max(1, life.timeLeftMs()));
    const call = peer.call('request.settle', { requestId, incarnation }, { timeoutMs });
    const settled = await life.within(call);
    if (settled === LIFE_OVER) return { type: 'life-over', sent: true };
    if (settled.state === 'ended') return resultEnd(settled.result);
    if (settled.state === 'never-seen') return { type: 'barred' };
    return settled.state === 'forgotten' ? { type: 'lost', why: 'forgotten' } : undefined;
  } catch (err) {
    if (err instanceof LinkError) return undefined;
    if (!(err instanceof ProblemError)) throw err;
    // Any refusal leaves the question open for good, as when another incarnation answers.
    return { type: 'lost', why: 'guard-restarted' };
  }
}

function unlinkedEnd(
  upstreams: UpstreamDirectory,
  { guard }: AttemptTarget,
  life: RequestLife,
): AttemptEnd {
  if (life.over !== undefined) return { type: 'life-over', sent: true };
  return { type: 'lost', why: upstreams.hasGuard(guard) ? 'not-linked' : 'guard-gone' };
}

function resultEnd(result: RequestResult): AttemptEnd {
  if (result.outcome === 'problem') {
    return { type: 'refused', problem: result.problem, load: result.load };
  }
  const { status, contentType, body, length, load, serviceMs } = result;
  if (body.byteLength !== length || status < 200 || status > 599) {
    return { type: 'refused', problem: brokenAnswer(status, body.byteLength, length), load };
  }
  return { type: 'answered', answer: { status, contentType, body }, load, serviceMs };
}

function brokenAnswer(status: number, got: number, length: number): Problem {
  return {
    kind: 'upstream-failed',
    ran: 'ran',
    detail: `The runner answered status ${status} with ${got} of ${length} bytes.`,
    remedy: 'Check the runner; the answer was not passed on as it was not whole.',
  };
}
