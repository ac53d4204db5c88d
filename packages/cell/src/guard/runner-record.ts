/** What a guard keeps of one life of its runner: the last listing, and what came to pass since it was asked for. */
import type { CellContact, RunName, RunStatus } from '@zincspan/core';
import { PresentRuns, type TimedRun, type Silence } from './present-runs.js';
import type { Refused } from './run-orders.js';
import { RunnerLease } from './runner-lease.js';
import type { Listing, RunnerReport } from './runner-port.js';
import { isSameDemand } from '../job/submission.js';
import { runKey } from '../job/task-name.js';
import { lifeName } from '../runner/life-name.js';

/** A runner that hasn't answered for this long counts as out of reach, in ms: a look that failed took 1.3 s. */
const UNREACHABLE_AFTER_MS = 1500;

interface At {
  /** On the guard's monotonic clock. */
  at: number;
}

/** One life of a runner. All moments are on the guard's monotonic clock, in ms. */
export class RunnerRecord {
  readonly lease: RunnerLease;

  /** Names this life to the owner. */
  readonly life: string;

  /** When this life became known. */
  readonly since: number;

  #report: RunnerReport;

  #listing: Listing = { running: [], ends: [], bornMs: undefined };

  /** When the last listing was asked for. */
  #listedAt = -Infinity;

  #answeredAt: number;

  /** Runs that were started after the last listing was asked for. */
  readonly #started = new Map<string, RunName & At>();

  /** Refused runs, told of only once a later listing shows that they aren't there. */
  readonly #refused = new Map<string, Refused>();

  /** Stops that were answered and not yet seen in a listing. */
  readonly #stopped = new Map<string, RunName & At>();

  readonly #present = new PresentRuns();

  #confirmedEnd = 0;

  /** It said that it ends, and nothing since. */
  #left = false;

  /** Another life has answered in its place. */
  #isReplaced = false;

  constructor({
    report,
    now,
    heldUntil = -Infinity,
  }: {
    report: RunnerReport;
    now: number;
    /** Calls that were meant for an earlier life with its id may have given it a lease until then. */
    heldUntil?: number;
  }) {
    this.life = lifeName(report);
    this.lease = new RunnerLease({ heldUntil });
    this.since = now;
    this.#report = report;
    this.#answeredAt = now;
  }

  get report(): RunnerReport {
    return this.#report;
  }

  /** False until a first listing came: before, nothing follows from what isn't listed. */
  get isListed(): boolean {
    return this.#listedAt !== -Infinity;
  }

  get confirmedEnd(): number {
    return this.#confirmedEnd;
  }

  /** True if ends wait for the owner. */
  get hasUnconfirmedEnds(): boolean {
    return this.#listing.ends.some(({ number }) => number > this.#confirmedEnd);
  }

