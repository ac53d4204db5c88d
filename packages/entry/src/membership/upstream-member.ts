/** An upstream as an entry knows it, from its guard's announcements. */
import type { Announcement, Upstream } from '@zincspan/core';

/** One upstream and the guard incarnation that spoke for it last. */
export interface UpstreamMember<U extends Upstream = Upstream> {
  upstream: U;
  failureDomain: string;
  guard: string;
  incarnation: string;
  sequence: number;
  state: 'ready' | 'draining';
  /** Expires at this time of the entry's monotonic clock (ms) unless announced again. */
  expiresAt: number;
}

/** A change of membership. `left` also covers silence past the announced time; `how` tells which. */
export type MembershipChange =
  | { type: 'joined'; member: UpstreamMember }
  /** Same upstream, other facts: size, address, state or guard incarnation. */
  | { type: 'changed'; member: UpstreamMember; before: UpstreamMember }
  | { type: 'left'; member: UpstreamMember; how: 'withdrawn' | 'expired' }
  /** A guard has a new link. */
  | { type: 'linked'; guard: string; incarnation: string };

/** The member that an announcement describes. */
export function toMember(announcement: Announcement, now: number): UpstreamMember {
  const { upstream, failureDomain, guard, incarnation, sequence, state, ttlMs } = announcement;
  return {
    upstream,
    failureDomain,
    guard,
    incarnation,
    sequence,
    state: state === 'draining' ? 'draining' : 'ready',
    expiresAt: now + ttlMs,
  };
}
