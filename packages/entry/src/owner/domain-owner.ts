/**
 * One ownership of a failure domain: a loop that feeds events to the scheduler and carries its decisions out.
 * It ends for good when the lease is lost; the next one is a new object with a higher term.
 */
import { isDeepStrictEqual } from 'node:util';
import {
  toProblem,
  type Bundle,
  type CopyCounts,
  type DomainScheduler,
  type JobRow,
  type MethodReq,
  type ProcessContext,
  type SchedulerEvent,
  type SchedulerSummary,
  type Shape,
  type TaskEnd,
} from '@zincspan/core';
import { ClaimKeeper } from '../claim/claim-keeper.js';
import { ClaimStore } from '../claim/claim-store.js';
import { JobStore } from '../job/job-store.js';
import { DEFAULT_LIMITS } from './attempt-runner.js';
import { AllotmentKeeper } from './allotment-keeper.js';
import { DecisionRunner } from './decision-runner.js';
import type { DomainOwnerOptions } from './domain-owner-options.js';
import { GuardOrders } from './guard-orders.js';
import { JobKeeper } from './job-keeper.js';
import { JobMover } from './job-mover.js';
import type { Ownership } from './ownership.js';
import { recover, reconcile, rescan } from './recovery.js';
import { SystemTimers, type Timers } from './timers.js';
import { WorkerWatch } from './worker-watch.js';
import { WriteQueue } from './write-queue.js';

/** Time between two looks for jobs whose notification was lost, in ms. */
const RESCAN_MS = 10_000;

/** Owner of one failure domain under one term. */
export class DomainOwner {
  readonly failureDomain: string;

  readonly term: number;

  readonly #options: DomainOwnerOptions;

  readonly #ctx: ProcessContext;

  readonly #timers: Timers;

  readonly #closing = new AbortController();

  readonly #own: Ownership;

  readonly #jobs: JobKeeper;

  readonly #claims: ClaimKeeper;

  readonly #decisions: DecisionRunner;

  readonly #mover: JobMover;

  readonly #allotments: AllotmentKeeper;

  #scheduler: DomainScheduler | undefined;

  /** The kind of scheduler that the bundle asked for when this owner began. */
  #policy: Bundle['policy']['scheduler'] | undefined;

  /** Copies of guarantees as they were told last. */
  #copies: CopyCounts | undefined;

  #open = false;

  #pumping = false;

  #cancelTimer: (() => void) | undefined;

  #cancelRescan: (() => void) | undefined;

  #unsubscribe: (() => void) | undefined;