  /** True if only a listing that is asked for now shows what became of a run that was stopped or refused. */
  get awaitsListing(): boolean {
    const isUnlisted = [...this.#refused.values()].some(({ at }) => at >= this.#listedAt);
    return isUnlisted || this.#stopped.size > 0;
  }

  /** It takes nothing new, and ends soon or has ended. */
  get isLeaving(): boolean {
    return this.#report.draining || this.#left;
  }

  /** Another life has answered in its place: what is sent to it would reach that one. */
  get isReplaced(): boolean {
    return this.#isReplaced;
  }

  isReachable(now: number): boolean {
    if (this.#left || this.#isReplaced) return false;
    return now - this.#answeredAt < UNREACHABLE_AFTER_MS;
  }

  /** A later heartbeat of this life. Answers what is new in it, if that lets something start or bars it. */
  noteReport(report: RunnerReport): 'draining' | 'capacity' | undefined {
    const earlier = this.#report;
    if (report.sequence <= earlier.sequence) return undefined;
    // The farewell names no life: one that goes on has sent none, an earlier life with its id has.
    this.#left = false;
    this.#report = { ...report, draining: report.draining || earlier.draining };
    if (report.draining && !earlier.draining) return 'draining';
    return isSameDemand(report.capacity, earlier.capacity) ? undefined : 'capacity';
  }

  noteLeave(): void {
    this.#left = true;
  }

  noteReplaced(): void {
    this.#isReplaced = true;
  }

  /** Since when it hasn't answered, and what ran there then; undefined while it answers. */
  get silence(): Silence | undefined {
    return this.#present.silence;
  }

  /** It answered, if only to refuse. */
  noteAnswer(now: number): void {
    this.#answeredAt = now;
    this.#present.noteAnswer();
  }

  /** It gave no answer; `sent`: starts on their way. True if it is the first time since it answered. */
  noteNoAnswer(now: number, sent: readonly TimedRun[]): boolean {
    return this.#present.noteNoAnswer(now, sent);
  }

  noteStarted(run: RunName, now: number): void {
    this.#started.set(runKey(run), { ...run, at: now });
    this.#present.noteStarted(run, now);
  }

  noteRefused(refused: Refused): void {
    this.#refused.set(runKey(refused), refused);
  }

  /** Barred from the first answer on: a stop that was repeated says nothing new. */
  noteStopped(run: RunName, now: number): void {
    const key = runKey(run);
    if (!this.#stopped.has(key)) this.#stopped.set(key, { ...run, at: now });
  }

  /** The owner took up what it was told. */
  noteTold({ refused }: CellContact, confirmedEnd: number): void {
    this.#confirmedEnd = Math.max(this.#confirmedEnd, confirmedEnd);
    refused.forEach((each) => this.#refused.delete(runKey(each)));
  }

  /** A listing that was asked for at `sentAt`. True if the owner should hear of it at once. */
  noteListing(
    { clockMs, ...listing }: Listing & { clockMs: number },
    { sentAt, now }: { sentAt: number; now: number },
  ): boolean {
    const isFirst = !this.isListed;
    const hasNewEnd = listing.ends.some(({ number }) => !this.#hasEnd(number));
    this.lease.noteClock(clockMs, now);
    this.#listing = listing;
    this.#listedAt = sentAt;
    this.noteAnswer(now);
    this.#dropSeen(sentAt);
    this.#present.noteRunning(this.#running(), sentAt);
    const hasRefused = [...this.#refused.values()].some(({ at }) => at < sentAt);
    return isFirst || hasNewEnd || hasRefused;
  }

  /**
   * All that the owner should know, but for the orders in progress. `mayStart`: something may start by those, with a lease of its own.
   * What is only being barred keeps no lease: a runner that has gone for good never answers that, and the run would be held for good.
   */
  contact(
    now: number,
    inProgress: readonly RunName[],
    { mayStart }: { mayStart: boolean },
  ): CellContact {
    const { service, failureDomain, labels, capacity, remainingMs, coldMs } = this.#report;
    const reachable = this.isReachable(now);
    const refused = [...this.#refused.values()];
    return {
      runner: {
        id: this.life,
        service,
        failureDomain,
        labels,
        capacity,
        draining: this.isLeaving,
        ...(remainingMs === undefined ? {} : { remainingMs }),
        ...(coldMs === undefined ? {} : { coldMs }),
        reachable,
        leaseLapsed: !reachable && !mayStart && this.lease.isOver(now),
      },
      running: this.#running(),
      ends: this.#listing.ends,
      inProgress: [
        ...inProgress,
        ...refused.filter(({ at }) => at >= this.#listedAt).map(({ task, run }) => ({ task, run })),
      ],
      refused: refused
        .filter(({ at }) => at < this.#listedAt)
        .map(({ task, run, reason }) => ({ task, run, reason })),
    };
  }

  #hasEnd(number: number): boolean {
    return this.#listing.ends.some((end) => end.number === number);
  }

  /** What happened before this listing was asked for is in it, or isn't so. */
  #dropSeen(sentAt: number): void {
    const listed = new Set([...this.#listing.running, ...this.#listing.ends].map(runKey));
    this.#started.forEach(({ at }, key) => {
      if (at < sentAt) this.#started.delete(key);
    });
    this.#refused.forEach((_, key) => {
      if (listed.has(key)) this.#refused.delete(key);
    });
    this.#stopped.forEach(({ task, run, at }, key) => {
      if (at >= sentAt) return;
      this.#stopped.delete(key);
      // Barred, and not there: it never ran, or its end was confirmed before.
      if (!listed.has(key)) this.noteRefused({ task, run, reason: 'old', at });
    });
  }

  /** The listing, and what was started since it was asked for. */
  #running(): RunStatus[] {
    const { running, ends } = this.#listing;
    const known = new Set([...running, ...ends].map(runKey));
    const since = [...this.#started.values()]
      .filter((run) => !known.has(runKey(run)))
      .map(({ task, run }) => ({ task, run, checkpoint: '', percent: 0 }));
    return [...running, ...since];
  }
}
