/** The owner of a cell at work, for one term: recovery, contacts of guards, passes, writes. */
import {
  ProblemError,
  problem,
  type CellContact,
  type CellOrders,
  type Peer,
  type ProcessContext,
} from '@zincspan/core';
import { AdviceBook } from '../advice/advice-book.js';
import { AdviceDesk } from '../advice/advice-desk.js';
import type { Advisor } from '../advice/advisor.js';
import type { CellConfig } from '../config/cell-config.js';
import { JOB_TABLE } from '../job/job-rows.js';
import { JobView, type KnownJob } from '../job/job-view.js';
import type { RowStore } from '../store/row-store.js';
import { DurationBook } from '../placing/duration-book.js';
import { readTable } from '../store/table-follower.js';
import { ordersFor, takeUpContact } from './contact-handler.js';
import { EndedSweeper } from './ended-sweeper.js';
import { Fleet } from './fleet.js';
import { leaseLengthMs } from './lease-length.js';
import { OwnedJob } from './owned-job.js';
import { findOccupants } from './occupants.js';
import { decidePass, type ReclaimBounds } from './placing-pass.js';
import { ProgressWriter } from './progress-writer.js';
import { RunBook } from './run-book.js';
import { evacuate, stopStandstills } from './run-watch.js';
import {
  QueueMeans,
  describeStep,
  durationsOf,
  findClaims,
  objectiveMs,
  totalWork,
} from './standings.js';
import { pause } from '../clock/pause.js';

/** Pause between passes when nothing happens, in ms: time alone changes what may be placed. */
const PASS_EVERY_MS = 200;

/** A page of the table may take this long when an owner starts, in ms. */
const LOAD_TIMEOUT_MS = 2500;

const LOAD_PAUSE_MS = 100;

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

/** What an owner is made of. */
export interface CellOwnerOptions {
  ctx: ProcessContext;
  store: RowStore;
  view: JobView;
  /** Undefined where no queue needs it. */
  advisor: Advisor | undefined;
  term: number;
  ownerVersion: number;
  /** Longest authority that a contact gives, in ms. */
  leaseMs: number;
  reclaim: ReclaimBounds;
  /** Ended jobs are shown for this long, in ms. */
  keepEndedMs: number;
  config: () => CellConfig | undefined;
  /** When the store last confirmed this owner, on the monotonic clock. */
  confirmedAt: () => number;
  onConfirmed: (sentAt: number) => void;
  /** This term is over, for the reason given. */
  onDeposed: (reason: string) => void;
}

/** One term. */
export class CellOwner {
  readonly #options: CellOwnerOptions;

  readonly #book: RunBook;

  readonly #writer: ProgressWriter;

  readonly #sweeper: EndedSweeper;

  readonly #means = new QueueMeans();

  readonly #durations = new DurationBook();

  readonly #advice = new AdviceBook();

  readonly #adviceDesk: AdviceDesk | undefined;

  /** Links to guards, by VM. */
  readonly #guards = new Map<string, Peer>();

  readonly #poking = new Set<string>();

  #loaded = false;

  #stopped = false;

  #passTimer: NodeJS.Timeout | undefined;

  #passDue = false;

