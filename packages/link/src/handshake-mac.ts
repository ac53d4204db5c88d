/**
 * MACs by which both ends prove that they hold a shared link key: HMAC-SHA-256 over both fresh nonces and the identity
 * of the sender.
 */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import type { ProcessId } from '@zincspan/core';

export function newNonce(): Uint8Array {
  return randomBytes(32);
}

/** What a MAC is computed over, and the key. */
export interface MacInput {
  key: string;
  /** Which end sends the MAC, so that neither end's MAC can be replayed as the other's. */
  side: 'dialer' | 'server';
  serverNonce: Uint8Array;
  dialerNonce: Uint8Array;
  process: ProcessId;
  bornAt?: number;
}

export function computeMac({
  key,
  side,
  serverNonce,
  dialerNonce,
  process: { id, role, incarnation, failureDomain },
  bornAt = 0,
}: MacInput): Uint8Array {
  return createHmac('sha256', key)
    .update(JSON.stringify(['zincspan-link-1', side, id, role, incarnation, failureDomain, bornAt]))
    .update(serverNonce)
    .update(dialerNonce)
    .digest();
}

/** Compares two MACs in constant time. */
export function macsEqual(a: Uint8Array, b: Uint8Array): boolean {
  return a.byteLength === b.byteLength && timingSafeEqual(a, b);
}
