/** Keys and tokens of a pretended deployment, made anew for each run. */
import { createHash, randomBytes } from 'node:crypto';

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
