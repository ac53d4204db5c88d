/**
 * When callers are told to come back while the store can't be used. The load it answers: outages of 3 to 7 s, and callers
 * that try five times in all. With a fixed second they have used up their tries after four, and a job is lost that a
 * later try would have handed in; an outage that has lasted for some time goes on for about as long again.
 */

/** Shortest, in ms: most stores that fail once answer the next second. */
const LEAST_MS = 1000;

/** Longest, in ms: beyond this a caller waits longer than a whole outage lasts. */
const MOST_MS = 4000;

/** Of the time that the store has been away: half of it costs a caller who comes just before its return the least. */
const AWAY_SHARE = 0.5;

/** In ms. `awayMs`: for how long the store hasn't answered here; Infinity before its first answer. */
export function storeRetryMs(awayMs: number): number {
  if (!Number.isFinite(awayMs)) return LEAST_MS;
  return Math.min(MOST_MS, Math.max(LEAST_MS, AWAY_SHARE * awayMs));
}
