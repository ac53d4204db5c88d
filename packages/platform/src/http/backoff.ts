/** Delays between attempts, with full jitter so that clients don't retry in lockstep. */

/** Delay in ms before retry `attempt` (the first is 1): uniform from 0 to a bound that doubles with each retry. */
export function fullJitterMs(
  attempt: number,
  {
    backoffMs,
    maxBackoffMs,
    random,
  }: { backoffMs: number; maxBackoffMs: number; random: () => number },
): number {
  return random() * Math.min(maxBackoffMs, backoffMs * 2 ** (attempt - 1));
}

/** Resolves after `ms`. */
export async function sleep(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
