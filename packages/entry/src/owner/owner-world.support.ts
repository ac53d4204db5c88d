/** Entries that own a failure domain, with fakes for guards, table and time. */
import { createHash } from 'node:crypto';
import type { Server } from '@hapi/hapi';
import {
  bundleSchema,
  jobRowSchema,
  quietContext,
  ReservationBook,
  type Bundle,
  type CountingMetrics,
  type Handlers,
  type JobRow,
  type Peer,
  type ProcessContext,
} from '@zincspan/core';
import { MemoryObjectStore, MemoryTable, RowStore } from '@zincspan/platform';
import type { EntryApp } from '../app.js';
import { AccountDirectory } from '../http/account-directory.js';
import { createHttpServer } from '../http/http-server.js';
import { UpstreamDirectory } from '../membership/upstream-directory.js';
import { EntryMesh } from '../mesh/entry-mesh.js';
import { FakeBundles, testSettings } from '../testing/entry-world.support.js';
import { ownerApp } from './app.js';
import type { SchedulerFactory } from './domain-owner-options.js';
import { FakeGuard } from './fake-guard.support.js';
import { ManualTimers } from './manual-timers.support.js';

export const TOKENS = { tuul: 'token-of-tuul', malabar: 'token-of-malabar' };

function sha256(text: string): string {
  return createHash('sha256').update(text).digest('hex');
}

export function ownerBundle(): Bundle {
  const kind = (name: string, extra: object): object => ({
    name,
    path: 'job',
    urgency: 'waiting',
    idempotent: false,
    ...extra,
  });
  return bundleSchema.parse({
    accounts: Object.entries(TOKENS).map(([name, token]) => ({
      name,
      tokens: [{ id: 't1', sha256: sha256(token) }],
      quota: { queuedJobs: 50 },
    })),
    kinds: [
      kind('render', { idempotent: true, checkpointable: true }),
      kind('entry', { urgency: 'urgent' }),
      kind('match', { path: 'request' }),
    ],
    guarantees: [
      {
        name: 'studio',
        account: 'tuul',
        shape: { tasks: 2, acceleratorsPerTask: 4, adjacency: 'rack' },
      },
    ],
  });
}

/** One entry of the world. */
export class OwnerEntry {
  readonly ctx: ProcessContext & { metrics: CountingMetrics };

  readonly table: MemoryTable;

  readonly upstreams: UpstreamDirectory;

  readonly mesh = new EntryMesh();

  readonly server: Server;

  readonly app: EntryApp;

  constructor(
    world: OwnerWorld,
    id: string,
    { createScheduler }: { createScheduler?: SchedulerFactory | undefined } = {},
  ) {
    const { timers } = world;
    this.ctx = context(id, timers);
    this.table = new MemoryTable({ store: world.store });
    this.upstreams = new UpstreamDirectory({ ctx: this.ctx });
    const { failureDomains } = world;
    const settings = testSettings({ id, failureDomains, keepEndedMs: 3_600_000 });
    const accounts = new AccountDirectory({ bundles: world.bundles });
    this.server = createHttpServer({ ctx: this.ctx, settings, accounts });
    const make = ownerApp({
      timers,
      settleMs: 0,
      ...(createScheduler === undefined ? {} : { createScheduler }),
    });
    this.app = make({
      ctx: this.ctx,
      settings,
      table: this.table,
      objectStore: new MemoryObjectStore(),
      bundles: world.bundles,
      accounts,
      upstreams: this.upstreams,
      mesh: this.mesh,
      isDraining: () => false,
      status: () => ({}),
    });
    this.app.routes?.(this.server);
  }

  /** This entry as another one sees it. */
  asPeer(): Peer {
    const { ctx, app } = this;
    return {
      process: ctx.self,
      closed: false,
      call: async (method, req) => {
        await Promise.resolve();
        const handler = app.handlers?.[method] as ((r: unknown, p: Peer) => unknown) | undefined;
        return handler?.(req, this.asPeer()) as never;
      },
    };
  }

  /** Whether it owns every failure domain. */
  get owns(): boolean {
    const owners = this.app.status?.() as Record<string, { summary: unknown }>;
    return Object.values(owners).every(({ summary }) => summary !== null);
  }
}

export class OwnerWorld {
  failureDomains = ['hall'];

  readonly timers = new ManualTimers();

  readonly store = new RowStore();

  readonly bundles = new FakeBundles();

  readonly guards = new Map<string, FakeGuard>();

