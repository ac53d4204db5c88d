/** The one problem that the platform's clients reject with. */
import { problem, type Problem, type Ran } from '@zincspan/core';

/** Default time until another try makes sense, in ms. */
const DEFAULT_RETRY_AFTER_MS = 1000;

const REMEDIES: Record<Ran, string> = {
  'not-run': 'Nothing was changed; try again after the time given.',
  ran: 'The change was made; read it back.',
  unknown: 'Read the rows back before trying again, as the change may have been made.',
};

/** `store-unavailable`, with what is known of the write's effect. `retryAfterMs` in ms. */
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
