/** An entry over an in-memory platform, and operators who call it. */
import {
  bundleSchema,
  canonicalJson,
  digestBundle,
  newOperatorKey,
  quietContext,
  entrySettingsSchema,
  signHead,
  type Bundle,
  type BundleHead,
  type OperatorKey,
} from '@zincspan/core';
import { MemoryObjectStore, MemoryTable, RowStore } from '@zincspan/platform';
import { SignJWT, importJWK } from 'jose';
import { randomUUID } from 'node:crypto';
import { EntryBundles } from '../bundle/app.js';
import { Entry } from '../entry.js';
import { operatorApp } from './app.js';

export const operatorKeys = {
  bat: await newOperatorKey('bat'),
  anu: await newOperatorKey('anu'),
  stranger: await newOperatorKey('stranger'),
};

export function bundleWith(...names: string[]): Bundle {
  const accounts = names.map((name) => ({
    name,
    tokens: [{ id: 't', sha256: Buffer.from(name.padEnd(32)).toString('hex').slice(0, 64) }],
  }));
  return bundleSchema.parse({ accounts, kinds: [] });
}

/** Adds signatures of both operators. */
export function signedHead(
  head: BundleHead,
  keys = [operatorKeys.bat, operatorKeys.anu],
): BundleHead {
  return { ...head, signatures: keys.map((key) => signHead(head, key)) };
}

export function headFor(bundle: Bundle, version: number): BundleHead {
  const digest = digestBundle(bundle);
  return signedHead({ version, parent: version - 1, digest, note: '', signatures: [] });
}

export interface CallOptions {
  key?: OperatorKey;
  payload?: unknown;
  /** Claims that differ from those of an honest client. */
  claims?: Record<string, string>;
  lifeSeconds?: number;
  token?: string;
}

/** One entry without links; several may share rows and objects. */
export class OperatorEntry {
  readonly table: MemoryTable;

  readonly objectStore: MemoryObjectStore;

  readonly bundles: EntryBundles;

  readonly entry: Entry;

  readonly ctx: ReturnType<typeof quietContext>;

  constructor({ store = new RowStore(), objectStore = new MemoryObjectStore() } = {}) {
    this.table = new MemoryTable({ store });
    this.objectStore = objectStore;
    const settings = settingsOf();
    const ctx = quietContext({ id: settings.id });
    this.ctx = ctx;
    this.bundles = new EntryBundles({ ctx, settings });
    this.entry = new Entry({
      ctx,
      settings,
      table: this.table,
      objectStore,
      bundles: this.bundles.keeper,
      apps: [this.bundles.app, operatorApp(this.bundles)],
    });
  }

  /** Calls a route as an operator would. */
  async call(
    method: string,
    url: string,
    options: CallOptions = {},
  ): Promise<{ status: number; body: Record<string, unknown> }> {
    const token = options.token ?? (await tokenFor(method, url, options));
    const res = await this.entry.server.inject({
      method,
      url,
      headers: { authorization: `Bearer ${token}`, 'content-type': 'application/json' },
      ...(options.payload === undefined ? {} : { payload: JSON.stringify(options.payload) }),
    });
    return { status: res.statusCode, body: JSON.parse(res.payload) as Record<string, unknown> };
  }

  /** Stores a body, as a proposal does. */
  async storeBody(bundle: Bundle): Promise<void> {
    const key = `bundles/${digestBundle(bundle)}`;
    await this.objectStore.put(key, Buffer.from(canonicalJson(bundle)));
  }
}

export async function tokenFor(
  method: string,
  url: string,
  { key = operatorKeys.bat, claims = {}, lifeSeconds = 30 }: CallOptions,
): Promise<string> {
  const jwk = { kty: 'OKP', crv: 'Ed25519', x: key.publicKey, d: key.privateKey };
  const now = Math.floor(Date.now() / 1000);
  return new SignJWT({ htm: method, htu: url, aud: 'zincspan-operator', ...claims })
    .setProtectedHeader({ alg: 'EdDSA' })
    .setSubject(key.operator)
    .setJti(randomUUID())
    .setIssuedAt(now)
    .setExpirationTime(now + lifeSeconds)
    .sign(await importJWK(jwk, 'EdDSA'));
}

function settingsOf() {
  const known = [operatorKeys.bat, operatorKeys.anu];
  return entrySettingsSchema.parse({
    role: 'entry',
    id: 'entry-1',
    failureDomain: 'ernakulam',
    linkKeys: ['k'.repeat(32)],
    operators: known.map(({ operator, publicKey }) => ({ name: operator, publicKey })),
    listenHttp: '127.0.0.1:0',
    listenLink: '127.0.0.1:0',
    failureDomains: ['ernakulam'],
    entries: [{ id: 'entry-2', failureDomain: 'aluva', address: '127.0.0.1:1' }],
    table: { address: '127.0.0.1:1' },
    objectStore: { address: '127.0.0.1:1' },
  });
}
