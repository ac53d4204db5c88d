/** The entry: callers' calls, and the ownership of the cell while it has it. */
import type { Handlers, ProcessContext } from '@zincspan/core';
import { LinkServer } from '@zincspan/link';
import type { Advisor } from '../advice/advisor.js';
import { ConfigWatch, type ConfigSource } from '../config/config-watch.js';
import { LINK_HEARTBEAT } from '../guard/owner-link.js';
import { JOB_TABLE } from '../job/job-rows.js';
import { JobView } from '../job/job-view.js';
import { CellOwner, notOwner } from '../owner/cell-owner.js';
import { Ownership } from '../owner/ownership.js';
import type { ReclaimBounds } from '../owner/placing-pass.js';
import type { Row, RowStore } from '../store/row-store.js';
import { WatchedStore } from '../store/watched-store.js';
import { CallerGate } from './caller-gate.js';
import { JobCalls, STORE_AWAY_MS } from './job-calls.js';
import { PeerEntries } from './peer-entries.js';

/**
 * Share of the time within which a taken key must stop working after which an entry without a sound way to the store
 * refuses its callers: they are served better by another one.
 */
const STALE_SHARE = 0.5;

/** An entry whose feed hasn't answered for this long isn't ready for new callers, in ms. */
const FEED_AWAY_MS = 6000;

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
  /** Longest authority that a contact may give, in ms. */
  leaseMs: number;
  reclaim: ReclaimBounds;
  /** Ended jobs are shown for this long, in ms. */
  keepEndedMs: number;
  /** A key that was taken away must not work any more after this long, in ms. */
  revokeMs: number;
}

/** One entry. */
export class EntryApp {
  readonly calls: JobCalls;

  readonly #options: EntryAppOptions;

  readonly #config: ConfigWatch;

  readonly #view: JobView;

  readonly #gate: CallerGate;

  readonly #ownership: Ownership;

  readonly #links: LinkServer;

  readonly #peers: PeerEntries;

  #owner: CellOwner | undefined;

  #draining = false;

  constructor(options: EntryAppOptions) {
    const { ctx } = options;
    const store = new WatchedStore({ store: options.store, clock: ctx.clock });
    this.#options = { ...options, store };
    const { configSource, linkAddress, linkKey, revokeMs } = options;
    this.#config = new ConfigWatch({ ctx, store, source: configSource });
    this.#view = new JobView({ ctx, store });
    this.#gate = new CallerGate({ config: this.#config, staleAfterMs: STALE_SHARE * revokeMs });
    this.calls = new JobCalls({
      ctx,
      store,
      config: this.#config,
      gate: this.#gate,
      view: this.#view,
      canAskAdvice: options.advisor !== undefined,
      forward: (call) => this.#peers.forward(call),
      onWritten: (row) => this.#noteWritten(row),
    });
    const self = { id: ctx.self.id, incarnation: ctx.self.incarnation, address: linkAddress };
    this.#peers = new PeerEntries({ ctx, store, self, linkKey });
    this.#links = new LinkServer({
      ctx,
      keys: [linkKey],
      handlers: this.#handlers(),
      heartbeat: LINK_HEARTBEAT,
      listen: linkAddress,
    });
    this.#ownership = new Ownership({
      ctx,
      store,
      self,
      events: {
        onGained: (term, ownerVersion) => this.#open(term, ownerVersion),
        onLost: () => this.#close(),
      },
    });
    this.#view.subscribe((job) => this.#owner?.noteJob(job));
  }

  /** True if new callers are welcome. */
  get isReady(): boolean {
    if (this.#draining || !this.#view.loaded) return false;
    return this.#config.ageMs < STORE_AWAY_MS && this.#view.ageMs < FEED_AWAY_MS;
  }

  async start(): Promise<void> {
    await this.#links.start();
    this.#config.start();
    this.#view.start();
    this.#ownership.start();
    this.#peers.start();
  }

  /** Takes no new callers any more and hands the cell over; calls that come all the same are served. */
  async drain(): Promise<void> {
    this.#draining = true;
    await this.#ownership.stop();
  }

  async stop(): Promise<void> {
    this.#close();
    this.#config.stop();
    this.#view.stop();
    this.#peers.stop();
    await this.#links.close();
  }

  #open(term: number, ownerVersion: number): void {
    const { ctx, store, advisor, leaseMs, reclaim, keepEndedMs } = this.#options;
    this.#owner = new CellOwner({
      ctx,
      store,
      view: this.#view,
      advisor,
      term,
      ownerVersion,
      leaseMs,
      reclaim,
      keepEndedMs,
      config: () => this.#config.known?.config,
      confirmedAt: () => this.#ownership.held?.confirmedAt ?? -Infinity,
      onConfirmed: (sentAt) => this.#ownership.confirm(sentAt),
      onDeposed: (reason) => this.#ownership.lose(reason),
    });
    this.#owner.start();
  }

  /** The owner hears of it now: the store's feed may be a second behind. */
  #noteWritten(row: Row): void {
    this.#view.apply({ ...row, deleted: false });
    const { holderId } = this.#ownership;
    if (this.#owner === undefined && holderId !== undefined) this.#peers.tell(holderId, row);
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
      'caller.forward': (req) => this.calls.serveForwarded(req),
      'job.news': ({ key, value, version }) => {
        const row = { table: JOB_TABLE, part: '', key, value: Buffer.from(value), version };
        this.#view.apply({ ...row, deleted: false });
        return {};
      },
    };
  }
}
