/** One term of a cell's owner: loads the jobs, answers contacts from guards, runs placement passes, writes progress. */
import {
  ProblemError,
  problem,
  type AcceptanceCall,
  type AcceptanceResult,
  type CellContact,
  type CellOrders,
  type Peer,
  type ProcessContext,
} from '@zincspan/core';
import { ApprovalRequester } from '../advice/approval-requester.js';
import type { Advisor } from '../advice/advisor.js';
import type { CellConfig } from '../config/cell-config.js';
import type { CellPolicy } from '../config/cell-policy.js';
import { EvacuationPoller } from '../evacuation/evacuation-poller.js';
import {
  Evacuations,
  type EvacuationChange,
  type EvacuationSource,
} from '../evacuation/evacuations.js';
import { JOB_TABLE } from '../job/job-rows.js';
import { JobView, type JobSnapshot } from '../job/job-view.js';
import type { LoadMonitor, ReceivedReports } from '../load/load-monitor.js';
import { runnerIdOf } from '../runner/incarnation-id.js';
import type { Row, RowKey, RowStore } from '../store/row-store.js';
import { TableFollower } from '../store/table-follower.js';
import type { Worker } from '../worker/worker.js';
import { CONTACT_TIMEOUT_MS } from '../guard/guard-app.js';
import { MAX_START_DURATION_MS } from '../guard/run-order-dispatcher.js';
import { ordersFor, applyContact } from './contact-handler.js';
import { EndedJobSweeper } from './ended-job-sweeper.js';
import { grantLease } from './lease-duration.js';
import type { OwnedJob } from './owned-job.js';
import type { ReclaimBounds } from './placement-types.js';
import { ProgressWriter, type FencedTransact } from './progress-writer.js';
import type { RunRegistry } from './run-registry.js';
import { Scheduler } from './scheduler.js';

/** Interval between passes when no event occurs, in ms: time alone can change what may be placed. */
const PASS_INTERVAL_MS = 200;

/**
 * Minimum interval between passes, in ms. Each pass goes over all workers, so events within the interval share one. The delay
 * doesn't matter even to an urgent job of 2.5 s.
 */
const MIN_PASS_INTERVAL_MS = 25;

/**
 * An owner that the store hasn't confirmed for this long grants no more leases, in ms. Longer than the store outages that
 * tasks have to survive, which is safe because a rival needs the store too. A new owner waits as long for workers that it
 * can't reach, since its predecessor may have granted leases until then.
 */
export const LEASE_MAX_UNCONFIRMED_MS = 12_000;

/**
 * An owner that the store hasn't confirmed for this long runs no passes, in ms: a rival takes over after about as long, and
 * then only the rival may judge workers that have stopped reporting.
 */
const DECISION_MAX_UNCONFIRMED_MS = 1500;

/** Time-out of `cell.poke` calls to guards, in ms. */
const NOTIFY_TIMEOUT_MS = 1000;

/** Longest time from an order in the owner's answer to its last attempt at the runner, in ms: a contact plus a guard's start. */
const ORDER_DELIVERY_MS = CONTACT_TIMEOUT_MS + MAX_START_DURATION_MS;

/** Minimum time for which known evacuations stay valid, in ms: two reads of them. */
const MIN_EVACUATION_VALIDITY_MS = 900;

/** Where the operator's evacuations are stored, and how soon they apply. */
export interface EvacuationOptions {
  source: EvacuationSource;
  /** No run may start in an evacuated failure domain after this time, in ms. */
  applyMs: number;
}

/** Dependencies and settings of an owner. */
export interface CellOwnerOptions {
  ctx: ProcessContext;
  store: RowStore;
  /** Undefined if no queue needs advice. */
  advisor: Advisor | undefined;
  term: number;
  ownerVersion: number;
  /** Longest lease that a contact grants, in ms. */
  leaseMs: number;
  reclaim: ReclaimBounds;
  evacuation: EvacuationOptions;
  /** Ended jobs stay visible for this long, in ms. */
  keepEndedMs: number;
  config: () => CellConfig | undefined;
  policy: CellPolicy;
  /** The newest refusals of all entries. */
  refusals: () => readonly ReceivedReports[];
  /** Row of the operator's configuration. */
  configKey: RowKey;
  /** When the store last confirmed this owner, on the monotonic clock. */
  confirmedAt: () => number;
  /** Sends a write that takes effect only while this entry owns the cell. */
  transact: FencedTransact;
  /** The term has ended, for the given reason. */
  onOwnershipLost: (reason: string) => void;
}

/** Owner of a cell for one term. */
export class CellOwner {
  readonly #options: CellOwnerOptions;

  /** All jobs of the cell. */
  readonly #jobView: JobView;

  /** Started with the term, so that no earlier owner can change what it reads first. */
  readonly #jobFollower: TableFollower;

  readonly #scheduler: Scheduler;

  readonly #progressWriter: ProgressWriter;

  readonly #endedJobSweeper: EndedJobSweeper;

  readonly #evacuationPoller: EvacuationPoller;

  readonly #approvalRequester: ApprovalRequester | undefined;

