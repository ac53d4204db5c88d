/** What the guards of a failure domain hold, as a new owner or a reconnected guard tells it. */
import { accountAndId, type Reservation } from '@zincspan/core';
import type { GuardOrders } from './guard-orders.js';

/** A reservation and the guard that holds it. */
export interface FoundReservation extends Reservation {
  guard: string;
  incarnation: string;
}

/** Asks one guard for all it holds; undefined if it can't be reached now. The term of the order fences older owners. */
export async function askInventory(
  orders: GuardOrders,
  to: { guard: string; incarnation: string },
): Promise<FoundReservation[] | undefined> {
  const result = await orders.send(to, 'guard.inventory', {});
  if (result.type !== 'done') return undefined;
  return result.res.reservations.map((reservation) => ({ ...reservation, ...to }));
}

/** Groups what was found by the job or claim that it belongs to. */
export function byKey(found: FoundReservation[]): Map<string, FoundReservation[]> {
  const groups = new Map<string, FoundReservation[]>();
  found.forEach((each) => {
    groups.set(each.ref.key, [...(groups.get(each.ref.key) ?? []), each]);
  });
  return groups;
}

/** Whether a key names a claim rather than a job. */
export function isClaim(key: string): boolean {
  return key.startsWith('claims/');
}

/** Stops a reservation that no attempt of this owner stands for, and lets its guard forget it. */
export async function stopOrphan(
  orders: GuardOrders,
  { ref, guard, incarnation, state }: FoundReservation,
): Promise<void> {
  const to = { guard, incarnation };
  if (state !== 'ended') {
    const stopped = await orders.send(to, 'gang.stop', { ref, checkpoint: false, limitMs: 0 });
    if (stopped.type !== 'done') return;
  }
  await orders.send(to, 'gang.forget', { ref });
}

/** Account and id of the job or claim that a reservation belongs to. */
export function ownerOf({ ref }: Pick<Reservation, 'ref'>): { account: string; id: string } {
  return accountAndId(ref.key);
}
