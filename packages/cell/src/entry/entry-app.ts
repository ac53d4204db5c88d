/** The entry: callers' calls, and the ownership of the cell while it has it. */
import type { Handlers, ProcessContext } from '@zincspan/core';
import { LinkServer, type Link } from '@zincspan/link';
import type { Advisor } from '../advice/advisor.js';
import { ConfigWatcher, type ConfigSource } from '../config/config-watcher.js';
import { LINK_HEARTBEAT } from '../guard/owner-link.js';
import { JOB_TABLE } from '../job/job-rows.js';
import { CellOwner, notOwner, type EvacuationBounds } from '../owner/cell-owner.js';
import { Ownership } from '../owner/ownership.js';
import type { ReclaimBounds } from '../owner/pass-input.js';
import type { Row, RowStore } from '../store/row-store.js';
import { MonitoredStore } from '../store/monitored-store.js';
import { AcceptanceRoute } from './acceptance-route.js';
import { CallerGate } from './caller-gate.js';
import { JobCalls, STORE_AWAY_MS } from './job-calls.js';
import { JobLookup } from './job-lookup.js';
import { SuccessorList } from './owner-status.js';
import { PeerEntries } from './peer-entries.js';
import { WaitingCount } from './waiting-count.js';

/**
 * Share of the time within which a taken key must stop working after which an entry without a sound way to the store
 * refuses its callers: they are served better by another one.
 */
const STALE_SHARE = 0.5;

/** What an entry is made of. */
export interface EntryAppOptions {
  ctx: ProcessContext;
  store: RowStore;
  configSource: ConfigSource;
  /** Without one, queues that need advice refuse what is handed in. */
  advisor?: Advisor | undefined;
  /** Address for links from guards. */
  linkAddress: string;
  linkKey: string;
  /** Cores that this process may use. */
  processorShare: number;
  /** Longest authority that a contact may give, in ms. */
  leaseMs: number;
  reclaim: ReclaimBounds;
  evacuation: EvacuationBounds;
  /** Ended jobs are shown for this long, in ms. */
  keepEndedMs: number;
  /** A key that was taken away must not work any more after this long, in ms. */
  revokeMs: number;
  /** A change of the configuration has to be in force within this time, in ms. */
  configApplyMs: number;
}

/** One entry. */
export class EntryApp {
  readonly calls: JobCalls;

  readonly #options: EntryAppOptions;

  readonly #config: ConfigWatcher;

  readonly #jobs: JobLookup;

  readonly #gate: CallerGate;

  readonly #ownership: Ownership;

  readonly #links: LinkServer;

  readonly #peers: PeerEntries;

  readonly #successors: SuccessorList;

  #owner: CellOwner | undefined;

  #draining = false;

