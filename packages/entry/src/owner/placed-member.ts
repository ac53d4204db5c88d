/** A member of an attempt where it was placed, and what is needed to drive it. */
import type {
  AttemptEvent,
  AttemptRef,
  Clock,
  ContactTimes,
  Member,
  TaskSpec,
} from '@zincspan/core';
import type { GuardOrders } from './guard-orders.js';
import type { Timers } from './timers.js';

/** A member and the guard incarnation that it was given to. */
export interface PlacedMember extends Member {
  guard: string;
  incarnation: string;
  /** As its guard told them; absent before it has answered. */
  contact?: ContactTimes | undefined;
}

/** What the members of one attempt have in common. Times in ms. */
export interface MemberDriverOptions {
  placed: PlacedMember;
  ref: AttemptRef;
  /** Absent: accelerators are held for a claim and nothing is run. */
  task?: TaskSpec | undefined;
  within?: string | undefined;
  ttlMs: number;
  /** Silence of a guard after which a claim's hold counts as lost. */
  lostAfterMs: number;
  orders: GuardOrders;
  timers: Timers;
  clock: Clock;
  tell: (event: AttemptEvent) => void;
}
