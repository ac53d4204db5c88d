/** A request as its caller sent it, and what a guard is asked to run for it. */
import type { Kind, RequestRun } from '@zincspan/core';
import type { RequestLife } from './request-life.js';

/** A request as its caller sent it. All attempts carry the same id, each to another guard. */
export interface RequestOrder {
  requestId: string;
  account: string;
  kind: Kind;
  contentType: string;
  body: RequestRun['body'];
}

/** The guard's own deadline comes this much earlier, so that its word on whether it ran arrives in time. */
const ANSWER_MARGIN_MS = 10;

function timeForGuard(timeLeftMs: number): number {
  return timeLeftMs - Math.min(ANSWER_MARGIN_MS, timeLeftMs / 10);
}

/** The message that runs the order, with the time that is left now. */
export function toRequestRun(order: RequestOrder, life: RequestLife): RequestRun {
  const { requestId, account, kind, contentType, body } = order;
  return {
    requestId,
    account,
    kind: kind.name,
    idempotent: kind.idempotent,
    urgent: kind.urgency === 'urgent',
    timeLeftMs: timeForGuard(life.timeLeftMs()),
    contentType,
    body,
  };
}
