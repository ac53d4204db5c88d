/** The failure domains and their owners, as one entry sees them: its own ownerships, and who holds the others. */
import {
  jobKey,
  type EntrySettings,
  type JobRow,
  type Method,
  type MethodReq,
  type Peer,
  type ProcessContext,
  type Ran,
  type Table,
} from '@zincspan/core';
import type { BundleSource } from '../bundle-source.js';
import type { KnownWorkers } from '../job/known-workers.js';
import type { RowWatch } from '../job/row-watch.js';
import type { AttemptLimits } from './attempt-runner.js';
import type { SchedulerFactory } from './domain-owner-options.js';
import { DomainOwner } from './domain-owner.js';
import { GuaranteeCopies } from './guarantee-copies.js';
import { LeaseKeeper } from './lease-keeper.js';
import { Outlook } from './outlook.js';
import { preferenceRank } from './preference.js';
import { SummaryTeller } from './summary-teller.js';
import { SystemTimers, type Timers } from './timers.js';
import type { OwnerDirectory } from './worker-watch.js';

/** Calls between entries may take this long, in ms: they only hurry what a rescan would find. */
const NOTIFY_MS = 2000;

/** An owner that failed to open is made anew after this long, in ms. */
const REOPEN_MS = 5000;

/** What is needed of the links to other entries. */
export interface OwnerMesh {
  peer(id: string): Peer | undefined;
  peers(): Peer[];
}

/** What the owners are made from. */
export interface OwnersOptions {
  ctx: ProcessContext;
  settings: Pick<EntrySettings, 'failureDomains' | 'owner' | 'listenLink'>;
  table: Table;
  bundles: BundleSource;
  directory: OwnerDirectory;
  mesh: OwnerMesh;
  knownWorkers: KnownWorkers;
  watch: RowWatch;
  createScheduler: SchedulerFactory;
  timers?: Timers;
  limits?: AttemptLimits;
}

/** Keeps a lease keeper per failure domain, and an owner for each lease held. */
export class Owners {
  readonly #options: OwnersOptions;

  readonly #timers: Timers;

  readonly #keepers = new Map<string, LeaseKeeper>();

  readonly #owners = new Map<string, DomainOwner>();

  /** All failure domains compared, for the choice of one. */
  readonly outlook: Outlook;

  /** Copies of guarantees by failure domain. */
  readonly copies: GuaranteeCopies;

  readonly #teller: SummaryTeller;