  readonly ownerEntries = new Map<string, OwnerEntry>();

  last!: { status: number; body: Record<string, unknown>; headers: Record<string, unknown> };

  constructor() {
    this.bundles.put(ownerBundle());
  }

  addEntry(id: string, options: { createScheduler?: SchedulerFactory } = {}): OwnerEntry {
    const entry = new OwnerEntry(this, id, options);
    this.ownerEntries.forEach((other) => {
      other.mesh.linkUp(entry.asPeer());
      entry.mesh.linkUp(other.asPeer());
    });
    this.ownerEntries.set(id, entry);
    this.guards.forEach((guard) => OwnerWorld.announce(entry, guard));
    return entry;
  }

  addWorker(id: string, failureDomain = 'hall'): FakeGuard {
    const worker = {
      type: 'worker' as const,
      id,
      address: '127.0.0.1:1',
      rack: 'rack-1',
      rackPosition: 1,
      cores: 64,
      memoryMb: 262_144,
      accelerators: 8,
    };
    const guard = new FakeGuard({ worker, clock: this.timers.clock });
    const process = { ...guard.process, failureDomain };
    const { incarnation } = process;
    Object.assign(guard, { process, book: new ReservationBook({ incarnation, failureDomain }) });
    this.guards.set(id, guard);
    this.ownerEntries.forEach((entry) => OwnerWorld.announce(entry, guard));
    return guard;
  }

  /** The guard's links come back, perhaps in a new life. */
  relink(guard: FakeGuard): void {
    Object.assign(guard, { closed: false });
    this.ownerEntries.forEach((entry) => OwnerWorld.announce(entry, guard));
  }

  guard(id: string): FakeGuard {
    const guard = this.guards.get(id);
    if (guard === undefined) throw new Error(`No worker ${id}.`);
    return guard;
  }

  entryOf(id: string): OwnerEntry {
    const entry = this.ownerEntries.get(id);
    if (entry === undefined) throw new Error(`No entry ${id}.`);
    return entry;
  }

  /** Starts an entry and waits until it owns the failure domain; guards report to it. */
  async own(id: string): Promise<OwnerEntry> {
    const entry = this.entryOf(id);
    await entry.app.start?.();
    await this.timers.until(`${id} owns`, () => entry.owns);
    this.guards.forEach((guard) => this.listen(guard, entry.app.handlers));
    return entry;
  }

  listen(guard: FakeGuard, handlers: Handlers | undefined): void {
    Object.assign(this.guard(guard.worker.id), { listener: handlers });
  }

  async http(
    method: string,
    url: string,
    {
      payload,
      headers = {},
      entry = 'entry-a',
      account = 'tuul',
    }: {
      payload?: object;
      headers?: Record<string, string>;
      entry?: string;
      account?: keyof typeof TOKENS;
    } = {},
  ): Promise<void> {
    const res = await this.entryOf(entry).server.inject({
      method,
      url,
      headers: { authorization: `Bearer ${TOKENS[account]}`, ...headers },
      ...(payload === undefined ? {} : { payload }),
    });
    const body = JSON.parse(res.payload) as Record<string, unknown>;
    this.last = { status: res.statusCode, body, headers: res.headers };
  }

  /** The row of a job of tuul. */
  row(id: string): JobRow {
    return jobRowSchema.parse(this.store.get(`jobs/tuul/${id}`).value);
  }

  async untilState(id: string, state: string): Promise<void> {
    await this.timers.until(`job ${id} is ${state}`, () => this.row(id).state === state);
  }

  static announce(entry: OwnerEntry, guard: FakeGuard): void {
    const { process, worker } = guard;
    entry.upstreams.linkUp(guard);
    entry.upstreams.announce(
      {
        upstream: worker,
        failureDomain: process.failureDomain,
        guard: process.id,
        incarnation: process.incarnation,
        sequence: 1,
        state: 'ready',
        ttlMs: 10_000,
      },
      guard,
    );
  }
}

function context(
  id: string,
  { clock }: ManualTimers,
): ProcessContext & { metrics: CountingMetrics } {
  const loud = (fields: object, msg: string): never => {
    throw new Error(`${msg}: ${JSON.stringify(fields)}`);
  };
  const incarnation = `${id}-life-1`;
  const ctx = quietContext({ id, incarnation, failureDomain: 'hall', clock });
  return { ...ctx, log: { ...ctx.log, error: loud } };
}
