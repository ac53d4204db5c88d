/** Mutual proof that both ends hold a shared link key: HMAC-SHA-256 over fresh nonces and both names. */
import { createHmac, randomBytes, timingSafeEqual } from 'node:crypto';
import type { ProcessId } from '@zincspan/core';

/** A fresh challenge. */
export function newNonce(): Uint8Array {
  return randomBytes(32);
}

/** What a proof is about. */
export interface MacInput {
  key: string;
  /** Whose proof it is, so that neither end's can be played back as the other's. */
  side: 'dialer' | 'server';
  serverNonce: Uint8Array;
  dialerNonce: Uint8Array;
  process: ProcessId;
  bornAt?: number;
}

/** The proof of one key. */
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

/** Compares two proofs in constant time. */
export function macsEqual(a: Uint8Array, b: Uint8Array): boolean {
  return a.byteLength === b.byteLength && timingSafeEqual(a, b);
}
