/** The entry process: serves callers' calls, and runs the cell's owner while this entry owns the cell. */
import type { Handlers, ProcessContext, ProcessId } from '@zincspan/core';
import { LinkServer, type Link } from '@zincspan/link';
import type { Advisor } from '../advice/advisor.js';
import { DEFAULT_CELL_POLICY, type CellPolicy } from '../config/cell-policy.js';
import { ConfigWatcher, type ConfigSource } from '../config/config-watcher.js';
import { LINK_HEARTBEAT } from '../guard/owner-link.js';
import { JOB_TABLE } from '../job/job-rows.js';
import { CellOwner, notOwnerError, type EvacuationOptions } from '../owner/cell-owner.js';
import { OwnerElection } from '../owner/owner-election.js';
import { EntryLoad } from '../load/entry-load.js';
import type { ReclaimBounds } from '../owner/placement-types.js';
import type { Row, RowStore } from '../store/row-store.js';
import { MonitoredStore } from '../store/monitored-store.js';
import { SubmissionRouter } from './submission-router.js';
import { CallAdmission } from './call-admission.js';
import { JobApi, STORE_DOWN_AFTER_MS } from './job-api.js';
import { JobLookup } from './job-lookup.js';
import { SuccessorList } from './successor-list.js';
import { PeerEntries } from './peer-entries.js';
import { WaitingJobCounter } from './waiting-job-counter.js';

/**
 * Fraction of `revokeMs`, the time within which a revoked key must stop working, after which an entry that cannot confirm its
 * configuration refuses its callers. Another entry serves them better.
 */
const STALE_FRACTION = 0.5;

export interface EntryAppOptions {
  ctx: ProcessContext;
  store: RowStore;
  configSource: ConfigSource;
  /** Without an advisor, queues that need advice refuse submissions. */
  advisor?: Advisor | undefined;
  /** Listen address for links from guards and other entries. */
  linkAddress: string;
  linkKey: string;
  /** CPU cores that this process may use. */
  processorShare: number;
  /** Longest lease that a contact may grant, in ms. */
  leaseMs: number;
  reclaim: ReclaimBounds;
  evacuation: EvacuationOptions;
  /** Retention time of ended jobs, in ms. */
  keepEndedMs: number;
  /** Time within which a revoked key must stop working, in ms. */
  revokeMs: number;
  /** Time within which a configuration change must take effect, in ms. */
  configApplyMs: number;
  /** Which decisions are switched off. */
  policy?: CellPolicy;
}

/** One entry of the cell. */
export class EntryApp {
  readonly jobApi: JobApi;

  readonly #options: EntryAppOptions;

  readonly #config: ConfigWatcher;

  readonly #jobLookup: JobLookup;

  readonly #admission: CallAdmission;

  readonly #ownerElection: OwnerElection;

  readonly #links: LinkServer;

  readonly #peers: PeerEntries;

  readonly #successors: SuccessorList;

  /** Undefined if the settings switch admission off. */
  readonly #load: EntryLoad | undefined;

  #owner: CellOwner | undefined;

  #draining = false;

