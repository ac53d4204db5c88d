/** The jobs of an owned failure domain: their rows as known, and the attempts under way. */
import {
  cancelQueued,
  changeAfterAttempt,
  isFinal,
  jobKey,
  RetryBudget,
  type AttemptConclusion,
  type Decision,
  type JobChange,
  type JobRow,
  type Problem,
  type Shape,
  type TaskEnd,
} from '@zincspan/core';
import type { JobRecord } from '../job/job-store.js';
import { AttemptRunner, type RowWritten } from './attempt-runner.js';
import { commitJob, type Commit } from './commit-job.js';
import type { PlacedMember } from './member-driver.js';
import { kindOf, policyOf, taskOf, type Ownership } from './ownership.js';
import { queuedJob, tellConclusion } from './job-events.js';

type DecisionOf<T extends Decision['type']> = Extract<Decision, { type: T }>;

/** A job and its attempt, if one is under way. */
interface JobEntry {
  key: string;
  record: JobRecord;
  runner?: AttemptRunner | undefined;
  /** Highest attempt number ever given to guards: a number is never used twice. */
  lastAttempt: number;
  evictions: number;
  savedMs: number;
  /** Its end is being written. */
  closing: boolean;
}

/** Keeps jobs from being queued to their end. */
export class JobKeeper {
  readonly #own: Ownership;

  readonly #entries = new Map<string, JobEntry>();

  readonly #retries = new RetryBudget();

  constructor(own: Ownership) {
    this.#own = own;
  }

  get size(): number {
    return this.#entries.size;
  }

  has(key: string): boolean {
    return this.#entries.has(key);
  }

  /** The attempt under way of a job, if any. */
  runner(key: string): AttemptRunner | undefined {
    return this.#entries.get(key)?.runner;
  }

  /** The shape of a job that is known here. */
  shape(key: string): Shape | undefined {
    return this.#entries.get(key)?.record.row.spec.shape;
  }

  /** Has the scheduler think again about a queued job. */
  enqueueAgain(key: string): void {
    const entry = this.#entries.get(key);
    if (entry !== undefined && entry.runner === undefined && !entry.closing) this.#enqueue(entry);
  }

