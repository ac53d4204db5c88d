/** Canonical JSON (RFC 8785), so that a digest or signature doesn't depend on how a value was written down. */
import canonicalizeModule from 'canonicalize';

// The library is CommonJS with ESM typings: under NodeNext its default import is typed as the namespace.
const serialize = canonicalizeModule as unknown as (value: unknown) => string | undefined;

/** Canonical JSON of a value. Throws on what JSON can't hold. */
export function canonicalJson(value: unknown): string {
  const text = serialize(value);
  if (text === undefined) throw new TypeError('Only JSON values have a canonical form.');
  return text;
}
