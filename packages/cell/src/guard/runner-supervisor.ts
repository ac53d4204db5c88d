/**
 * Supervises one runner: polls its runs, renews its lease while the owner grants one, carries out orders, and keeps what the
 * owner hasn't received yet.
 */
import type { CellContact, CellOrders, ProcessContext, RunnerCrash } from '@zincspan/core';
import { HeartbeatVerifier, listingOf } from './heartbeat-verifier.js';
import { RunOrderDispatcher, type OrderTarget } from './run-order-dispatcher.js';
import type { RunnerApi, RunnerHeartbeat } from './runner-api.js';
import { RunnerState } from './runner-state.js';
import { SpeedHolder } from './speed-holder.js';
import { sleep } from '../clock/sleep.js';
import { isSameIncarnation } from '../runner/incarnation-id.js';

/**
 * How long a poll waits for a run to end, in ms. Progress is read and leases are renewed at this rate, at least once in each
 * contact interval.
 */
const POLL_WAIT_MS = 700;

/** Time that a poll may take beyond its wait, in ms. */
const POLL_SLACK_MS = 600;

/** Delay after a failed poll, or while ended runs await the owner's confirmation, in ms. */
const POLL_RETRY_INTERVAL_MS = 80;

/**
 * A crash is reported for this long after an owner first acknowledged it, in ms, as that owner may be replaced before it has
 * stored it. Longer than a takeover takes.
 */
const CRASH_REPORT_MS = 15_000;

/** Most runs that a log line names: a runner has tens of them. */
const MAX_LOGGED_RUNS = 8;

/** A contact without a runner. */
const EMPTY_CONTACT: CellContact = { running: [], ends: [], inProgress: [], refused: [] };

/** One incarnation of the runner and the orders for it. */
interface SupervisedIncarnation {
  state: RunnerState;
  orders: RunOrderDispatcher;
}

/** Supervises the runner of a guard over its successive incarnations. */
export class RunnerSupervisor {
  readonly #ctx: ProcessContext;

  readonly #runner: RunnerApi;

  readonly #maxLeaseMs: number;

  readonly #onChange: () => void;

  #current: SupervisedIncarnation | undefined;

  readonly #speed = new SpeedHolder();

  /** The last crash of the runner. */
  #crash: RunnerCrash | undefined;

  /** When an owner first acknowledged it. */
  #crashAckedAt: number | undefined;

  #term = 0;

  readonly #verifier: HeartbeatVerifier;

  #stopped = false;

  constructor({
    ctx,
    runner,
    maxLeaseMs,
    onChange,
  }: {
    ctx: ProcessContext;
    runner: RunnerApi;
    /** Longest lease that the runner honours, in ms. */
    maxLeaseMs: number;
    /** Called when the owner should hear of something at once. */
    onChange: () => void;
  }) {
    this.#ctx = ctx;
    this.#runner = runner;
    this.#verifier = new HeartbeatVerifier({ ctx, runner });
    this.#maxLeaseMs = maxLeaseMs;
    this.#onChange = onChange;
  }

  stop(): void {
    this.#stopped = true;
    this.#current = undefined;
  }

