/** The problem with which the store clients reject while a store is unavailable. */
import { problem, type Problem, type Ran } from '@zincspan/core';

const DEFAULT_RETRY_AFTER_MS = 1000;

const REMEDIES: Record<Ran, string> = {
  'not-run': 'Nothing was changed; retry after the given time.',
  ran: 'The change was made; read it back.',
  unknown: 'Read the rows back before retrying, as the change may have been made.',
};

/** Builds a `store-unavailable` problem; `ran` tells whether a write took effect. */
export function storeUnavailable({
  detail,
  ran,
  retryAfterMs = DEFAULT_RETRY_AFTER_MS,
}: {
  detail: string;
  ran: Ran;
  retryAfterMs?: number;
}): Problem {
  return problem('store-unavailable', { detail, remedy: REMEDIES[ran], ran, retryAfterMs });
}
