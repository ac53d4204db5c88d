/** What a guard knows of one incarnation of its runner: the last listing, and what has happened since it was requested. */
import type { CellContact, RunName, RunStatus } from '@zincspan/core';
import { OutageTracker, type TimestampedRun, type Outage } from './outage-tracker.js';
import type { RefusedRun } from './run-order-dispatcher.js';
import { RunnerLease } from './runner-lease.js';
import type { RunListing, RunnerHeartbeat } from './runner-api.js';
import { isSameDemand } from '../job/submission.js';
import { runKey } from '../job/task-name.js';
import { incarnationId } from '../runner/incarnation-id.js';

/** A runner that hasn't answered for this long counts as unreachable, in ms: longer than a failed poll, which took 1.3 s. */
const UNREACHABLE_AFTER_MS = 1500;

interface Timestamped {
  /** On the guard's monotonic clock. */
  at: number;
}

/** State of one incarnation of a runner. All times are on the guard's monotonic clock, in ms. */
export class RunnerState {
  readonly lease: RunnerLease;

  /** Names this incarnation to the owner. */
  readonly incarnationId: string;

  /** When this incarnation was first known. */
  readonly firstSeenAt: number;

  #heartbeat: RunnerHeartbeat;

  #listing: RunListing = { running: [], ends: [], hasMoreEnds: false, bornMs: undefined };

  /** Keys of the runs that the last listing shows, as running or as ended. */
  #listed = new Set<string>();

  /** When the last listing was requested. */
  #listingSentAt = -Infinity;

  /** When the last listing with all ended runs was requested. Only from such a listing does a run's absence say anything. */
  #fullListingSentAt = -Infinity;

  /** Runs that have ended, and whose ends the runner hasn't listed yet. */
  #unlistedEnds: RunName[] = [];

  #answeredAt: number;

  /** Runs that were started after the last listing was requested. */
  readonly #started = new Map<string, RunName & Timestamped>();

  /** Refused runs, reported only once a later full listing shows that they aren't there. */
  readonly #refused = new Map<string, RefusedRun>();

  /** Stops that were answered and that no full listing reflects yet. */
  readonly #stopped = new Map<string, RunName & Timestamped>();

  readonly #outageTracker = new OutageTracker();

  #confirmedEnd = 0;

  /** The runner deregistered, and has sent no heartbeat since. */
  #isDeregistered = false;

  /** Another incarnation has answered in its place. */
  #isReplaced = false;

  constructor({
    heartbeat,
    now,
    issuedUntil = -Infinity,
  }: {
    heartbeat: RunnerHeartbeat;
    now: number;
    /** Until when a lease may be valid that others have passed to this incarnation; -Infinity if nobody can have. */
    issuedUntil?: number;
  }) {
    this.incarnationId = incarnationId(heartbeat);
    this.lease = new RunnerLease({ issuedUntil });
    this.firstSeenAt = now;
    this.#heartbeat = heartbeat;
    this.#answeredAt = now;
  }

  get heartbeat(): RunnerHeartbeat {
    return this.#heartbeat;
  }

  /** False until the first listing has come: before, a run's absence means nothing. */
  get hasListing(): boolean {
    return this.#listingSentAt !== -Infinity;
  }

  get confirmedEnd(): number {
    return this.#confirmedEnd;
  }

  /** True if the owner hasn't confirmed all listed ends. */
  get hasUnconfirmedEnds(): boolean {
    return this.#listing.ends.some(({ number }) => number > this.#confirmedEnd);
  }