  constructor(options: OwnersOptions) {
    this.#options = options;
    this.#timers = options.timers ?? new SystemTimers();
    const { ctx, knownWorkers, mesh, settings } = options;
    this.outlook = new Outlook({
      clock: ctx.clock,
      failureDomains: settings.failureDomains,
      knownWorkers,
      local: (failureDomain) => this.local(failureDomain),
    });
    this.copies = new GuaranteeCopies({
      clock: ctx.clock,
      failureDomains: settings.failureDomains,
      knownWorkers,
      bundles: options.bundles,
    });
    this.#teller = new SummaryTeller({
      clock: ctx.clock,
      timers: this.#timers,
      peers: () => mesh.peers(),
      owners: () => this.all(),
      onLook: (summary) => this.outlook.summaries.take(summary),
      onMissed: () => this.#missed('owner.summary'),
    });
    options.settings.failureDomains.forEach((failureDomain) => {
      this.#keepers.set(failureDomain, this.#keeper(failureDomain));
    });
  }

  get failureDomains(): string[] {
    return [...this.#keepers.keys()];
  }

  start(): void {
    this.#keepers.forEach((keeper) => keeper.start());
    this.#teller.start();
  }

  /** Hands every failure domain over, so that another entry needn't wait for the leases to lapse. */
  async handOver(): Promise<void> {
    await Promise.all([...this.#keepers.keys()].map((each) => this.#handOver(each)));
  }

  stop(): void {
    this.#teller.stop();
    this.#keepers.forEach((keeper) => keeper.stop());
    this.#owners.forEach((owner) => owner.close());
    this.#owners.clear();
  }

  /** This entry's ownership of a failure domain, if it has it. */
  local(failureDomain: string): DomainOwner | undefined {
    return this.#owners.get(failureDomain);
  }

  /** All of this entry's ownerships. */
  all(): DomainOwner[] {
    return [...this.#owners.values()];
  }

  /** Id of the entry that holds a failure domain, as far as is known. */
  holder(failureDomain: string): string | undefined {
    return this.#keepers.get(failureDomain)?.row?.holder?.id;
  }

  /** Tells the owner of a job that was just written. */
  async jobQueued(row: JobRow, version: number): Promise<void> {
    const owner = this.local(row.failureDomain);
    if (owner !== undefined) owner.jobQueued(row, version);
    else await this.#tell(row.failureDomain, 'job.queued', { row, version });
  }

  /** Tells the owner of a job that its cancellation is requested. */
  async jobCancelled({ failureDomain, account, id }: JobRow): Promise<void> {
    const owner = this.local(failureDomain);
    if (owner !== undefined) await owner.cancelJob(jobKey(account, id));
    else await this.#tell(failureDomain, 'job.cancel', { account, id });
  }

  /** Cancels a queued job that this entry owns, without a wish in its row first. False if that isn't the case. */
  async cancelQueued({ failureDomain, account, id }: JobRow): Promise<boolean> {
    const owner = this.local(failureDomain);
    return (await owner?.cancelQueued(jobKey(account, id))) ?? false;
  }

  /** Cancels a job for another entry, if one of this entry's owners has it. */
  async cancelHere(account: string, id: string): Promise<Ran> {
    const key = jobKey(account, id);
    const withdrawn = await Promise.all(this.all().map((owner) => owner.cancelJob(key)));
    return withdrawn.includes(true) ? 'not-run' : 'unknown';
  }

  /** Tells the owner of a claim that its row has changed. */
  async claimChanged(failureDomain: string, account: string, id: string): Promise<void> {
    const owner = this.local(failureDomain);
    if (owner !== undefined) await owner.claimChanged(account, id);
    else await this.#tell(failureDomain, 'claim.changed', { account, id });
  }

  /** Resolves true once the owner, if that is another entry, says that a row has changed. Never rejects. */
  async whenChanged(failureDomain: string, key: string, timeoutMs: number): Promise<boolean> {
    const holder = this.holder(failureDomain);
    const peer = holder === undefined ? undefined : this.#options.mesh.peer(holder);
    if (peer === undefined) return false;
    try {
      const options = { timeoutMs: timeoutMs + NOTIFY_MS };
      return (await peer.call('row.wait', { key, timeoutMs }, options)).changed;
    } catch {
      this.#missed('row.wait');
      return false;
    }
  }

  /** Another entry waits for a row to be changed here. */
  async waitForChange(key: string, timeoutMs: number): Promise<boolean> {
    return new Promise((resolve) => {
      let cancelTimer = (): void => {};
      const forget = this.#options.watch.next(key, () => {
        cancelTimer();
        resolve(true);
      });
      cancelTimer = this.#timers.after(timeoutMs, () => {
        forget();
        resolve(false);
      });
    });
  }

  /** Another entry says that a failure domain changed hands. */
  async ownerChanged({ failureDomain, term, holder }: MethodReq<'owner.changed'>): Promise<void> {
    const keeper = this.#keepers.get(failureDomain);
    // Without the table its word is all there is; guards must not take this entry for their owner any longer.
    if (holder !== undefined && term > (keeper?.term ?? Infinity)) keeper?.staleTerm(term);
    await keeper?.step();
  }

  /**
   * For a guard that can't reach its owner: whether that owner, or one that took over from it, is alive as far as is
   * known here. An owner of this entry's own is about to give its orders to the guard.
   */
  isReachable({ failureDomain, term, holder }: MethodReq<'owner.reachable'>): boolean {
    if (this.local(failureDomain) !== undefined) return false;
    const row = this.#keepers.get(failureDomain)?.row;
    if (row?.holder !== undefined && row.term > term) return true;
    if (holder === undefined) return false;
    return this.#options.mesh.peer(holder.id)?.process.incarnation === holder.incarnation;
  }

  /** Holder, term and figures of each failure domain. */
  status(): Record<string, unknown> {
    const now = [...this.#keepers].map(([failureDomain, { row, isStoreDown }]) => [
      failureDomain,
      {
        holder: row?.holder?.id ?? null,
        term: row?.term ?? 0,
        storeDown: isStoreDown,
        summary: this.local(failureDomain)?.summary() ?? null,
      },
    ]);
    return Object.fromEntries(now) as Record<string, unknown>;
  }

  #keeper(failureDomain: string): LeaseKeeper {
    const { ctx, table, settings } = this.#options;
    return new LeaseKeeper({
      failureDomain,
      ctx,
      table,
      address: settings.listenLink,
      rank: () => this.#rank(failureDomain),
      leaseMs: settings.owner.leaseMs,
      renewMs: settings.owner.renewMs,
      timers: this.#timers,
      onGained: (term) => this.#gained(failureDomain, term),
      onLost: () => this.#lost(failureDomain),
      onStoreBack: () => this.local(failureDomain)?.storeIsBack(),
    });
  }

  /** Only entries that are linked now count: the others couldn't take over. */
  #rank(failureDomain: string): number {
    const { ctx, mesh } = this.#options;
    const candidates = [ctx.self, ...mesh.peers().map(({ process }) => process)];
    return preferenceRank(ctx.self.id, failureDomain, candidates);
  }

  #gained(failureDomain: string, term: number): void {
    const { ctx, table, bundles, directory, knownWorkers, createScheduler, watch, limits } =
      this.#options;
    const keeper = this.#keepers.get(failureDomain);
    const owner = new DomainOwner({
      failureDomain,
      term,
      ctx,
      table,
      bundles,
      directory,
      knownWorkers,
      createScheduler,
      watch,
      timers: this.#timers,
      onStaleTerm: (highestTerm) => keeper?.staleTerm(highestTerm),
      onOutdated: () => this.#reopen(failureDomain, term),
      isStoreDown: () => keeper?.isStoreDown ?? false,
      copies: this.copies,
      elsewhere: {
        isHosted: (each, shape) => this.outlook.isHosted(each, shape),
        best: (row) => this.outlook.best(row),
        moved: (row, version) => this.#moved(row, version),
      },
      ...(limits === undefined ? {} : { limits }),
    });
    this.#owners.set(failureDomain, owner);
    this.#broadcast(failureDomain, term, ctx.self.id);
    owner.open().catch((err: unknown) => {
      ctx.log.error({ failureDomain, term, err }, 'taking over a failure domain failed');
      this.#timers.after(REOPEN_MS, () => this.#reopen(failureDomain, term));
    });
  }

  /** Makes the owner anew under the same term; it finds again what runs. */
  #reopen(failureDomain: string, term: number): void {
    if (this.#keepers.get(failureDomain)?.term !== term) return;
    this.#owners.get(failureDomain)?.close();
    this.#gained(failureDomain, term);
  }

  #moved(row: JobRow, version: number): void {
    this.outlook.sent(row.failureDomain, row.spec.shape);
    // Not awaited: the new owner would find the job by its rescan.
    void this.jobQueued(row, version);
  }

  async #handOver(failureDomain: string): Promise<void> {
    const keeper = this.#keepers.get(failureDomain);
    const term = keeper?.term;
    await keeper?.release();
    if (term !== undefined) this.#broadcast(failureDomain, term);
  }

  #lost(failureDomain: string): void {
    this.#owners.get(failureDomain)?.close();
    this.#owners.delete(failureDomain);
  }

  #broadcast(failureDomain: string, term: number, holder?: string): void {
    const news = { failureDomain, term, ...(holder === undefined ? {} : { holder }) };
    this.#options.mesh.peers().forEach((peer) => {
      peer.call('owner.changed', news, { timeoutMs: NOTIFY_MS }).catch(() => this.#missed('owner'));
    });
  }

  async #tell<M extends Method>(
    failureDomain: string,
    method: M,
    req: MethodReq<M>,
  ): Promise<void> {
    const holder = this.holder(failureDomain);
    const peer = holder === undefined ? undefined : this.#options.mesh.peer(holder);
    try {
      if (peer === undefined) this.#missed(method);
      else await peer.call(method, req, { timeoutMs: NOTIFY_MS });
    } catch {
      this.#missed(method);
    }
  }

  /** Lost notifications are found by the owner's rescan. */
  #missed(what: string): void {
    this.#options.ctx.metrics.count('owner.notify-missed', 1, { what });
  }
}