  /**
   * Handles a heartbeat. One of an unknown incarnation is verified with the runner first: it may have been delayed, and its
   * sender may have ended since.
   */
  noteHeartbeat(heartbeat: RunnerHeartbeat): void {
    const state = this.#current?.state;
    if (state === undefined || !isSameIncarnation(heartbeat, state.heartbeat)) {
      if (!this.#stopped) void this.#verify(heartbeat);
      return;
    }
    const change = state.noteHeartbeat(heartbeat);
    if (change === undefined) return;
    const { remainingMs, capacity } = heartbeat;
    const runner = state.incarnationId;
    if (change === 'draining') this.#ctx.log.info({ runner, remainingMs }, 'runner draining');
    else this.#ctx.log.info({ runner, capacity }, 'runner capacity changed');
    // Capacity that has grown is reported at once too: in the next regular contact, work that waits for it would wait a second
    // longer.
    this.#onChange();
  }

  /** The runner deregistered: it ends now. */
  noteDeregistered(id: string): void {
    const state = this.#current?.state;
    if (state?.heartbeat.id !== id) return;
    state.noteDeregistered();
    this.#ctx.log.info({ runner: state.incarnationId }, 'runner deregistered');
    this.#onChange();
  }

  /** The report to the owner. */
  contact(): CellContact {
    const incarnation = this.#current;
    if (incarnation === undefined) return EMPTY_CONTACT;
    const { state, orders } = incarnation;
    if (!state.hasListing) {
      // A start for the earlier incarnation may still reach this one: until it can't any more, the run may not start elsewhere.
      return { ...EMPTY_CONTACT, inProgress: orders.mayStillStart ? orders.inProgress() : [] };
    }
    const { mayStillStart } = orders;
    const contact = state.contact(this.#now(), orders.inProgress(), {
      mayStillStart,
    });
    const running = contact.running.map((status) => {
      const pace = orders.paceOf(status);
      return pace === undefined ? status : { ...status, pace };
    });
    if (this.#now() - (this.#crashAckedAt ?? Infinity) >= CRASH_REPORT_MS) this.#crash = undefined;
    return { ...contact, running, ...(this.#crash === undefined ? {} : { crash: this.#crash }) };
  }

  /** What owners have learned about the speed of the present incarnation, for the next owner. */
  heldSpeed(): ReturnType<SpeedHolder['of']> {
    return this.#speed.of(this.#current?.state.incarnationId ?? '', this.#now());
  }

  /** Applies the owner's answer to a contact that was sent at `sentAt` that carried the report `sent`. */
  apply(orders: CellOrders, { sentAt, sent }: { sentAt: number; sent: CellContact }): void {
    if (orders.term < this.#term) return;
    if (orders.term > this.#term) {
      this.#ctx.log.info({ term: orders.term }, 'orders received from the owner of a new term');
      this.#term = orders.term;
    }
    const incarnation = this.#current;
    if (incarnation === undefined || orders.runner !== incarnation.state.incarnationId) return;
    if (sent.crash !== undefined && sent.crash === this.#crash) this.#crashAckedAt ??= this.#now();
    const { state } = incarnation;
    this.#speed.note(orders.runner, orders.workerSpeed, this.#now());
    if (orders.leaseMs > 0) state.lease.grant(sentAt, orders.leaseMs);
    state.noteReported(sent, orders.confirmedEnd);
    const target = this.#target(incarnation);
    // The orders would reach the incarnation that has replaced this one under the same id.
    if (state.isReplaced) return;
    orders.starts.forEach((order) => {
      const { task, run } = order;
      if (!state.isLeaving) incarnation.orders.start(order, target);
      else state.noteRefused({ task, run, reason: 'unavailable', at: this.#now() });
    });
    orders.stops.forEach((run) => incarnation.orders.stop(run, target));
    orders.paces.forEach((order) => incarnation.orders.setPace(order, target));
  }

  async #verify(heartbeat: RunnerHeartbeat): Promise<void> {
    const previous = this.#current;
    const isConfirmed = await this.#verifier.confirm(heartbeat, {
      term: this.#term,
      isKnownId: previous?.state.heartbeat.id === heartbeat.id,
    });
    // The answer may be older than an incarnation that was adopted meanwhile. A live runner sends another heartbeat.
    if (!isConfirmed || this.#stopped || this.#current !== previous) return;
    this.#adopt(heartbeat);
  }

  #adopt(heartbeat: RunnerHeartbeat): void {
    const previous = this.#current;
    this.#recordCrash();
    const now = this.#now();
    const keepsId = previous?.state.heartbeat.id === heartbeat.id;
    // The guard before this one may have passed on a lease to the first incarnation. Under a known id, a deadline for the previous
    // incarnation may be any time away on the clock of the new one. Either way the runner limits the lease to its maximum.
    const mayHoldLease = previous === undefined || keepsId;
    const issuedUntil = mayHoldLease ? now + this.#maxLeaseMs : -Infinity;
    const state = new RunnerState({ heartbeat, now, issuedUntil });
    const orders = this.#newDispatcher(state);
    const incarnation = { state, orders };
    this.#current = incarnation;
    this.#ctx.log.info(
      {
        runner: state.incarnationId,
        earlier: previous?.state.incarnationId,
        service: heartbeat.service,
      },
      'new runner incarnation adopted',
    );
    if (keepsId) this.#blockLateStarts(incarnation, previous);
    void this.#pollUntilReplaced(incarnation);
  }

  #newDispatcher(state: RunnerState): RunOrderDispatcher {
    return new RunOrderDispatcher({
      ctx: this.#ctx,
      runner: this.#runner,
      events: {
        onStarted: (run) => {
          state.noteStarted(run, this.#now());
          this.#onChange();
        },
        onRefused: (refused) => {
          state.noteRefused(refused);
          this.#onChange();
        },
        onStopped: (run) => state.noteStopped(run, this.#now()),
        onStale: () => this.#onChange(),
      },
    });
  }

  /** Calls address a runner by its id: the new incarnation carries out starts in flight that were meant for the previous one. */
  #blockLateStarts(incarnation: SupervisedIncarnation, previous: SupervisedIncarnation): void {
    previous.orders.possibleLateStarts().forEach((run) =>
      incarnation.orders.block(run, {
        currentTarget: () => this.#target(incarnation),
        hasEnded: () => this.#current !== incarnation || this.#stopped,
      }),
    );
  }

  async #pollUntilReplaced(incarnation: SupervisedIncarnation): Promise<void> {
    while (this.#current === incarnation && !this.#stopped) {
      try {
        await this.#poll(incarnation);
      } catch (err) {
        this.#ctx.metrics.count('runner.look-failed');
        this.#ctx.log.error(
          { err, runner: incarnation.state.incarnationId },
          'polling the runner failed',
        );
        await sleep(POLL_RETRY_INTERVAL_MS);
      }
    }
  }

  async #poll(incarnation: SupervisedIncarnation): Promise<void> {
    const { state } = incarnation;
    const sentAt = this.#now();
    const hasPendingEnds = state.hasUnconfirmedEnds;
    const isUrgent = hasPendingEnds || state.needsListing || !state.hasListing;
    const waitMs = isUrgent ? 0 : POLL_WAIT_MS;
    // An unreachable runner's lease isn't renewed: it has to expire.
    const deadlineMs = state.isReachable(sentAt) ? state.lease.deadline(sentAt) : undefined;
    const answer = await this.#runner.poll(
      state.heartbeat,
      {
        term: this.#term,
        // After a call without an answer another incarnation may be there, whose ended runs nobody has read: none is confirmed to
        // it.
        confirmedEnd: state.outage === undefined ? state.confirmedEnd : 0,
        waitMs,
        ...(deadlineMs === undefined ? {} : { deadlineMs }),
      },
      { timeoutMs: waitMs + POLL_SLACK_MS },
    );
    if (this.#current !== incarnation) return;
    const listing = listingOf(answer, state.heartbeat);
    if (listing !== undefined) {
      if (state.noteListing(listing, { sentAt, now: this.#now() })) this.#onChange();
      if (hasPendingEnds) await sleep(POLL_RETRY_INTERVAL_MS);
      return;
    }
    this.#ctx.metrics.count(`runner.look-${answer.outcome}`);
    if (answer.outcome === 'ok') this.#noteOtherIncarnation(state, answer.bornMs);
    if (answer.outcome === 'refused') state.noteAnswer(this.#now());
    else this.#noteNoAnswer(incarnation);
    if (answer.outcome === 'wrong-life') this.#onChange();
    await sleep(POLL_RETRY_INTERVAL_MS);
  }

  /**
   * The listing of another incarnation says nothing of this one, except that it has ended. A heartbeat will introduce the new
   * one.
   */
  #noteOtherIncarnation(state: RunnerState, bornMs: number | undefined): void {
    if (state.isReplaced) return;
    state.noteReplaced();
    this.#ctx.metrics.count('runner.other-life');
    this.#ctx.log.warn(
      { runner: state.incarnationId, bornMs },
      'runner answered as another incarnation',
    );
    this.#onChange();
  }

  #noteNoAnswer({ state, orders }: SupervisedIncarnation): void {
    if (!state.noteNoAnswer(this.#now(), orders.pendingStarts())) return;
    this.#ctx.metrics.count('runner.silent');
    this.#ctx.log.warn(
      { runner: state.incarnationId, ...describeRuns(state) },
      'runner stopped answering',
    );
  }

  /** Records a crash if the previous incarnation was replaced without having deregistered or announced a drain. */
  #recordCrash(): void {
    const incarnation = this.#current;
    if (incarnation === undefined || incarnation.state.isLeaving) return;
    const { state, orders } = incarnation;
    const now = this.#now();
    // The next incarnation may be there before any call to the previous one has failed.
    state.noteNoAnswer(now, orders.pendingStarts());
    const { startedAt, runs } = state.outage ?? { startedAt: now, runs: [] };
    const livedMs = Math.round(startedAt - state.firstSeenAt);
    this.#crash = { runner: state.incarnationId, livedMs, runs };
    this.#crashAckedAt = undefined;
    this.#ctx.metrics.count('runner.replaced');
    const silentMs = Math.round(now - startedAt);
    this.#ctx.log.warn(
      { runner: state.incarnationId, livedMs, silentMs, ...describeRuns(state) },
      'runner crashed',
    );
  }

  #target({ state }: SupervisedIncarnation): OrderTarget {
    const term = this.#term;
    return {
      incarnation: state.heartbeat,
      term,
      deadlineMs: () => state.lease.deadline(this.#now()),
      isCurrent: () =>
        this.#current?.state === state &&
        !state.isReplaced &&
        this.#term === term &&
        !this.#stopped,
    };
  }

  #now(): number {
    return this.#ctx.clock.now();
  }
}

/** Runs that were on the runner when the outage began, for a log line: the youngest first, as one of them may have crashed it. */
function describeRuns({ outage }: RunnerState): { runs: number; youngest: string } {
  const runs = [...(outage?.runs ?? [])].sort((a, b) => a.ranMs - b.ranMs);
  const youngest = runs
    .slice(0, MAX_LOGGED_RUNS)
    .map(({ task, run, ranMs }) => `${task}#${run}:${ranMs}ms`)
    .join(' ');
  return { runs: runs.length, youngest };
}