  /** Links to guards, by VM. */
  readonly #guardPeers = new Map<string, Peer>();

  readonly #notifying = new Set<string>();

  #loaded = false;

  #stopped = false;

  #passTimer: NodeJS.Timeout | undefined;

  #passScheduled = false;

  #lastPassAt = -Infinity;

  constructor(options: CellOwnerOptions) {
    this.#options = options;
    const { ctx, store, ownerVersion, leaseMs, reclaim, config, policy, keepEndedMs, advisor } =
      options;
    const { source, applyMs } = options.evacuation;
    const staleAfterMs = Math.max(MIN_EVACUATION_VALIDITY_MS, applyMs - ORDER_DELIVERY_MS);
    const evacuations = new Evacuations({ source, staleAfterMs });
    const view = new JobView({ ctx });
    view.subscribe((known) => this.#onJobChanged(known));
    this.#jobView = view;
    this.#jobFollower = new TableFollower({
      ctx,
      store,
      table: JOB_TABLE,
      onRows: (rows) => rows.forEach((row) => view.apply(row)),
      onLoaded: (rows) => this.#onLoaded(rows),
    });
    this.#scheduler = new Scheduler({
      ctx,
      leaseMs,
      previousOwnerGrantMs: LEASE_MAX_UNCONFIRMED_MS,
      reclaim,
      evacuations,
      config,
      policy,
      load: options,
      events: {
        onProgressChanged: (job) => this.#progressWriter.markDirty(job),
        onOrdersChanged: (vm) => this.#notifyGuard(vm),
      },
    });
    this.#evacuationPoller = new EvacuationPoller({
      ctx,
      store,
      evacuations,
      onChanges: (changes) => this.#applyEvacuations(changes),
    });
    if (advisor !== undefined) {
      this.#approvalRequester = new ApprovalRequester({
        ctx,
        advisor,
        cache: this.#scheduler.approvals,
        onUpdate: () => this.#schedulePass(),
      });
    }
    this.#endedJobSweeper = new EndedJobSweeper({
      ctx,
      store,
      view,
      ownerVersion,
      keepEndedMs,
      onRemoved: (jobId) => this.#registry.endedJobs.delete(jobId),
    });
    this.#progressWriter = new ProgressWriter({
      ctx,
      transact: options.transact,
      ownerVersion,
      evacuations,
      configKey: options.configKey,
      events: {
        onEvacuationConflict: (named, rows, sentAt) =>
          this.#applyEvacuations(evacuations.applyConflict(named, rows, sentAt)),
        onDurable: (jobs) => this.#onDurable(jobs),
        onAccepted: (rows) => this.#addAccepted(rows),
        onCancelled: (job) => this.#registry.cancelJob(job),
        onRemoved: (job) => this.#registry.jobs.delete(job.id),
        onOwnershipLost: options.onOwnershipLost,
      },
    });
  }

  /** Load of the cell; undefined if the settings switch admission off. */
  get load(): LoadMonitor | undefined {
    return this.#scheduler.load;
  }

  get #registry(): RunRegistry {
    return this.#scheduler.registry;
  }

  start(): void {
    this.#jobFollower.start();
    this.#evacuationPoller.start();
    this.#endedJobSweeper.start();
  }

  stop(): void {
    this.#stopped = true;
    this.#jobFollower.stop();
    this.#evacuationPoller.stop();
    this.#endedJobSweeper.stop();
    this.#progressWriter.stop();
    clearTimeout(this.#passTimer);
  }

  /** Applies a job row that an entry has written; the store's feed may deliver it a second later. */
  applyWrittenRow(row: Row): void {
    this.#jobView.apply({ ...row, deleted: false });
  }

  /** Accepts a job in the owner's next write. Throws ProblemError `not-owner`, with nothing done, until the jobs are loaded. */
  async accept(call: AcceptanceCall): Promise<AcceptanceResult> {
    if (!this.#loaded || this.#stopped) throw notOwnerError();
    if (this.#jobView.get(call.jobId) !== undefined) return { outcome: 'exists' };
    const result = await this.#progressWriter.accept(call);
    this.#options.ctx.metrics.count(`owner.accept-${result.outcome}`);
    return result;
  }

  /** Number of waiting jobs of a queue; undefined until the jobs are loaded. */
  waitingJobs(queue: string): number | undefined {
    return this.#loaded && !this.#stopped ? this.#jobView.countWaiting(queue) : undefined;
  }

  #onJobChanged(known: JobSnapshot): void {
    if (!this.#loaded || this.#stopped) return;
    const owned = this.#registry.jobs.get(known.id);
    if (owned !== undefined) {
      if (known.cancelled && !owned.cancelled) this.#registry.cancelJob(owned);
      this.#schedulePass();
      return;
    }
    // A job that this owner has ended isn't added again, even if a lagging feed delivers it only now.
    if (this.#registry.endedJobs.has(known.id) || known.progressVersion > 0) return;
    this.#scheduler.add(known);
    this.#schedulePass();
  }

  /** Applies a guard's report and returns its orders. Throws ProblemError `not-owner` until the jobs are loaded. */
  handleContact(req: CellContact, peer: Peer): CellOrders {
    if (!this.#loaded || this.#stopped) throw notOwnerError();
    const { term } = this.#options;
    const vm = peer.process.id;
    this.#options.ctx.metrics.count('owner.contact');
    this.#guardPeers.set(vm, peer);
    const worker = this.#registry.fleet.get(vm);
    this.#grantToReplacedRunner(worker, req);
    const { speeds } = this.#registry;
    if (req.runner !== undefined) speeds.restore(worker, req.runner.id, peer.status);
    if (applyContact(this.#registry, worker, req)) this.#schedulePass();
    const orders = ordersFor(this.#registry, worker, req);
    const unconfirmedMs = this.#unconfirmedMs();
    const answer = { term, unconfirmedMs, ...orders, ...speeds.orderFor(worker, peer.status) };
    if (unconfirmedMs >= LEASE_MAX_UNCONFIRMED_MS) return { ...answer, leaseMs: 0, starts: [] };
    const leaseMs = grantLease(worker, req, {
      now: this.#registry.now(),
      holdMs: this.#options.leaseMs,
    });
    return { ...answer, leaseMs };
  }

  /** Calls meant for a runner's previous incarnation may have given the new one, with the same id, the longest possible lease. */
  #grantToReplacedRunner(worker: Worker, { runner }: CellContact): void {
    const earlier = worker.runner?.id;
    if (runner === undefined || earlier === undefined || earlier === runner.id) return;
    if (runnerIdOf(earlier) !== runnerIdOf(runner.id)) return;
    worker.grantLease(this.#registry.now(), this.#options.leaseMs);
  }

  /** Runs a pass at once: with a slow store, starts of these jobs then go into the next write, not the one after. */
  #addAccepted(rows: readonly Row[]): void {
    rows.forEach((row) => this.applyWrittenRow(row));
    this.#runPass();
  }

  #unconfirmedMs(): number {
    return this.#registry.now() - this.#options.confirmedAt();
  }

  #onLoaded(rows: number): void {
    if (this.#stopped) return;
    const { ctx, term } = this.#options;
    [...this.#jobView.all()].forEach((known) => this.#scheduler.add(known));
    this.#loaded = true;
    ctx.log.info(
      { term, jobs: this.#registry.jobs.size, rows },
      'owner loaded the jobs of the cell',
    );
    this.#runPass();
  }

  #applyEvacuations(changes: readonly EvacuationChange[]): void {
    if (this.#stopped) return;
    this.#scheduler.applyEvacuations(changes);
    if (changes.length > 0) this.#schedulePass();
  }

  #schedulePass(): void {
    if (this.#passScheduled || this.#stopped) return;
    this.#passScheduled = true;
    clearTimeout(this.#passTimer);
    const pauseMs = Math.max(0, this.#lastPassAt + MIN_PASS_INTERVAL_MS - this.#registry.now());
    this.#passTimer = setTimeout(() => this.#runPass(), pauseMs);
  }

  #runPass(): void {
    this.#passScheduled = false;
    if (this.#stopped || !this.#loaded) return;
    clearTimeout(this.#passTimer);
    this.#passTimer = setTimeout(() => this.#runPass(), PASS_INTERVAL_MS);
    const startedAt = this.#registry.now();
    this.#lastPassAt = startedAt;
    if (this.#unconfirmedMs() > DECISION_MAX_UNCONFIRMED_MS) return;
    try {
      const approvalRequests = this.#scheduler.runPass();
      this.#approvalRequester?.requestFirst(approvalRequests);
    } catch (err) {
      this.#options.ctx.metrics.count('pass.failed');
      this.#options.ctx.log.error({ err }, 'placement pass failed');
    }
    this.#options.ctx.metrics.timing('pass', this.#registry.now() - startedAt);
  }

  #onDurable(jobs: readonly OwnedJob[]): void {
    const ids = new Set(jobs.map(({ id }) => id));
    this.#registry.fleet.workersOfJobs(ids).forEach(({ vm }) => this.#notifyGuard(vm));
    this.#schedulePass();
  }

  /** Asks the guard to fetch its orders now. If that fails, its next contact brings them. */
  #notifyGuard(vm: string): void {
    const peer = this.#guardPeers.get(vm);
    if (peer === undefined || peer.closed || this.#notifying.has(vm) || this.#stopped) return;
    this.#notifying.add(vm);
    setImmediate(() => {
      this.#notifying.delete(vm);
      peer.call('cell.poke', {}, { timeoutMs: NOTIFY_TIMEOUT_MS }).catch((err: unknown) => {
        this.#options.ctx.metrics.count('owner.poke-failed');
        this.#options.ctx.log.info(
          { vm, err: String(err) },
          'could not ask the guard to fetch its orders',
        );
      });
    });
  }
}

/** Error for callers that take this entry for the owner of the cell. */
export function notOwnerError(): ProblemError {
  return new ProblemError(
    problem('not-owner', {
      detail: 'This entry does not own the cell, or has not loaded its jobs yet.',
      remedy: 'Look up the owner in the store and call it.',
    }),
  );
}
