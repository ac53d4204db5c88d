/** Keys and tokens of a pretended deployment, made anew for each run. */
import { createHash, generateKeyPairSync, randomBytes, type KeyObject } from 'node:crypto';

/** An operator's key pair; `publicKey` is base64url of the raw 32 bytes. */
export interface OperatorKey {
  name: string;
  publicKey: string;
  privateKey: KeyObject;
}

/** A fresh Ed25519 key pair. */
export function createOperatorKey(name: string): OperatorKey {
  const { publicKey, privateKey } = generateKeyPairSync('ed25519');
  const { x } = publicKey.export({ format: 'jwk' });
  if (x === undefined) throw new Error('An Ed25519 public key has an x coordinate.');
  return { name, publicKey: x, privateKey };
}

/** A bearer token of a client account, and how the bundle knows it. */
export interface AccountToken {
  account: string;
  token: string;
  sha256: string;
}

/** A fresh token. */
export function createAccountToken(account: string): AccountToken {
  const token = randomBytes(24).toString('base64url');
  return { account, token, sha256: createHash('sha256').update(token).digest('hex') };
}

/** A fresh shared key of the links. */
export function createLinkKey(): string {
  return randomBytes(32).toString('base64url');
}
