/** How long a guard's tasks outlast its contact with the owner of its failure domain. */
import * as z from 'zod';

/**
 * Told by each guard with its reservations, as settings differ between guards. Times in ms of the guard's clock,
 * since the owner last answered it.
 */
export const contactTimesSchema = z.strictObject({
  /** From then on the guard may be stopping its tasks. */
  silenceMs: z.int().min(1),
  /** From then on none of its tasks runs any more. */
  fencedMs: z.int().min(1),
});
export type ContactTimes = z.infer<typeof contactTimesSchema>;

/** For guards that told none: longer than any sensible setting makes them. */
export const DEFAULT_CONTACT_TIMES: ContactTimes = { silenceMs: 60_000, fencedMs: 300_000 };

/** Share by which the clocks of two VMs may differ in pace, with a wide margin. */
const CLOCK_PACE = 0.02;

/** The times of a guard with these settings. */
export function contactTimes({
  ownerSilenceMs,
  taskLeaseMs,
  clockMargin,
}: {
  ownerSilenceMs: number;
  taskLeaseMs: number;
  clockMargin: number;
}): ContactTimes {
  // Twice the lease: a renewal that was checked in time may still reach the worker while the lease before it lasts.
  const leaseMs = 2 * taskLeaseMs * (1 + clockMargin);
  return { silenceMs: ownerSilenceMs, fencedMs: Math.ceil(ownerSilenceMs + leaseMs) };
}

/** By an owner's clock: when the guard may be stopping its tasks, and when none of them runs any more. */
export function fencing(
  { silenceMs, fencedMs }: ContactTimes,
  lastContactAt: number,
): { beginsAt: number; overAt: number } {
  return {
    beginsAt: lastContactAt + silenceMs,
    overAt: lastContactAt + fencedMs * (1 + CLOCK_PACE),
  };
}