  /** True if only a new listing can show what became of a run that was stopped or refused. */
  get needsListing(): boolean {
    const isUnlisted = [...this.#refused.values()].some(({ at }) => at >= this.#fullListingSentAt);
    return isUnlisted || this.#stopped.size > 0;
  }

  /** The runner accepts no new runs, and ends soon or has ended. */
  get isLeaving(): boolean {
    return this.#heartbeat.draining || this.#isDeregistered;
  }

  /** Another incarnation has answered in its place, and would receive what is sent to this one. */
  get isReplaced(): boolean {
    return this.#isReplaced;
  }

  isReachable(now: number): boolean {
    if (this.#isDeregistered || this.#isReplaced) return false;
    return now - this.#answeredAt < UNREACHABLE_AFTER_MS;
  }

  /** Handles a later heartbeat of this incarnation. Returns what changed, if that affects what may start. */
  noteHeartbeat(heartbeat: RunnerHeartbeat): 'draining' | 'capacity' | undefined {
    const previous = this.#heartbeat;
    if (heartbeat.sequence <= previous.sequence) return undefined;
    // The deregistration doesn't name an incarnation: if this one still sends heartbeats, an earlier one with its id sent it.
    this.#isDeregistered = false;
    this.#heartbeat = { ...heartbeat, draining: heartbeat.draining || previous.draining };
    if (heartbeat.draining && !previous.draining) return 'draining';
    return isSameDemand(heartbeat.capacity, previous.capacity) ? undefined : 'capacity';
  }

  noteDeregistered(): void {
    this.#isDeregistered = true;
  }

  noteReplaced(): void {
    this.#isReplaced = true;
  }

  /** Since when the runner hasn't answered, and what ran there then; undefined while it answers. */
  get outage(): Outage | undefined {
    return this.#outageTracker.outage;
  }

  /** The runner answered, if only to refuse. */
  noteAnswer(now: number): void {
    this.#answeredAt = now;
    this.#outageTracker.noteAnswer();
  }

  /** The runner gave no answer; `pendingStarts`: the starts in flight. True if it is the first time since it answered. */
  noteNoAnswer(now: number, pendingStarts: readonly TimestampedRun[]): boolean {
    return this.#outageTracker.noteNoAnswer(now, pendingStarts);
  }

  noteStarted(run: RunName, now: number): void {
    this.#started.set(runKey(run), { ...run, at: now });
    this.#outageTracker.noteStarted(run, now);
  }

  noteRefused(refused: RefusedRun): void {
    this.#refused.set(runKey(refused), refused);
  }

  /** The run is blocked from the first answer on: a repeated stop adds nothing. */
  noteStopped(run: RunName, now: number): void {
    const key = runKey(run);
    if (!this.#stopped.has(key)) this.#stopped.set(key, { ...run, at: now });
  }

  /** The owner received what was reported to it. */
  noteReported({ refused }: CellContact, confirmedEnd: number): void {
    this.#confirmedEnd = Math.max(this.#confirmedEnd, confirmedEnd);
    refused.forEach((each) => this.#refused.delete(runKey(each)));
  }

  /** Handles a listing that was requested at `sentAt`. True if the owner should hear of it at once. */
  noteListing(
    { clockMs, ...listing }: RunListing & { clockMs: number },
    { sentAt, now }: { sentAt: number; now: number },
  ): boolean {
    const isFirst = !this.hasListing;
    const hasNewEnd = listing.ends.some(({ number }) => !this.#hasEnd(number));
    const known = listing.hasMoreEnds ? [...this.#unlistedEnds, ...this.#running()] : [];
    this.lease.noteClock(clockMs, now);
    this.#listing = listing;
    this.#listed = new Set([...listing.running, ...listing.ends].map(runKey));
    this.#listingSentAt = sentAt;
    if (!listing.hasMoreEnds) this.#fullListingSentAt = sentAt;
    this.noteAnswer(now);
    this.#dropListed();
    this.#noteUnlistedEnds(known);
    this.#outageTracker.noteRunning(this.#running(), sentAt);
    const hasRefused = [...this.#refused.values()].some(({ at }) => at < this.#fullListingSentAt);
    return isFirst || hasNewEnd || hasRefused;
  }

  /**
   * The report to the owner, apart from the orders in progress. `mayStillStart`: an order in progress may still start something,
   * with a lease of its own. A run that is only being blocked doesn't keep the lease alive: a runner that is gone for good never
   * answers the block, and the run would be held for ever.
   */
  contact(
    now: number,
    inProgress: readonly RunName[],
    { mayStillStart }: { mayStillStart: boolean },
  ): CellContact {
    const { service, failureDomain, labels, capacity, remainingMs, coldMs } = this.#heartbeat;
    const reachable = this.isReachable(now);
    const refused = [...this.#refused.values()];
    return {
      runner: {
        id: this.incarnationId,
        service,
        failureDomain,
        labels,
        capacity,
        draining: this.isLeaving,
        ...(remainingMs === undefined ? {} : { remainingMs }),
        ...(coldMs === undefined ? {} : { coldMs }),
        reachable,
        leaseLapsed: !reachable && !mayStillStart && this.lease.hasExpired(now),
      },
      running: this.#running(),
      ends: this.#listing.ends,
      inProgress: [
        ...inProgress,
        ...this.#unlistedEnds,
        ...refused
          .filter(({ at }) => at >= this.#fullListingSentAt)
          .map(({ task, run }) => ({ task, run })),
      ],
      refused: refused
        .filter(({ at }) => at < this.#fullListingSentAt)
        .map(({ task, run, reason }) => ({ task, run, reason })),
    };
  }

  #hasEnd(number: number): boolean {
    return this.#listing.ends.some((end) => end.number === number);
  }

  /** Drops what the listing shows, and what happened before a full listing was requested and didn't come about by that. */
  #dropListed(): void {
    this.#started.forEach(({ at }, key) => {
      if (at < this.#listingSentAt) this.#started.delete(key);
    });
    this.#refused.forEach((_, key) => {
      if (this.#listed.has(key)) this.#refused.delete(key);
    });
    this.#stopped.forEach(({ task, run, at }, key) => {
      const isListed = this.#listed.has(key);
      const isGone = !isListed && at < this.#fullListingSentAt;
      if (isGone || (isListed && at < this.#listingSentAt)) this.#stopped.delete(key);
      // Blocked, and not there: it never ran, or its end was confirmed before.
      if (isGone) this.noteRefused({ task, run, reason: 'old', at });
    });
  }

  /**
   * Keeps the runs known before a listing without all ends that it doesn't show: their ends come in a later one. Reported as not
   * there, they would be started again.
   */
  #noteUnlistedEnds(known: readonly RunName[]): void {
    this.#unlistedEnds = known
      .filter((run) => !this.#listed.has(runKey(run)) && !this.#started.has(runKey(run)))
      .map(({ task, run }) => ({ task, run }));
  }

  /** The listed runs, and those started since the listing was requested. */
  #running(): RunStatus[] {
    const { running } = this.#listing;
    const startedSince = [...this.#started.values()]
      .filter((run) => !this.#listed.has(runKey(run)))
      .map(({ task, run }) => ({ task, run, checkpoint: '', percent: 0 }));
    return [...running, ...startedSince];
  }
}