  /** Whether a job runs, or is about to, inside this claim. */
  isWithin(claim: string): boolean {
    return [...this.#entries.values()].some(({ runner }) => runner?.within === claim);
  }

  /** Takes in a job as read from its row. `lastAttempt`: highest number that its guards have seen. */
  adopt(record: JobRecord, { lastAttempt = 0 }: { lastAttempt?: number } = {}): void {
    const { row } = record;
    const key = jobKey(row.account, row.id);
    if (isFinal(row) || this.#entries.has(key)) return;
    if (row.failureDomain !== this.#own.failureDomain) return;
    const entry: JobEntry = {
      key,
      record,
      lastAttempt: Math.max(row.attempt, lastAttempt),
      evictions: 0,
      savedMs: 0,
      closing: false,
    };
    this.#entries.set(key, entry);
    if (row.state === 'started') this.#resume(entry);
    else this.#enqueue(entry);
    if (row.cancelRequested) void this.cancel(key);
  }

  /** Carries out a placement. */
  place({ key, members, within }: DecisionOf<'place'>): void {
    const entry = this.#entries.get(key);
    if (entry === undefined || entry.runner !== undefined || entry.closing) return;
    const located = this.#own.workers.locate(members);
    if ('missing' in located) {
      this.#own.post({ type: 'job-unplaced', key, worker: located.missing });
      return;
    }
    entry.lastAttempt += 1;
    this.#note('job.placed', entry, { attempt: entry.lastAttempt });
    this.#run(entry, located.placed, { within });
  }

  /** Checkpoints where possible, stops, and queues the job again. */
  evict({ key, reason, limitMs, for: claimant }: DecisionOf<'evict'>): void {
    const entry = this.#entries.get(key);
    if (entry?.runner === undefined) return;
    const { checkpointable } = kindOf(this.#own, entry.record.row.spec.kind);
    entry.evictions += 1;
    this.#note('job.evicting', entry, { reason, for: claimant ?? '' });
    entry.runner.evict({ limitMs, checkpoint: checkpointable });
  }

  /** Refuses a queued job for good. */
  async refuse(key: string, { kind, detail }: Problem): Promise<void> {
    const at = this.#own.ctx.clock.wall();
    await this.#withdraw(key, {
      type: 'withdraw',
      state: 'refused',
      released: true,
      kind,
      detail,
      at,
    });
  }

  /** Cancels a job: a queued one at once, another once its members have stopped. */
  async cancel(key: string): Promise<void> {
    const entry = this.#entries.get(key);
    if (entry?.runner !== undefined) entry.runner.cancel();
    else await this.cancelQueued(key);
  }

  /** Cancels a job of which nothing is reserved. False if it isn't one. */
  async cancelQueued(key: string): Promise<boolean> {
    const entry = this.#entries.get(key);
    if (entry === undefined || entry.closing || entry.runner !== undefined) return false;
    await this.#withdraw(key, cancelQueued(this.#own.ctx.clock.wall()));
    return true;
  }

  /** Whether a job that a caller wants cancelled has run, as far as is known now. */
  ran(key: string): 'not-run' | 'ran' | 'unknown' {
    const row = this.#entries.get(key)?.record.row;
    return row?.outcome?.ran ?? 'unknown';
  }

  /** Takes a guard's word that a member has ended. False if the attempt isn't known. */
  memberEnded(end: TaskEnd): boolean {
    const runner = this.#entries.get(end.ref.key)?.runner;
    if (runner?.attempt !== end.ref.attempt) return false;
    runner.memberEnded(end);
    return true;
  }

  /** Something happened to a guard: members there are asked after. */
  guardChanged(guard: string): void {
    this.#entries.forEach(({ runner }) => runner?.guardChanged(guard));
  }

  /** Gives no more orders. */
  close(): void {
    this.#entries.forEach(({ runner }) => runner?.close());
  }

  #enqueue(entry: JobEntry): void {
    this.#own.post({ type: 'job-queued', job: queuedJob(entry.record.row, entry) });
  }

  /** A job found started: its attempt goes on under this owner. */
  #resume(entry: JobEntry): void {
    const { row } = entry.record;
    const { members, startedAt = row.submittedAt } = row;
    const within =
      row.spec.claim === undefined ? undefined : `claims/${row.account}/${row.spec.claim}`;
    const found = {
      type: 'job-found',
      job: queuedJob(entry.record.row, entry),
      members,
      startedAt,
    } as const;
    this.#own.post(within === undefined ? found : { ...found, within });
    this.#note('job.resumed', entry, { attempt: row.attempt });
    this.#run(entry, members, { started: true, within });
  }

