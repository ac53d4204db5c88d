/** The owner of a cell at work, for one term: recovery, contacts of guards, passes, writes. */
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
import { AdviceDesk } from '../advice/advice-desk.js';
import type { Advisor } from '../advice/advisor.js';
import type { CellConfig } from '../config/cell-config.js';
import { EvacuationWatch } from '../evacuation/evacuation-watch.js';
import {
  Evacuations,
  type EvacuationChange,
  type EvacuationSource,
} from '../evacuation/evacuations.js';
import { JOB_TABLE } from '../job/job-rows.js';
import { JobView, type KnownJob } from '../job/job-view.js';
import { runnerIdOf } from '../runner/incarnation-id.js';
import type { Row, RowKey, RowStore } from '../store/row-store.js';
import { TableFollower } from '../store/table-follower.js';
import type { Worker } from '../worker/worker.js';
import { CONTACT_TIMEOUT_MS } from '../guard/guard-app.js';
import { MAX_START_DURATION_MS } from '../guard/run-order-dispatcher.js';
import { ordersFor, takeUpContact } from './contact-handler.js';
import { EndedSweeper } from './ended-sweeper.js';
import { leaseLengthMs } from './lease-length.js';
import type { OwnedJob } from './owned-job.js';
import type { ReclaimBounds } from './pass-input.js';
import { ProgressWriter, type OwnerTransact } from './progress-writer.js';
import type { RunBook } from './run-book.js';
import { Scheduler } from './scheduler.js';

/** Pause between passes when nothing happens, in ms: time alone changes what may be placed. */
const PASS_EVERY_MS = 200;

/**
 * Shortest pause between two passes, in ms: what happens meanwhile is decided together, as each pass looks over all workers.
 * An urgent job of 2.5 s doesn't feel it.
 */
const PASS_PAUSE_MS = 25;

/**
 * An owner that the store hasn't confirmed for this long gives no authority any more, in ms: longer than the outages
 * that tasks are to outlive, since a rival needs the store too. A new owner waits as long for workers that it can't
 * reach.
 */
export const UNCONFIRMED_MS = 12_000;

/**
 * One that hasn't been confirmed for this long decides nothing, in ms: a rival takes over after about as long, and what
 * its silent workers do is then the rival's to judge.
 */
const DECIDE_WITHIN_MS = 1500;

/** A guard is given this long to take a poke, in ms. */
const POKE_TIMEOUT_MS = 1000;

/** From the order in an owner's answer to its last try at a runner, in ms: the contact's time, and the guard's for a start. */
const ORDER_TAKES_MS = CONTACT_TIMEOUT_MS + MAX_START_DURATION_MS;

/** What is known of evacuations is good for this long at least, in ms: two reads of them. */
const LEAST_STALE_MS = 900;

/** The operator's evacuations. */
export interface EvacuationBounds {
  source: EvacuationSource;
  /** Nothing may start in an evacuated failure domain after this time, in ms. */
  applyMs: number;
}

/** What an owner is made of. */
export interface CellOwnerOptions {
  ctx: ProcessContext;
  store: RowStore;
  /** Undefined where no queue needs it. */
  advisor: Advisor | undefined;
  term: number;
  ownerVersion: number;
  /** Longest authority that a contact gives, in ms. */
  leaseMs: number;
  reclaim: ReclaimBounds;
  evacuation: EvacuationBounds;
  /** Ended jobs are shown for this long, in ms. */
  keepEndedMs: number;
  config: () => CellConfig | undefined;
  /** Where the operator's configuration stands. */
  configKey: RowKey;
  /** When the store last confirmed this owner, on the monotonic clock. */
  confirmedAt: () => number;
  /** Writes in this owner's name. */
  transact: OwnerTransact;
  /** This term is over, for the reason given. */
  onDeposed: (reason: string) => void;
}

/** One term. */
export class CellOwner {
  readonly #options: CellOwnerOptions;

  /** All jobs of the cell. */
  readonly #view: JobView;

  /** Started with the term: what it reads first, no earlier owner can change any more. */
  readonly #follower: TableFollower;

  readonly #scheduler: Scheduler;

  readonly #writer: ProgressWriter;

  readonly #sweeper: EndedSweeper;

  readonly #evacuationWatch: EvacuationWatch;

  readonly #adviceDesk: AdviceDesk | undefined;

  /** Links to guards, by VM. */
  readonly #guards = new Map<string, Peer>();

  readonly #poking = new Set<string>();

  #loaded = false;

