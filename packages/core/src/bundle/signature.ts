/** Operators' Ed25519 signatures over a bundle's head. */
import { createPrivateKey, createPublicKey, generateKeyPair, sign, verify } from 'node:crypto';
import { promisify } from 'node:util';
import * as z from 'zod';
import { problem, type Problem } from '../error/problem.js';
import { nameSchema } from '../vm/vm.js';
import type { BundleHead, Signature } from './bundle.js';
import { canonicalJson } from './canonical.js';

/** Different operators whose signatures a head needs. */
export const SIGNATURES_NEEDED = 2;

/** An operator as daemons know them: the raw public key, base64url. */
export interface Operator {
  name: string;
  publicKey: string;
}

/** An operator's key pair, as `zincspan keys new` writes it: raw keys, base64url. */
export const operatorKeySchema = z.strictObject({
  operator: nameSchema,
  publicKey: z.string().length(43),
  privateKey: z.string().length(43),
});
export type OperatorKey = z.infer<typeof operatorKeySchema>;

/** A new key pair. */
export async function newOperatorKey(operator: string): Promise<OperatorKey> {
  const { privateKey } = await promisify(generateKeyPair)('ed25519');
  const jwk = privateKey.export({ format: 'jwk' });
  return { operator, publicKey: String(jwk.x), privateKey: String(jwk.d) };
}

/** Signs a head; signatures it already carries aren't part of what is signed. */
export function signHead(head: BundleHead, key: OperatorKey): Signature {
  const jwk = { kty: 'OKP', crv: 'Ed25519', x: key.publicKey, d: key.privateKey };
  const signature = sign(null, signedBytes(head), createPrivateKey({ key: jwk, format: 'jwk' }));
  return { operator: key.operator, signature: signature.toString('base64url') };
}

/** Operators whose valid signatures a head carries, each once: unknown ones and repeats don't count. */
export function signersOf(head: BundleHead, operators: readonly Operator[]): string[] {
  const bytes = signedBytes(head);
  // By key, so that one key listed under two names counts once.
  const byKey = new Map<string, string>();
  head.signatures.forEach(({ operator, signature }) => {
    const known = operators.find(({ name }) => name === operator);
    if (!known || byKey.has(known.publicKey)) return;
    if (isSignedBy(bytes, signature, known.publicKey)) byKey.set(known.publicKey, operator);
  });
  return [...new Set(byKey.values())];
}

/** Why a head can't be taken; undefined if enough different operators signed it. */
export function checkSignatures(
  head: BundleHead,
  operators: readonly Operator[],
): Problem | undefined {
  const signers = signersOf(head, operators);
  if (signers.length >= SIGNATURES_NEEDED) return undefined;
  const by = signers.length === 0 ? 'none' : signers.join(', ');
  return problem('not-allowed', {
    detail: `Bundle ${head.version} needs valid signatures of ${SIGNATURES_NEEDED} different operators; it has ${signers.length} (${by}).`,
    remedy:
      'Have another operator of the settings run "zincspan bundle sign" on the same proposal.',
    facts: { version: head.version, signatures: signers.length, needed: SIGNATURES_NEEDED },
  });
}

function isSignedBy(bytes: Uint8Array, signature: string, publicKey: string): boolean {
  try {
    const jwk = { kty: 'OKP', crv: 'Ed25519', x: publicKey };
    const key = createPublicKey({ key: jwk, format: 'jwk' });
    return verify(null, bytes, key, Buffer.from(signature, 'base64url'));
  } catch {
    // A malformed key or signature signs nothing.
    return false;
  }
}

function signedBytes({ version, digest, parent, note }: BundleHead): Uint8Array {
  return Buffer.from(canonicalJson({ version, digest, parent, note }), 'utf8');
}
