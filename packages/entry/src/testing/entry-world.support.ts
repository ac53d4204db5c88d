/** An entry with fakes at its interfaces, called without a network. */
import {
  CountingMetrics,
  HybridClock,
  SystemClock,
  Timeline,
  bundleSchema,
  entrySettingsSchema,
  type Announcement,
  type Bundle,
  type EntrySettings,
  type Peer,
  type ProcessContext,
  type RequestResult,
} from '@zincspan/core';
import { MemoryObjectStore, MemoryTable } from '@zincspan/platform';
import { createHash } from 'node:crypto';
import type { BundleInForce, BundleSource } from '../bundle-source.js';
import { Entry } from '../entry.js';
import type { EntryAppFactory } from '../app.js';
import type { EntryLinksFactory } from '../mesh/entry-links.js';
import { FakePeer } from './fake-peer.support.js';

export const TOKEN = 'token-of-tuul';

export class FakeBundles implements BundleSource {
  current: BundleInForce | undefined;

  readonly #listeners = new Set<() => void>();

  subscribe(fn: () => void): () => void {
    this.#listeners.add(fn);
    return () => this.#listeners.delete(fn);
  }

  put(bundle: Bundle, version = 1): void {
    const head = { version, digest: '0'.repeat(64), parent: version - 1, note: '', signatures: [] };
    this.current = { head, bundle };
    this.#listeners.forEach((fn) => fn());
  }
}

export function testContext(id = 'entry-a'): ProcessContext & { metrics: CountingMetrics } {
  const clock = new SystemClock();
  const hybrid = new HybridClock({ clock });
  const quiet = (): void => {};
  return {
    self: { id, role: 'entry', incarnation: `${id}-life-1`, failureDomain: 'hall' },
    clock,
    hybrid,
    timeline: new Timeline({ process: id, hybrid }),
    metrics: new CountingMetrics(),
    log: { info: quiet, warn: quiet, error: quiet },
  };
}

export function testSettings(overrides: Record<string, unknown> = {}): EntrySettings {
  return entrySettingsSchema.parse({
    role: 'entry',
    id: 'entry-a',
    failureDomain: 'hall',
    linkKeys: ['k'.repeat(32)],
    operators: ['ana', 'bat'].map((name) => ({ name, publicKey: 'A'.repeat(43) })),
    listenHttp: '127.0.0.1:0',
    listenLink: '127.0.0.1:0',
    failureDomains: ['hall'],
    table: { address: '127.0.0.1:1' },
    objectStore: { address: '127.0.0.1:1' },
    ...overrides,
  });
}

export function testBundle({ requests = 200, retryBudget = 1 } = {}): Bundle {
  const sha256 = createHash('sha256').update(TOKEN).digest('hex');
  const kind = (name: string, idempotent: boolean, path = 'request'): unknown => ({
    name,
    path,
    urgency: 'urgent',
    idempotent,
  });
  return bundleSchema.parse({
    accounts: [{ name: 'tuul', tokens: [{ id: 't1', sha256 }], quota: { requests } }],
    kinds: [kind('match', true), kind('book', false), kind('render', true, 'job')],
    policy: { retryBudget },
  });
}

export function answered(text: string, length = Buffer.byteLength(text)): RequestResult {
  return {
    outcome: 'answered',
    status: 200,
    contentType: 'text/plain',
    body: new Uint8Array(Buffer.from(text)),
    length,
    serviceMs: 1,
    load: { inUse: 0, queued: 0, slots: 8 },
  };
}

/** A guard's first announcement of its runner. */
export function announcementOf(id: string, { process }: Peer): Announcement {
  return {
    upstream: { type: 'runner', id, address: '127.0.0.1:1', slots: 8, connections: 60, kinds: [] },
    failureDomain: 'hall',
    guard: process.id,
    incarnation: process.incarnation,
    sequence: 1,
    state: 'ready',
    ttlMs: 10_000,
  };
}

export class EntryWorld {
  readonly ctx: ReturnType<typeof testContext>;

  readonly table = new MemoryTable();

  readonly bundles = new FakeBundles();

  readonly guards = new Map<string, FakePeer>();

  entry!: Entry;

  constructor({ id = 'entry-a' }: { id?: string } = {}) {
    this.ctx = testContext(id);
  }

  build({
    settings = {},
    apps = [],
    links,
  }: { settings?: object; apps?: EntryAppFactory[]; links?: EntryLinksFactory } = {}): void {
    this.entry = new Entry({
      ctx: this.ctx,
      settings: testSettings({ ...settings }),
      table: this.table,
      objectStore: new MemoryObjectStore(),
      bundles: this.bundles,
      apps,
      ...(links === undefined ? {} : { links }),
    });
  }

  /** Links a guard and announces its runner; `answer` makes the runner answer at once. */
  addRunner(
    name: string,
    {
      answer,
      peer = new FakePeer({ id: `guard-${name}` }),
    }: { answer?: string; peer?: FakePeer } = {},
  ): FakePeer {
    if (answer !== undefined) peer.answers.set('request.run', () => answered(answer));
    this.guards.set(name, peer);
    this.entry.upstreams.linkUp(peer);
    this.entry.upstreams.announce(announcementOf(name, peer), peer);
    return peer;
  }

  guard(name: string): FakePeer {
    const peer = this.guards.get(name);
    if (peer === undefined) throw new Error(`No guard of ${name}.`);
    return peer;
  }
}
