/** Ids of jobs and claims, and digests of what was submitted. */
import { createHash } from 'node:crypto';
import { stringify, v7 } from 'uuid';

const UUID_BYTES = 16;

/** A new id; ids sort by the time of their submission. */
export function newId(): string {
  return v7();
}

/** The id that an account's idempotency key always leads to (a UUID of version 8). */
export function idOfKey(account: string, what: 'job' | 'claim', key: string): string {
  const bytes = createHash('sha256')
    .update(`${what}\0${account}\0${key}`)
    .digest()
    .subarray(0, UUID_BYTES);
  bytes.writeUInt8(0x80 + (bytes.readUInt8(6) % 0x10), 6);
  bytes.writeUInt8(0x80 + (bytes.readUInt8(8) % 0x40), 8);
  return stringify(bytes);
}

/** Digest of a submission, the same however its fields are ordered. */
export function digestOf(value: unknown): string {
  return createHash('sha256')
    .update(JSON.stringify(sorted(value)))
    .digest('hex');
}

function sorted(value: unknown): unknown {
  if (Array.isArray(value)) return value.map(sorted);
  if (value === null || typeof value !== 'object') return value;
  const entries = Object.entries(value).sort(([a], [b]) => (a < b ? -1 : 1));
  return Object.fromEntries(entries.map(([name, each]) => [name, sorted(each)]));
}
