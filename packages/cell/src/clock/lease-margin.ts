/** What is added to a lease before it counts as over: the same at the owner and at the guard. */

/** A runner's clock may be slow by this factor. */
export const SLOW_CLOCK = 1.02;

/** Delays between the two ends of a lease that no clock shows, in ms. */
export const LEASE_SLACK_MS = 300;
