/** Refusals of the reservation book. In all of them nothing was started. */
import { ProblemError, problem } from '../error/problem.js';
import type { AttemptRef, Order } from '../message/message.js';

/** The order comes from an owner that was replaced, or is for an earlier life of the guard. */
export function refuseStale(order: Order, highestTerm: number, incarnation: string): ProblemError {
  const wrongLife = order.incarnation !== incarnation;
  return new ProblemError(
    problem('stale-term', {
      detail: wrongLife
        ? `The order is for incarnation ${order.incarnation} of this guard, which is gone.`
        : `The order's term ${order.term} is below ${highestTerm}, the highest seen here.`,
      remedy: wrongLife
        ? 'Await the announcement of the new incarnation and ask for its inventory.'
        : 'Read the owner row: another entry owns the failure domain now.',
      facts: { highestTerm, incarnation },
    }),
  );
}

/** The order is for another failure domain. */
export function refuseDomain(order: Order, failureDomain: string): ProblemError {
  return new ProblemError(
    problem('not-owner', {
      detail: `This guard is in failure domain ${failureDomain}, not ${order.failureDomain}.`,
      remedy: 'Order only the guards of the failure domain that you own.',
      facts: { failureDomain },
    }),
  );
}

/** The attempt ended, was stopped or lapsed here. */
export function refuseEnded({ key, attempt, member }: AttemptRef): ProblemError {
  return new ProblemError(
    problem('conflict', {
      detail: `Member ${member} of attempt ${attempt} of ${key} has ended or lapsed on this guard.`,
      remedy: 'Make a new attempt once every member of this one has surely ended.',
    }),
  );
}

/** The capacity is taken. */
export function refuseTaken(why: string): ProblemError {
  return new ProblemError(
    problem('conflict', {
      detail: `The worker can't hold this reservation: ${why}.`,
      remedy: 'Ask for the inventory and place it elsewhere.',
    }),
  );
}

/** The task isn't at the barrier. */
export function refuseUnready({ key, member }: AttemptRef): ProblemError {
  return new ProblemError(
    problem('conflict', {
      detail: `Member ${member} of ${key} isn't ready to start.`,
      remedy: 'Start it after its task.ready, and only reservations that have a task.',
    }),
  );
}

/** No room to remember one more ended attempt. */
export function refuseFull(): ProblemError {
  return new ProblemError(
    problem('overloaded', {
      detail: 'This guard remembers as many recent attempts as it may.',
      remedy: 'Place it on another worker, or restart this guard once it has drained.',
      retryAfterMs: 60_000,
    }),
  );
}