  #run(
    entry: JobEntry,
    members: PlacedMember[],
    { started = false, within }: { started?: boolean; within?: string | undefined },
  ): void {
    const { orders, timers, limits, ctx } = this.#own;
    const { row } = entry.record;
    const kind = kindOf(this.#own, row.spec.kind);
    const runner = new AttemptRunner({
      key: entry.key,
      attempt: started ? row.attempt : entry.lastAttempt,
      members,
      taskOf: (member) => taskOf(row, kind, member),
      within,
      started,
      orders,
      timers,
      clock: ctx.clock,
      limits,
      writeRow: (onUnknown) => this.#writeStarted(entry, onUnknown),
      onConclude: (conclusion) => {
        void this.#conclude(entry, conclusion);
      },
    });
    this.#entries.set(entry.key, Object.assign(entry, { runner }));
    runner.begin();
  }

  async #writeStarted(entry: JobEntry, onUnknown: () => void): Promise<RowWritten> {
    const { runner, key, record } = entry;
    if (runner === undefined) return 'superseded';
    const { attempt, members } = runner;
    const { term, ctx } = this.#own;
    const at = ctx.clock.wall();
    const first = record.row.attempt === 0;
    const written = await this.#commit(
      entry,
      () => ({ type: 'start', attempt, term, members, at }),
      {
        onUnknown,
        giveUp: () => runner.stopWanted,
      },
    );
    if (written === 'forbidden') {
      return entry.record.row.cancelRequested ? 'cancelled' : 'superseded';
    }
    if (written !== 'written') return 'unwritten';
    if (first) this.#retries.firstAttempt(record.row.account, this.#retryShare());
    this.#own.post({ type: 'job-started', key });
    this.#note('job.started', entry, { attempt });
    return 'written';
  }

  async #conclude(entry: JobEntry, conclusion: AttemptConclusion): Promise<void> {
    const { runner, key } = entry;
    if (runner === undefined || this.#own.signal.aborted) return;
    const { attempt } = runner;
    const { idempotent } = kindOf(this.#own, entry.record.row.spec.kind);
    const at = this.#own.ctx.clock.wall();
    const failed = conclusion.type === 'ended' && conclusion.end === 'failed';
    const mayRetry = failed && idempotent && this.#retries.take(entry.record.row.account);
    const isOurs = (row: JobRow) => row.state === 'queued' || row.attempt === attempt;
    const change = (row: JobRow) =>
      isOurs(row) ? changeAfterAttempt(row, conclusion, { idempotent, mayRetry, at }) : undefined;
    Object.assign(entry, { closing: true });
    const written = await this.#commit(entry, change);
    if (written === 'closed') return;
    Object.assign(entry, { closing: false, runner: undefined });
    await this.#settled(entry, runner, conclusion);
    this.#note(`job.${entry.record.row.state}`, entry, { attempt, end: endOf(conclusion) });
    if (!this.#entries.has(key)) return;
    if (entry.record.row.cancelRequested) await this.cancel(key);
  }

  /** Tells the scheduler how an attempt came out, by what the row now says. */
  async #settled(
    entry: JobEntry,
    runner: AttemptRunner,
    conclusion: AttemptConclusion,
  ): Promise<void> {
    const { row } = entry.record;
    if (conclusion.type === 'ended' && conclusion.checkpoint !== undefined) {
      Object.assign(entry, { savedMs: entry.savedMs + conclusion.ranMs });
    }
    tellConclusion(this.#own, { row, runner, conclusion });
    if (isFinal(row)) this.#drop(entry);
    else if (row.state === 'started' && row.attempt !== runner.attempt) {
      // Another owner's attempt got into the row before this owner's term was known everywhere.
      this.#drop(entry);
      this.adopt(entry.record, { lastAttempt: entry.lastAttempt });
    }
    await runner.forget();
  }

  async #withdraw(key: string, change: JobChange): Promise<void> {
    const entry = this.#entries.get(key);
    if (entry === undefined || entry.closing || entry.runner !== undefined) return;
    entry.closing = true;
    const written = await this.#commit(entry, (row) =>
      row.state === 'queued' ? change : undefined,
    );
    entry.closing = false;
    if (written === 'closed') return;
    this.#drop(entry);
    this.#own.post({ type: 'job-cancelled', key });
    this.#note(`job.${entry.record.row.state}`, entry);
    if (!isFinal(entry.record.row)) this.adopt(entry.record, { lastAttempt: entry.lastAttempt });
  }

  #commit(
    entry: JobEntry,
    change: (row: JobRow) => JobChange | undefined,
    extra: { onUnknown?: () => void; giveUp?: () => boolean } = {},
  ): Promise<Commit> {
    const { jobs, timers, signal, watch } = this.#own;
    return commitJob({ entry, change, store: jobs, timers, signal, ...extra }).then((written) => {
      if (written === 'written') watch.changed(entry.key);
      return written;
    });
  }

  #drop({ key }: JobEntry): void {
    this.#entries.delete(key);
    this.#own.watch.changed(key);
  }

  #retryShare(): number {
    return policyOf(this.#own, 'retryBudget', 0);
  }

  #note(type: string, { key }: JobEntry, detail: Record<string, string | number> = {}): void {
    const { ctx, failureDomain } = this.#own;
    ctx.metrics.count(type);
    ctx.timeline.record(type, key, { ...detail, job: key, failureDomain });
  }
}

function endOf(conclusion: AttemptConclusion): string {
  return conclusion.type === 'ended' ? conclusion.end : conclusion.reason;
}
