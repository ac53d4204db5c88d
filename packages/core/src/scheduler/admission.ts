/** Admission of jobs: overload is refused at once with when to come back; a contract out of reach is said early. */
import { problem, type Problem } from '../error/problem.js';

/** How things stand when a job is submitted. Times in ms. */
export interface AdmissionState {
  account: string;
  /** Jobs of the account that wait, and how many may. */
  accountQueued: number;
  accountMayQueue: number;
  /** Jobs that wait in the failure domain, and how many may. */
  queued: number;
  mayQueue: number;
  /** Queued jobs that start or leave per ms, of the account and in all. */
  accountDrainPerMs: number;
  drainPerMs: number;
  /** Expected until this job would start, and its expected run time. */
  expectedWaitMs: number;
  expectedRunMs: number;
  /** Contract of the kind, counted from submission. */
  withinMs?: number | undefined;
}

/** What to do with a submission. `late`: accepted, but its contract is out of reach. */
export type Admission =
  | { type: 'accept' }
  | { type: 'late'; expectedMs: number; withinMs: number }
  | { type: 'refuse'; problem: Problem };

const SHORTEST_RETRY_MS = 100;
const LONGEST_RETRY_MS = 3_600_000;

/** Decides on a submission from the state of the queue alone. */
export function admit(state: AdmissionState): Admission {
  if (state.accountQueued >= state.accountMayQueue) {
    return { type: 'refuse', problem: accountFull(state) };
  }
  if (state.queued >= state.mayQueue) return { type: 'refuse', problem: queueFull(state) };
  const expectedMs = state.expectedWaitMs + state.expectedRunMs;
  if (state.withinMs !== undefined && expectedMs > state.withinMs) {
    return { type: 'late', expectedMs, withinMs: state.withinMs };
  }
  return { type: 'accept' };
}

/** Until there is room again: what is too much, plus one, at the rate the queue has been draining. */
export function retryAfterMs({
  queued,
  mayQueue,
  drainPerMs,
}: {
  queued: number;
  mayQueue: number;
  drainPerMs: number;
}): number {
  const surplus = queued - mayQueue + 1;
  if (drainPerMs <= 0) return LONGEST_RETRY_MS;
  return Math.min(LONGEST_RETRY_MS, Math.max(SHORTEST_RETRY_MS, surplus / drainPerMs));
}

function accountFull({
  account,
  accountQueued,
  accountMayQueue,
  accountDrainPerMs,
}: AdmissionState): Problem {
  return problem('quota-exceeded', {
    detail: `Client account ${account} has ${accountQueued} jobs waiting; its quota is ${accountMayQueue}.`,
    remedy: 'Submit again after retryAfterMs, or cancel jobs that are no longer needed.',
    retryAfterMs: retryAfterMs({
      queued: accountQueued,
      mayQueue: accountMayQueue,
      drainPerMs: accountDrainPerMs,
    }),
    facts: { queued: accountQueued, bound: accountMayQueue },
  });
}

function queueFull({ queued, mayQueue, drainPerMs }: AdmissionState): Problem {
  return problem('overloaded', {
    detail: `${queued} jobs wait in this failure domain; ${mayQueue} may.`,
    remedy: 'Submit again after retryAfterMs.',
    retryAfterMs: retryAfterMs({ queued, mayQueue, drainPerMs }),
    facts: { queued, bound: mayQueue },
  });
}