  constructor(options: EntryAppOptions) {
    const { ctx } = options;
    const store = new MonitoredStore({ store: options.store, clock: ctx.clock });
    this.#options = { ...options, store };
    const { configSource, linkAddress, linkKey, processorShare, revokeMs, configApplyMs } = options;
    this.#config = new ConfigWatcher({ ctx, store, source: configSource, applyMs: configApplyMs });
    this.#jobLookup = new JobLookup({ ctx, store });
    this.#admission = new CallAdmission({
      config: this.#config,
      staleAfterMs: STALE_FRACTION * revokeMs,
    });
    const waiting = new WaitingJobCounter({
      ctx,
      store,
      localCount: (queue) => this.#owner?.waitingJobs(queue),
      ownerLink: () => this.#peers.ownerLink,
    });
    const { policy = DEFAULT_CELL_POLICY } = options;
    if (policy.admission !== 'off') {
      this.#load = new EntryLoad({
        ctx,
        policy,
        localLoad: () => this.#owner?.load,
        isOwner: () => this.#owner !== undefined,
        ownerLink: () => this.#peers.ownerLink,
        links: () => this.#links.links(),
      });
    }
    this.jobApi = new JobApi({
      ctx,
      gate: this.#load?.gate,
      store,
      config: this.#config,
      admission: this.#admission,
      jobs: this.#jobLookup,
      countWaiting: (queue, limit) => waiting.countJobs(queue, limit),
      hasAdvisor: options.advisor !== undefined,
      forward: (call) => this.#peers.forward(call),
      router: new SubmissionRouter({
        ctx,
        store,
        configKey: configSource.key,
        localAccept: () => {
          const owner = this.#owner;
          return owner && ((call) => owner.accept(call));
        },
        ownerLink: () => this.#peers.ownerLink,
      }),
      onRowWritten: (row) => this.#onRowWritten(row),
    });
    const { id, incarnation, failureDomain } = ctx.self;
    const self = { id, incarnation, address: linkAddress };
    this.#peers = new PeerEntries({
      ctx,
      store,
      self: { ...self, failureDomain, processorShare },
      linkKey,
      ownerStatus: () => this.#load?.entryStatus() ?? {},
    });
    this.#links = new LinkServer({
      ctx,
      keys: [linkKey],
      handlers: this.#handlers(),
      heartbeat: LINK_HEARTBEAT,
      listen: linkAddress,
      status: ({ role }) => this.#heartbeatStatus(role),
      needsStatus: ({ role }) => this.#owner !== undefined && role === 'entry',
    });
    this.#successors = new SuccessorList({ links: () => this.#links.links(), clock: ctx.clock });
    this.#ownerElection = new OwnerElection({
      ctx,
      store,
      self,
      events: {
        onGained: (term, ownerVersion) => this.#startOwner(term, ownerVersion),
        onLost: () => this.#stopOwner(),
        onHolder: (holder) => this.#peers.setOwner(holder),
      },
      rank: () => this.#peers.rank(),
      knowsPeers: () => this.#peers.isDiscoveryDone,
      hasOwnerLink: () => this.#peers.ownerLink !== undefined,
    });
  }

  /** True if this entry should receive new calls. */
  get isReady(): boolean {
    return !this.#draining && this.#config.ageMs < STORE_DOWN_AFTER_MS;
  }

  /** Live links that this entry dialled. */
  get peerLinks(): Link[] {
    return this.#peers.links;
  }

  async start(): Promise<void> {
    await this.#links.start();
    this.#config.start();
    this.#peers.start();
    this.#ownerElection.start();
  }

  /** Reports not ready and gives up ownership of the cell. Calls that still arrive are served. */
  async drain(): Promise<void> {
    this.#draining = true;
    await this.#ownerElection.stop();
  }

  async stop(): Promise<void> {
    this.#stopOwner();
    this.#config.stop();
    this.#peers.stop();
    await this.#links.close();
  }

  #startOwner(term: number, ownerVersion: number): void {
    const { ctx, store, advisor, leaseMs, reclaim, evacuation, keepEndedMs } = this.#options;
    const { policy = DEFAULT_CELL_POLICY } = this.#options;
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
      policy,
      refusals: () => this.#load?.refusals() ?? [],
      configKey: this.#config.key,
      confirmedAt: () => this.#ownerElection.held?.confirmedAt ?? -Infinity,
      transact: (tx, callOptions) => this.#ownerElection.transact(tx, callOptions),
      onOwnershipLost: (reason) => this.#ownerElection.endOwnership(reason),
    });
    this.#owner.start();
  }

  /** Notifies the owner directly, because the store's change feed may be a second behind. */
  #onRowWritten(row: Row): void {
    this.#jobLookup.applyRow(row);
    if (this.#owner === undefined) this.#peers.notifyOwner(row);
    else this.#owner.applyWrittenRow(row);
  }

  /** Status sent with heartbeats; empty unless this entry is the owner. Guards, of which there may be a thousand, don't get the load. */
  #heartbeatStatus(role: ProcessId['role']): Record<string, unknown> {
    if (this.#owner === undefined) return {};
    const load = role === 'entry' ? this.#load?.ownerStatus() : undefined;
    return { successors: this.#successors.current(), ...load };
  }

  #stopOwner(): void {
    this.#owner?.stop();
    this.#owner = undefined;
  }

  #handlers(): Handlers {
    return {
      'cell.contact': (req, peer) => {
        if (this.#owner === undefined) throw notOwnerError();
        return this.#owner.handleContact(req, peer);
      },
      'cell.accept': (req) => {
        if (this.#owner === undefined) throw notOwnerError();
        return this.#owner.accept(req);
      },
      'caller.forward': (req) => this.jobApi.serveForwarded(req),
      'cell.waiting': ({ queue }) => {
        const count = this.#owner?.waitingJobs(queue);
        if (count === undefined) throw notOwnerError();
        return { count };
      },
      'job.news': ({ key, value, version }) => {
        const row = { table: JOB_TABLE, part: '', key, value: Buffer.from(value), version };
        this.#owner?.applyWrittenRow(row);
        return {};
      },
    };
  }
}