  constructor(options: CellOwnerOptions) {
    this.#options = options;
    const { ctx, store, view, ownerVersion, leaseMs, keepEndedMs, advisor } = options;
    if (advisor !== undefined) {
      this.#adviceDesk = new AdviceDesk({
        ctx,
        advisor,
        book: this.#advice,
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
      store,
      ownerVersion,
      events: {
        onDurable: (jobs) => this.#noteDurable(jobs),
        onCancelled: (job) => this.#book.cancel(job),
        onRemoved: (job) => this.#book.jobs.delete(job.id),
        onDeposed: options.onDeposed,
        onConfirmed: options.onConfirmed,
      },
    });
    this.#book = new RunBook({
      ctx,
      advice: this.#advice,
      durations: this.#durations,
      fleet: new Fleet({ clock: ctx.clock, leaseMs, earlierGrantMs: UNCONFIRMED_MS }),
      events: {
        onChanged: (job) => this.#writer.mark(job),
        onNews: (vm) => this.#poke(vm),
      },
    });
  }

  start(): void {
    void this.#load();
    this.#sweeper.start();
  }

  stop(): void {
    this.#stopped = true;
    this.#sweeper.stop();
    this.#writer.stop();
    clearTimeout(this.#passTimer);
  }

  /** A job's rows were seen to have changed. */
  noteJob(known: KnownJob): void {
    if (!this.#loaded || this.#stopped) return;
    const own = this.#book.jobs.get(known.id);
    if (own !== undefined) {
      if (known.cancelled && !own.cancelled) this.#book.cancel(own);
      this.#wantPass();
      return;
    }
    // A job that this owner has ended isn't taken up again, also when a feed that is behind tells of it only now.
    if (this.#book.ended.has(known.id) || known.progressVersion > 0) return;
    this.#add(known);
    this.#wantPass();
  }

  /** Takes up what a guard tells and answers its orders. Throws ProblemError `not-owner` before the books are read. */
  contact(req: CellContact, peer: Peer): CellOrders {
    if (!this.#loaded || this.#stopped) throw notOwner();
    const { term } = this.#options;
    const vm = peer.process.id;
    this.#guards.set(vm, peer);
    const worker = this.#book.fleet.get(vm);
    takeUpContact(this.#book, worker, req);
    this.#wantPass();
    const orders = ordersFor(this.#book, worker, req);
    if (!this.#hasAuthority()) return { term, leaseMs: 0, ...orders, starts: [] };
    const leaseMs = leaseLengthMs(worker.runner, this.#options.leaseMs);
    worker.grant(this.#book.now(), leaseMs);
    return { term, leaseMs, ...orders };
  }

  #hasAuthority(): boolean {
    return this.#book.now() - this.#options.confirmedAt() < UNCONFIRMED_MS;
  }

  /** Reads all jobs anew: only now that the term is durable can no earlier owner change them any more. */
  async #load(): Promise<void> {
    const { ctx, store, view, term } = this.#options;
    while (!this.#stopped) {
      const read = await readTable(store, JOB_TABLE, { timeoutMs: LOAD_TIMEOUT_MS });
      if (read !== undefined) {
        const fresh = new JobView({ ctx, store });
        read.rows.forEach((row) => fresh.apply(row));
        [...fresh.all()].forEach((known) => this.#add(known));
        this.#loaded = true;
        // What the feed told while the table was being read.
        [...view.all()].forEach((known) => this.noteJob(known));
        ctx.log.info({ term, jobs: this.#book.jobs.size, rows: read.rows.length }, 'owner at work');
        this.#pass();
        return;
      }
      await pause(LOAD_PAUSE_MS);
    }
  }

  #add(known: KnownJob): void {
    const { submission } = known;
    const job = new OwnedJob(known);
    submission.steps.forEach(({ estimateMs }) =>
      this.#durations.noteEstimate(submission.queue, estimateMs),
    );
    const expectedMs = durationsOf(job, this.#durations);
    this.#means.note(submission.queue, totalWork(submission.steps, expectedMs));
    this.#book.add(job);
    if (job.progress.begun) return;
    const { account, queue, acceptedAtMs, steps } = submission;
    this.#book.log('job taken up', {
      job: job.id,
      account,
      queue,
      priority: job.terms.priority,
      sinceAcceptedMs: Math.round(this.#options.ctx.clock.wall() - acceptedAtMs),
      objectiveMs: Math.round(objectiveMs(job, this.#durations)),
      steps: steps.map(describeStep).join(' '),
    });
  }

  #wantPass(): void {
    if (this.#passDue || this.#stopped) return;
    this.#passDue = true;
    setImmediate(() => this.#pass());
  }

  #pass(): void {
    this.#passDue = false;
    if (this.#stopped || !this.#loaded) return;
    clearTimeout(this.#passTimer);
    this.#passTimer = setTimeout(() => this.#pass(), PASS_EVERY_MS);
    const startedAt = this.#book.now();
    if (startedAt - this.#options.confirmedAt() > DECIDE_WITHIN_MS) return;
    try {
      this.#book.loseUnreachable();
      stopStandstills(this.#book);
      evacuate(this.#book);
      this.#book.keepCheckpoints();
      this.#book.openDue(this.#options.ctx.clock.wall());
      this.#refreshTerms();
      this.#decide();
      this.#book.forgetEnded();
      this.#advice.keepOnly((jobId) => this.#book.jobs.has(jobId));
    } catch (err) {
      this.#options.ctx.metrics.count('pass.failed');
      this.#options.ctx.log.error({ err }, 'a placing pass failed');
    }
    this.#options.ctx.metrics.timing('pass', this.#book.now() - startedAt);
  }

  #refreshTerms(): void {
    const queues = new Map(this.#options.config()?.queues.map((queue) => [queue.name, queue]));
    this.#book.jobs.forEach((job) => {
      const queue = queues.get(job.submission.queue);
      if (queue !== undefined) job.noteTerms(queue);
    });
  }

  #decide(): void {
    const jobs = [...this.#book.jobs.values()];
    const guaranteed = new Map(
      this.#options
        .config()
        ?.accounts.map(({ name, guaranteedAccelerators }) => [name, guaranteedAccelerators]),
    );
    const claims = findClaims(jobs, (account) => guaranteed.get(account) ?? 0);
    const { starts, stops, questions } = decidePass({
      jobs,
      claims,
      rooms: this.#book.fleet.rooms(),
      occupants: findOccupants(this.#book, claims),
      means: this.#means,
      durations: this.#durations,
      bounds: this.#options.reclaim,
      now: this.#book.now(),
      wallMs: this.#options.ctx.clock.wall(),
      advice: this.#advice,
    });
    starts.forEach((start) => this.#book.start(start));
    stops.forEach(({ occupant, forJob }) => {
      const [first] = occupant.assignments;
      if (first !== undefined) this.#book.stop(first, `room for ${forJob.id}`);
      forJob.noteRoomMade(this.#book.now());
    });
    this.#adviceDesk?.want(questions);
  }

  #noteDurable(jobs: readonly OwnedJob[]): void {
    const ids = new Set(jobs.map(({ id }) => id));
    [...this.#book.fleet.all()].forEach((worker) => {
      const concerned = [...worker.assignments.values()].some(({ jobId }) => ids.has(jobId));
      if (concerned || worker.hasPendingEndOf(ids)) this.#poke(worker.vm);
    });
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
