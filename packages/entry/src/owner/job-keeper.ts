/** The jobs of an owned failure domain: their rows as known, and the attempts under way. */
import {
  cancelQueued,
  isFinal,
  jobKey,
  type AttemptConclusion,
  type Decision,
  type JobChange,
  type Problem,
  type Shape,
  type TaskEnd,
} from '@zincspan/core';
import type { JobRecord } from '../job/job-store.js';
import { AttemptRunner, type RowWritten } from './attempt-runner.js';
import { JobCommits } from './job-commits.js';
import { newJobEntry, type JobEntry } from './job-entry.js';
import { foundJob, queuedJob, tellConclusion } from './job-events.js';
import type { PlacedMember } from './placed-member.js';
import { kindOf, taskOf, type Ownership } from './ownership.js';
import { backoffMs, pause } from './timers.js';

type DecisionOf<T extends Decision['type']> = Extract<Decision, { type: T }>;

/** Keeps jobs from being queued to their end. */
export class JobKeeper {
  readonly #own: Ownership;

  readonly #commits: JobCommits;

  readonly #entries = new Map<string, JobEntry>();

  constructor(own: Ownership) {
    this.#own = own;
    this.#commits = new JobCommits(own);
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

  /** Whether a job runs, or is about to, inside this claim. */
  isWithin(claim: string): boolean {
    return [...this.#entries.values()].some(({ runner }) => runner?.within === claim);
  }

  /** Takes in a job as read from its row. `lastAttempt`: highest number that its guards have seen. */
  adopt(record: JobRecord, options: { lastAttempt?: number } = {}): void {
    const { row } = record;
    const key = jobKey(row.account, row.id);
    if (isFinal(row) || this.#entries.has(key)) return;
    if (row.failureDomain !== this.#own.failureDomain) return;
    const entry = newJobEntry(key, record, options);
    this.#entries.set(key, entry);
    if (row.state === 'started') this.#resume(entry);
    else this.#own.post({ type: 'job-queued', job: queuedJob(row) });
    if (row.cancelRequested) this.#own.background('cancellation', this.cancel(key));
  }

  /** Has the scheduler think again about a queued job. */
  enqueueAgain(key: string): void {
    const entry = this.#entries.get(key);
    if (entry === undefined || entry.runner !== undefined || entry.closing) return;
    this.#own.post({ type: 'job-queued', job: queuedJob(entry.record.row, entry) });
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
    const change = {
      type: 'withdraw',
      state: 'refused',
      released: true,
      kind,
      detail,
      at,
    } as const;
    await this.#withdraw(key, change);
  }

  /** Jobs that wait and of which nothing is reserved. */
  idle(): JobEntry[] {
    return [...this.#entries.values()].filter(isIdle);
  }

  /** Gives a queued job to another failure domain. The record as written, or undefined if it stays. */
  async move(entry: JobEntry, failureDomain: string): Promise<JobRecord | undefined> {
    const { key, lastAttempt } = entry;
    const change = { type: 'move', failureDomain, lastAttempt } as const;
    return (await this.#withdraw(key, change)) ? entry.record : undefined;
  }

  /** Cancels a job: a queued one at once, another once its members have stopped. */
  async cancel(key: string): Promise<void> {
    const entry = this.#entries.get(key);
    if (entry?.runner !== undefined) entry.runner.cancel();
    else await this.cancelQueued(key);
  }

  /** Cancels a job of which nothing is reserved. False if it isn't one. */
  async cancelQueued(key: string): Promise<boolean> {
    return this.#withdraw(key, cancelQueued(this.#own.ctx.clock.wall()));
  }

  /** Takes a guard's word that a member has ended. False if the attempt isn't known. */
  memberEnded(end: TaskEnd): boolean {
    const runner = this.runner(end.ref.key);
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

  /** A job found started: its attempt goes on under this owner. */
  #resume(entry: JobEntry): void {
    const { row } = entry.record;
    const found = foundJob(row);
    this.#own.post(found);
    this.#note('job.resumed', entry, { attempt: row.attempt });
    this.#run(entry, row.members, { started: true, within: found.within });
  }

  #run(
    entry: JobEntry,
    members: PlacedMember[],
    { started = false, within }: { started?: boolean; within?: string | undefined },
  ): void {
    const { orders, timers, limits, ctx } = this.#own;
    const { row } = entry.record;
    const kind = kindOf(this.#own, row.spec.kind);
    const runner: AttemptRunner = new AttemptRunner({
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
      writeRow: (onUnknown) => this.#writeStarted(entry, runner, onUnknown),
      onConclude: (conclusion) =>
        this.#own.background('conclusion', this.#conclude(entry, runner, conclusion)),
    });
    Object.assign(entry, { runner });
    runner.begin();
  }

  async #writeStarted(
    entry: JobEntry,
    runner: AttemptRunner,
    onUnknown: () => void,
  ): Promise<RowWritten> {
    const { attempt, members } = runner;
    const start = { attempt, members, stopWanted: () => runner.stopWanted };
    const written = await this.#commits.started(entry, start, onUnknown);
    if (written !== 'written') return written;
    Object.assign(entry, { refusals: 0 });
    this.#own.post({ type: 'job-started', key: entry.key });
    this.#note('job.started', entry, { attempt });
    return written;
  }

  async #conclude(
    entry: JobEntry,
    runner: AttemptRunner,
    conclusion: AttemptConclusion,
  ): Promise<void> {
    if (this.#own.signal.aborted) return;
    Object.assign(entry, { closing: true });
    const written = await this.#commits.concluded(entry, runner, conclusion);
    if (written === 'closed') return;
    await this.#backOff(entry, conclusion);
    if (this.#own.signal.aborted) return;
    Object.assign(entry, { closing: false, runner: undefined });
    const { state, cancelRequested } = entry.record.row;
    const end = conclusion.type === 'ended' ? conclusion.end : conclusion.reason;
    this.#note(`job.${state}`, entry, { attempt: runner.attempt, end });
    this.#settled(entry, runner, conclusion);
    if (cancelRequested || runner.cancelWanted) await this.cancel(entry.key);
    await runner.forget();
  }

  /** A gang that guards keep refusing is placed again ever more slowly. */
  async #backOff(entry: JobEntry, conclusion: AttemptConclusion): Promise<void> {
    if (conclusion.type !== 'released' || conclusion.reason !== 'unplaced') return;
    const { timers, signal } = this.#own;
    const { refusals } = entry;
    Object.assign(entry, { refusals: refusals + 1 });
    if (refusals > 0) await pause(timers, backoffMs(refusals), signal);
  }

  /** Tells the scheduler how an attempt came out, by what the row now says. */
  #settled(entry: JobEntry, runner: AttemptRunner, conclusion: AttemptConclusion): void {
    const { row } = entry.record;
    if (conclusion.type === 'ended' && conclusion.checkpoint !== undefined) {
      Object.assign(entry, { savedMs: entry.savedMs + conclusion.ranMs });
    }
    tellConclusion(this.#own, { entry, runner, conclusion });
    const isHere = row.failureDomain === this.#own.failureDomain;
    if (!isHere) this.#own.post({ type: 'job-cancelled', key: entry.key });
    else if (row.state === 'queued') return;
    if (isHere && row.state === 'started' && row.attempt === runner.attempt) {
      // Resuming it would conclude it the same way for ever.
      throw new Error(`The end of attempt ${runner.attempt} of ${entry.key} was not accepted.`);
    }
    // Final, or another owner's attempt got into the row before this owner's term was known everywhere.
    this.#drop(entry);
    this.adopt(entry.record, entry);
  }

  async #withdraw(key: string, change: JobChange): Promise<boolean> {
    const entry = this.#entries.get(key);
    if (entry === undefined || !isIdle(entry)) return false;
    entry.closing = true;
    // First, so that it isn't placed while its end is being written. It may have been, and wait for the table.
    this.#own.post({ type: 'job-unplaced', key });
    this.#own.post({ type: 'job-cancelled', key });
    const written = await this.#commits.withdrawn(entry, change);
    entry.closing = false;
    if (written === 'closed') return false;
    const { state, failureDomain } = entry.record.row;
    if (failureDomain === this.#own.failureDomain) this.#note(`job.${state}`, entry);
    else this.#note('job.moved', entry, { to: failureDomain });
    this.#drop(entry);
    this.adopt(entry.record, entry);
    return written === 'written';
  }

  #drop({ key }: JobEntry): void {
    this.#entries.delete(key);
    this.#own.watch.changed(key);
  }

  #note(type: string, { key }: JobEntry, detail: Record<string, string | number> = {}): void {
    const { ctx, failureDomain } = this.#own;
    ctx.metrics.count(type);
    ctx.timeline.record(type, key, { ...detail, job: key, failureDomain });
  }
}

/** Whether a job waits, with nothing reserved and nothing being written. */
function isIdle({ runner, closing }: JobEntry): boolean {
  return runner === undefined && !closing;
}
