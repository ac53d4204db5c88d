/**
 * Computes the retry delay for callers while the store is unavailable. Outages last 3 to 7 s, and callers make five attempts in
 * all. With a fixed delay of 1 s, these were used up after 4 s, and jobs were lost that a later attempt would have submitted.
 * The delay therefore grows: an outage that has lasted for some time goes on for about as long again.
 */

/** Minimum delay, in ms. After a single failure the store usually answers within the next second. */
const MIN_RETRY_AFTER_MS = 1000;

/** Maximum delay, in ms. With more, a caller waits longer than a whole outage lasts. */
const MAX_RETRY_AFTER_MS = 4000;

/** Delay as a share of the outage so far. One half costs a caller that comes just before the store's return the least. */
const OUTAGE_SHARE = 0.5;

/** Retry delay in ms. `unavailableMs`: time since the store's last answer here; Infinity before its first one. */
export function storeRetryAfterMs(unavailableMs: number): number {
  if (!Number.isFinite(unavailableMs)) return MIN_RETRY_AFTER_MS;
  return Math.min(MAX_RETRY_AFTER_MS, Math.max(MIN_RETRY_AFTER_MS, OUTAGE_SHARE * unavailableMs));
}
