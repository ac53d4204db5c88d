/** Tokens by which an operator's client proves who calls: one for each call. */
import { randomUUID } from 'node:crypto';
import type { OperatorKey } from '@zincspan/core';
import { SignJWT, importJWK } from 'jose';

const AUDIENCE = 'zincspan-operator';
const LIFE_SECONDS = 30;

/** A token for one call of `method` on `path` (with its query), valid for half a minute. */
export async function operatorToken(
  key: OperatorKey,
  method: string,
  path: string,
): Promise<string> {
  const jwk = { kty: 'OKP', crv: 'Ed25519', x: key.publicKey, d: key.privateKey };
  const now = Math.floor(Date.now() / 1000);
  return new SignJWT({ htm: method, htu: path })
    .setProtectedHeader({ alg: 'EdDSA' })
    .setAudience(AUDIENCE)
    .setSubject(key.operator)
    .setJti(randomUUID())
    .setIssuedAt(now)
    .setExpirationTime(now + LIFE_SECONDS)
    .sign(await importJWK(jwk, 'EdDSA'));
}