  constructor(options: DomainOwnerOptions) {
    this.#options = options;
    this.failureDomain = options.failureDomain;
    this.term = options.term;
    this.#ctx = options.ctx;
    this.#timers = options.timers ?? new SystemTimers();
    this.#own = this.#ownership(options);
    this.#jobs = new JobKeeper(this.#own);
    this.#claims = new ClaimKeeper(this.#own, { isInUse: (key) => this.#jobs.isWithin(key) });
    this.#decisions = new DecisionRunner({
      own: this.#own,
      jobs: this.#jobs,
      claims: this.#claims,
      knownWorkers: options.knownWorkers,
      isStoreDown: options.isStoreDown ?? (() => false),
    });
    this.#allotments = new AllotmentKeeper({
      own: this.#own,
      table: options.table,
      demand: (account) => this.#scheduler?.quotaDemand?.(account),
    });
    this.#mover = new JobMover({
      own: this.#own,
      jobs: this.#jobs,
      elsewhere: options.elsewhere,
      waitMs: ({ account, spec }) => this.expectedWaitMs(account, spec.kind, spec.shape) ?? 0,
      isStoreDown: options.isStoreDown ?? (() => false),
    });
  }

  /** Rebuilds the view, settles what is found half-way, and starts deciding. */
  async open(): Promise<void> {
    const { bundles } = this.#options;
    this.#unsubscribe = bundles.subscribe(() => this.#bundleChanged());
    if (bundles.current === undefined) return;
    await this.#begin(bundles.current.bundle);
  }

  /** Stops deciding at once. What runs goes on running for the next owner to find. */
  close(): void {
    this.#closing.abort();
    this.#unsubscribe?.();
    this.#cancelTimer?.();
    this.#cancelRescan?.();
    this.#mover.stop();
    this.#allotments.stop();
    this.#own.workers.stop();
    this.#jobs.close();
    this.#claims.close();
  }

  /** Figures of the scheduler, once there is one. */
  summary(): SchedulerSummary | undefined {
    return this.#scheduler?.summary(this.#ctx.clock.wall());
  }

  /** Expected time until a job of this shape would start, in ms, once there is a scheduler. */
  expectedWaitMs(account: string, kind: string, shape: Shape): number | undefined {
    return this.#scheduler?.expectedWaitMs(account, kind, shape, this.#ctx.clock.wall());
  }

  /** Takes a job that was just written, here or by another entry. */
  jobQueued(row: JobRow, version: number): void {
    if (this.#open) this.#jobs.adopt({ row, version });
  }

  /** Cancels a job whose row says so. True once it is surely written that it never ran. */
  async cancelJob(key: string): Promise<boolean> {
    if (await this.cancelQueued(key)) return true;
    await this.#jobs.cancel(key);
    return false;
  }

  /** Cancels a job of which nothing is reserved. False if it isn't one. */
  async cancelQueued(key: string): Promise<boolean> {
    return this.#open && (await this.#jobs.cancelQueued(key));
  }

  /** Reads a claim again that a caller has made or released. */
  async claimChanged(account: string, id: string): Promise<void> {
    if (this.#open) await this.#claims.changed(account, id);
  }

  /** A call of this guard is being answered: it takes that as a sign that it is in contact with its owner. */
  guardAnswered(guard: string): void {
    this.#own.orders.noteAnswered(guard, this.#ctx.clock.now());
  }

  /** A guard says that a member is prepared. */
  taskReady({ ref, incarnation }: MethodReq<'task.ready'>): void {
    const runner = this.#jobs.runner(ref.key);
    if (runner?.attempt === ref.attempt) runner.memberReady(ref.member, incarnation);
  }

  /** A guard says that a member has ended. One that no attempt waits for may be forgotten. */
  taskEnded(end: TaskEnd, guard: string): void {
    if (this.#jobs.memberEnded(end) || this.#claims.memberEnded(end)) return;
    if (!this.#open) return;
    const to = { guard, incarnation: end.incarnation };
    this.#own.background('forget', this.#own.orders.send(to, 'gang.forget', { ref: end.ref }));
  }

  /** Lagged usage of running tasks. */
  taskUsage({ usages }: MethodReq<'task.usage'>): void {
    usages.forEach(({ ref, cores, memoryMb, progress }) => {
      if (this.#jobs.runner(ref.key)?.attempt !== ref.attempt) return;
      const { key, member } = ref;
      this.#own.post({ type: 'job-usage', key, member, cores, memoryMb, progress });
    });
  }

  /** The table answers again: decisions that waited for it are carried out. */
  storeIsBack(): void {
    this.#wake();
  }

  #ownership(options: DomainOwnerOptions): Ownership {
    const { failureDomain, term, ctx, table, bundles, directory, watch, onStaleTerm } = options;
    const writer = new WriteQueue({ table, metrics: ctx.metrics });
    const post = (event: SchedulerEvent): void => this.#post(event);
    const onGuard = (guard: string): void => this.#guardChanged(guard);
    return {
      failureDomain,
      term,
      ctx,
      bundles,
      jobs: new JobStore({ table, writer }),
      claims: new ClaimStore({ table, writer }),
      workers: new WorkerWatch({ failureDomain, directory, post, onGuard }),
      orders: new GuardOrders({ failureDomain, term, directory, onStaleTerm }),
      timers: this.#timers,
      limits: options.limits ?? DEFAULT_LIMITS,
      watch,
      signal: this.#closing.signal,
      post,
      background: (what, work) => this.#inBackground(what, work),
    };
  }

  #inBackground(what: string, work: Promise<unknown>): void {
    work.catch((err: unknown) => {
      this.#ctx.metrics.count('owner.internal-error', 1, { what });
      this.#ctx.log.error({ what, failureDomain: this.failureDomain, err }, 'owner failed');
    });
  }

  async #begin(bundle: Bundle): Promise<void> {
    const { createScheduler, failureDomain } = this.#options;
    this.#policy = bundle.policy.scheduler;
    this.#scheduler = createScheduler({ failureDomain, bundle });
    this.#allotments.bundleChanged(bundle);
    this.#tellCopies();
    this.#own.workers.start();
    await recover(this.#own, this.#jobs, this.#claims);
    if (this.#closing.signal.aborted) return;
    this.#open = true;
    this.#ctx.timeline.record('owner.open', failureDomain, {
      term: this.term,
      jobs: this.#jobs.size,
      claims: this.#claims.size,
    });
    this.#planRescan();
    this.#mover.start();
    this.#allotments.start();
    this.#wake();
  }

  #bundleChanged(): void {
    const bundle = this.#options.bundles.current?.bundle;
    if (bundle === undefined || this.#closing.signal.aborted) return;
    if (this.#scheduler === undefined) this.#own.background('opening', this.#begin(bundle));
    else if (bundle.policy.scheduler !== this.#policy) this.#options.onOutdated();
    else {
      this.#post({ type: 'bundle', bundle });
      this.#allotments.bundleChanged(bundle);
      this.#tellCopies();
    }
  }

  #guardChanged(guard: string): void {
    this.#jobs.guardChanged(guard);
    if (!this.#open) return;
    this.#own.background('reconcile', reconcile(this.#own, this.#jobs, this.#claims, guard));
  }

  #post(event: SchedulerEvent): void {
    if (this.#closing.signal.aborted || this.#scheduler === undefined) return;
    this.#scheduler.apply(event, this.#ctx.clock.wall());
    if (event.type === 'job-ended') this.#claims.jobEnded();
    if (event.type === 'job-queued') this.#allotments.wake();
    this.#wake();
  }

  /** Decides soon, once for all that happens until then. */
  #wake(): void {
    if (this.#pumping || !this.#open) return;
    this.#pumping = true;
    queueMicrotask(() => {
      this.#pumping = false;
      this.#pump();
    });
  }

  #pump(): void {
    if (this.#closing.signal.aborted || this.#scheduler === undefined) return;
    this.#cancelTimer?.();
    const now = this.#ctx.clock.wall();
    this.#decisions.run(this.#scheduler.decide(now));
    const next = this.#scheduler.nextDecisionAt(now);
    if (next === undefined) return;
    this.#cancelTimer = this.#timers.after(Math.max(1, next - now), () => this.#wake());
  }

  /** Tells which copies of guarantees are this failure domain's, if that changed. */
  #tellCopies(): void {
    const counts = this.#options.copies.of(this.failureDomain);
    if (isDeepStrictEqual(counts, this.#copies)) return;
    this.#copies = counts;
    this.#post({ type: 'guarantee-copies', counts });
  }

  #planRescan(): void {
    this.#cancelRescan = this.#timers.after(RESCAN_MS, () => {
      this.#tellCopies();
      void this.#rescan();
    });
  }

  async #rescan(): Promise<void> {
    try {
      if (this.#options.isStoreDown?.() !== true) {
        await rescan(this.#own, this.#jobs, this.#claims);
      }
    } catch (err) {
      this.#ctx.metrics.count('owner.rescan-failed', 1, { kind: toProblem(err).kind });
    }
    if (!this.#closing.signal.aborted) this.#planRescan();
  }
}
