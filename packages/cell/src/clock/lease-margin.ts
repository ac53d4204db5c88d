/** Margin added to a lease before it counts as expired, the same at the owner and at the guard. */

/** A runner's clock may run slow by up to this factor. */
export const MAX_CLOCK_SLOWDOWN = 1.02;

/** Delays between the granter and the holder of a lease that no clock shows, in ms. */
export const LEASE_SLACK_MS = 300;