  #stopped = false;

  #passTimer: NodeJS.Timeout | undefined;

  #passDue = false;

  #passedAt = -Infinity;

  constructor(options: CellOwnerOptions) {
    this.#options = options;
    const { ctx, store, ownerVersion, leaseMs, reclaim, config, keepEndedMs, advisor } = options;
    const { source, applyMs } = options.evacuation;
    const staleAfterMs = Math.max(LEAST_STALE_MS, applyMs - ORDER_TAKES_MS);
    const evacuations = new Evacuations({ source, staleAfterMs });
    const view = new JobView({ ctx });
    view.subscribe((known) => this.#noteJob(known));
    this.#view = view;
    this.#follower = new TableFollower({
      ctx,
      store,
      table: JOB_TABLE,
      onRows: (rows) => rows.forEach((row) => view.apply(row)),
      onLoaded: (rows) => this.#open(rows),
    });
    this.#scheduler = new Scheduler({
      ctx,
      leaseMs,
      earlierGrantMs: UNCONFIRMED_MS,
      reclaim,
      evacuations,
      config,
      events: {
        onChanged: (job) => this.#writer.mark(job),
        onNews: (vm) => this.#poke(vm),
      },
    });
    this.#evacuationWatch = new EvacuationWatch({
      ctx,
      store,
      evacuations,
      onChanges: (changes) => this.#noteEvacuations(changes),
    });
    if (advisor !== undefined) {
      this.#adviceDesk = new AdviceDesk({
        ctx,
        advisor,
        book: this.#scheduler.advice,
        onAdvice: () => this.#wantPass(),
      });
    }
    this.#sweeper = new EndedSweeper({
      ctx,
      store,
      view,
      ownerVersion,
      keepEndedMs,
      onRemoved: (jobId) => this.#book.ended.delete(jobId),
    });
    this.#writer = new ProgressWriter({
      ctx,
      transact: options.transact,
      ownerVersion,
      evacuations,
      configKey: options.configKey,
      events: {
        onEvacuationConflict: (named, rows, sentAt) =>
          this.#noteEvacuations(evacuations.noteConflict(named, rows, sentAt)),
        onDurable: (jobs) => this.#noteDurable(jobs),
        onAccepted: (rows) => this.#takeUpAccepted(rows),
        onCancelled: (job) => this.#book.cancel(job),
        onRemoved: (job) => this.#book.jobs.delete(job.id),
        onDeposed: options.onDeposed,
      },
    });
  }

  get #book(): RunBook {
    return this.#scheduler.book;
  }

  start(): void {
    this.#follower.start();
    this.#evacuationWatch.start();
    this.#sweeper.start();
  }

  stop(): void {
    this.#stopped = true;
    this.#follower.stop();
    this.#evacuationWatch.stop();
    this.#sweeper.stop();
    this.#writer.stop();
    clearTimeout(this.#passTimer);
  }

  /** A row that an entry has written: the feed may tell of it a second later. */
  noteWritten(row: Row): void {
    this.#view.apply({ ...row, deleted: false });
  }

  /** Accepts a job with the owner's next write. Throws ProblemError `not-owner` before the books are read: nothing was done. */
  async accept(call: AcceptanceCall): Promise<AcceptanceResult> {
    if (!this.#loaded || this.#stopped) throw notOwner();
    if (this.#view.get(call.jobId) !== undefined) return { outcome: 'exists' };
    const result = await this.#writer.accept(call);
    this.#options.ctx.metrics.count(`owner.accept-${result.outcome}`);
    return result;
  }

  /** How many jobs of a queue wait; undefined before the books are read. */
  waiting(queue: string): number | undefined {
    return this.#loaded && !this.#stopped ? this.#view.waiting(queue) : undefined;
  }

  #noteJob(known: KnownJob): void {
    if (!this.#loaded || this.#stopped) return;
    const own = this.#book.jobs.get(known.id);
    if (own !== undefined) {
      if (known.cancelled && !own.cancelled) this.#book.cancel(own);
      this.#wantPass();
      return;
    }
    // A job that this owner has ended isn't taken up again, also when a feed that is behind tells of it only now.
    if (this.#book.ended.has(known.id) || known.progressVersion > 0) return;
    this.#scheduler.add(known);
    this.#wantPass();
  }

  /** Takes up what a guard tells and answers its orders. Throws ProblemError `not-owner` before the books are read. */
  contact(req: CellContact, peer: Peer): CellOrders {
    if (!this.#loaded || this.#stopped) throw notOwner();
    const { term } = this.#options;
    const vm = peer.process.id;
    this.#options.ctx.metrics.count('owner.contact');
    this.#guards.set(vm, peer);
    const worker = this.#book.fleet.get(vm);
    this.#grantReturned(worker, req);
    if (takeUpContact(this.#book, worker, req)) this.#wantPass();
    const orders = ordersFor(this.#book, worker, req);
    const unconfirmedMs = this.#unconfirmedMs();
    const told = { term, unconfirmedMs, ...orders };
    if (unconfirmedMs >= UNCONFIRMED_MS) return { ...told, leaseMs: 0, starts: [] };
    const leaseMs = leaseLengthMs(worker.runner, this.#options.leaseMs);
    worker.grantLease(this.#book.now(), leaseMs);
    return { ...told, leaseMs };
  }

  /** Calls that were meant for the life before may have given the one that took its id the longest lease there is. */
  #grantReturned(worker: Worker, { runner }: CellContact): void {
    const earlier = worker.runner?.id;
    if (runner === undefined || earlier === undefined || earlier === runner.id) return;
    if (runnerIdOf(earlier) !== runnerIdOf(runner.id)) return;
    worker.grantLease(this.#book.now(), this.#options.leaseMs);
  }

  /** At once, so that what starts of them goes with the next write of a slow store, not with the one after. */
  #takeUpAccepted(rows: readonly Row[]): void {
    rows.forEach((row) => this.noteWritten(row));
    this.#pass();
  }

  #unconfirmedMs(): number {
    return this.#book.now() - this.#options.confirmedAt();
  }

  #open(rows: number): void {
    if (this.#stopped) return;
    const { ctx, term } = this.#options;
    [...this.#view.all()].forEach((known) => this.#scheduler.add(known));
    this.#loaded = true;
    ctx.log.info({ term, jobs: this.#book.jobs.size, rows }, 'owner at work');
    this.#pass();
  }

  #noteEvacuations(changes: readonly EvacuationChange[]): void {
    if (this.#stopped) return;
    this.#scheduler.noteEvacuations(changes);
    if (changes.length > 0) this.#wantPass();
  }

  #wantPass(): void {
    if (this.#passDue || this.#stopped) return;
    this.#passDue = true;
    clearTimeout(this.#passTimer);
    const pauseMs = Math.max(0, this.#passedAt + PASS_PAUSE_MS - this.#book.now());
    this.#passTimer = setTimeout(() => this.#pass(), pauseMs);
  }

  #pass(): void {
    this.#passDue = false;
    if (this.#stopped || !this.#loaded) return;
    clearTimeout(this.#passTimer);
    this.#passTimer = setTimeout(() => this.#pass(), PASS_EVERY_MS);
    const startedAt = this.#book.now();
    this.#passedAt = startedAt;
    if (this.#unconfirmedMs() > DECIDE_WITHIN_MS) return;
    try {
      const questions = this.#scheduler.pass();
      this.#adviceDesk?.want(questions);
    } catch (err) {
      this.#options.ctx.metrics.count('pass.failed');
      this.#options.ctx.log.error({ err }, 'a placing pass failed');
    }
    this.#options.ctx.metrics.timing('pass', this.#book.now() - startedAt);
  }

  #noteDurable(jobs: readonly OwnedJob[]): void {
    const ids = new Set(jobs.map(({ id }) => id));
    this.#book.fleet.concernedBy(ids).forEach(({ vm }) => this.#poke(vm));
    this.#wantPass();
  }

  /** Makes the guard come for its orders. If that fails, its next contact brings them. */
  #poke(vm: string): void {
    const peer = this.#guards.get(vm);
    if (peer === undefined || peer.closed || this.#poking.has(vm) || this.#stopped) return;
    this.#poking.add(vm);
    setImmediate(() => {
      this.#poking.delete(vm);
      peer.call('cell.poke', {}, { timeoutMs: POKE_TIMEOUT_MS }).catch((err: unknown) => {
        this.#options.ctx.metrics.count('owner.poke-failed');
        this.#options.ctx.log.info({ vm, err: String(err) }, 'poking a guard failed');
      });
    });
  }
}

/** Thrown to a guard that calls the wrong entry. */
export function notOwner(): ProblemError {
  return new ProblemError(
    problem('not-owner', {
      detail: 'This entry does not own the cell, or has not read its jobs yet.',
      remedy: 'Look the owner up in the store and call it.',
    }),
  );
}