  constructor(options: EntryAppOptions) {
    const { ctx } = options;
    const store = new MonitoredStore({ store: options.store, clock: ctx.clock });
    this.#options = { ...options, store };
    const { configSource, linkAddress, linkKey, processorShare, revokeMs, configApplyMs } = options;
    this.#config = new ConfigWatcher({ ctx, store, source: configSource, applyMs: configApplyMs });
    this.#jobs = new JobLookup({ ctx, store });
    this.#gate = new CallerGate({ config: this.#config, staleAfterMs: STALE_SHARE * revokeMs });
    const waiting = new WaitingCount({
      ctx,
      store,
      ownCount: (queue) => this.#owner?.waiting(queue),
      ownerLink: () => this.#peers.ownerLink,
    });
    this.calls = new JobCalls({
      ctx,
      store,
      config: this.#config,
      gate: this.#gate,
      jobs: this.#jobs,
      countWaiting: (queue, limit) => waiting.of(queue, limit),
      canAskAdvice: options.advisor !== undefined,
      forward: (call) => this.#peers.forward(call),
      route: new AcceptanceRoute({
        ctx,
        store,
        configKey: configSource.key,
        ownAccept: () => {
          const owner = this.#owner;
          return owner && ((call) => owner.accept(call));
        },
        ownerLink: () => this.#peers.ownerLink,
      }),
      onWritten: (row) => this.#noteWritten(row),
    });
    const { id, incarnation, failureDomain } = ctx.self;
    const self = { id, incarnation, address: linkAddress };
    this.#peers = new PeerEntries({
      ctx,
      store,
      self: { ...self, failureDomain, processorShare },
      linkKey,
    });
    this.#links = new LinkServer({
      ctx,
      keys: [linkKey],
      handlers: this.#handlers(),
      heartbeat: LINK_HEARTBEAT,
      listen: linkAddress,
      status: () => this.#status(),
    });
    this.#successors = new SuccessorList({ links: () => this.#links.links(), clock: ctx.clock });
    this.#ownership = new Ownership({
      ctx,
      store,
      self,
      events: {
        onGained: (term, ownerVersion) => this.#open(term, ownerVersion),
        onLost: () => this.#close(),
        onHolder: (holder) => this.#peers.followOwner(holder),
      },
      rank: () => this.#peers.rank(),
      isSettled: () => this.#peers.isSettled,
      isLinked: () => this.#peers.ownerLink !== undefined,
    });
  }

  /** True if new callers are welcome. */
  get isReady(): boolean {
    return !this.#draining && this.#config.ageMs < STORE_AWAY_MS;
  }

  /** Links that this entry has dialled and that are up. */
  get peers(): Link[] {
    return this.#peers.links;
  }

  async start(): Promise<void> {
    await this.#links.start();
    this.#config.start();
    this.#peers.start();
    this.#ownership.start();
  }

  /** Takes no new callers any more and hands the cell over; calls that come all the same are served. */
  async drain(): Promise<void> {
    this.#draining = true;
    await this.#ownership.stop();
  }

  async stop(): Promise<void> {
    this.#close();
    this.#config.stop();
    this.#peers.stop();
    await this.#links.close();
  }

  #open(term: number, ownerVersion: number): void {
    const { ctx, store, advisor, leaseMs, reclaim, evacuation, keepEndedMs } = this.#options;
    this.#owner = new CellOwner({
      ctx,
      store,
      advisor,
      term,
      ownerVersion,
      leaseMs,
      reclaim,
      evacuation,
      keepEndedMs,
      config: () => this.#config.current?.config,
      configKey: this.#config.key,
      confirmedAt: () => this.#ownership.held?.confirmedAt ?? -Infinity,
      transact: (tx, callOptions) => this.#ownership.transact(tx, callOptions),
      onDeposed: (reason) => this.#ownership.lose(reason),
    });
    this.#owner.start();
  }

  /** The owner hears of it now: the store's feed may be a second behind. */
  #noteWritten(row: Row): void {
    this.#jobs.noteRow(row);
    if (this.#owner === undefined) this.#peers.tellOwner(row);
    else this.#owner.noteWritten(row);
  }

  /** Told in heartbeats; only the owner has something to tell. */
  #status(): Record<string, unknown> {
    return this.#owner === undefined ? {} : { successors: this.#successors.current() };
  }

  #close(): void {
    this.#owner?.stop();
    this.#owner = undefined;
  }

  #handlers(): Handlers {
    return {
      'cell.contact': (req, peer) => {
        if (this.#owner === undefined) throw notOwner();
        return this.#owner.contact(req, peer);
      },
      'cell.accept': (req) => {
        if (this.#owner === undefined) throw notOwner();
        return this.#owner.accept(req);
      },
      'caller.forward': (req) => this.calls.serveForwarded(req),
      'cell.waiting': ({ queue }) => {
        const count = this.#owner?.waiting(queue);
        if (count === undefined) throw notOwner();
        return { count };
      },
      'job.news': ({ key, value, version }) => {
        const row = { table: JOB_TABLE, part: '', key, value: Buffer.from(value), version };
        this.#owner?.noteWritten(row);
        return {};
      },
    };
  }
}
