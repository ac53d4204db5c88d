/**
 * Sends the owner's orders to the runner. Starts and stops are repeated until they are answered or can surely not take effect any
 * more.
 */
import type { PaceOrder, ProcessContext, RunName, StartOrder, StartRefusal } from '@zincspan/core';
import type { TimestampedRun } from './outage-tracker.js';
import type { RunnerAnswer, RunnerIncarnation, RunnerApi, RunnerRefusal } from './runner-api.js';
import { sleep } from '../clock/sleep.js';
import { runKey } from '../job/task-name.js';

/** Timeout of a call to the runner on this VM, in ms: many times what a slow call takes. */
const CALL_TIMEOUT_MS = 500;

/** Delay before a call is repeated, in ms. */
const RETRY_INTERVAL_MS = 60;

/** A start that an unhealthy runner refuses is repeated for this long, in ms; then the run is given up. */
const UNHEALTHY_RETRY_MS = 600;

/** A start without an answer is repeated for this long, in ms: less than a gang waits for its members. */
const START_RETRY_MS = 1600;

/** Longest time from an order to start until its last call has ended, in ms. */
export const MAX_START_DURATION_MS = START_RETRY_MS + RETRY_INTERVAL_MS + CALL_TIMEOUT_MS;

/** An answered stop isn't sent again for this long, in ms: a runner takes about as long to stop a run. */
const STOP_RESEND_AFTER_MS = 1000;

/** A pace that was set is sent again after this time, in ms, as an earlier call may be carried out late and undo it. */
const PACE_RESEND_AFTER_MS = 2000;

/** A call without an answer may still be carried out for this long, in ms: runners do so some seconds later. */
const LATE_CALL_WINDOW_MS = 30_000;

/**
 * A run whose start went unanswered counts as lost with its lease only after this time, in ms: longer than the delay that the
 * platform documents for late calls.
 */
const LATE_START_HOLD_MS = 15_000;

/** A run that was refused for good and that the runner won't start any more. */
export interface RefusedRun extends RunName {
  reason: StartRefusal;
  /** When it was refused, on the guard's monotonic clock. */
  at: number;
}

/** The runner incarnation and the term that an order is for. */
export interface OrderTarget {
  incarnation: RunnerIncarnation;
  term: number;
  /** Deadline on the runner's clock; undefined without a valid lease. */
  deadlineMs: () => number | undefined;
  isCurrent: () => boolean;
}

/** Where to block a run. Blocking goes on over changes of the term and ends with the incarnation. */
export interface BlockTarget {
  /** The incarnation with the present term. */
  currentTarget: () => OrderTarget;
  /** True once the incarnation has ended. */
  hasEnded: () => boolean;
}

/** Callbacks for the outcome of orders. */
export interface RunOrderEvents {
  onStarted: (run: RunName) => void;
  onRefused: (refused: RefusedRun) => void;
  onStopped: (run: RunName) => void;
  /** The incarnation or the term of the order isn't the present one any more. */
  onStale: () => void;
}

/** Sends orders to one incarnation of a runner. */
export class RunOrderDispatcher {
  readonly #ctx: ProcessContext;

  readonly #runner: RunnerApi;

  readonly #events: RunOrderEvents;

  readonly #pendingStarts = new Map<string, TimestampedRun>();

  /** Pending starts that are no longer sent: their runs are being blocked. */
  readonly #blocking = new Set<string>();

  /** Starts that got no answer at least once, and when that was: they may be carried out later. */
  readonly #unansweredStarts = new Map<string, TimestampedRun>();

  readonly #stopSentAt = new Map<string, number>();

  /** Paces that the runner has accepted, and when. */
  readonly #acknowledgedPaces = new Map<string, { percent: number; at: number }>();

  /** Runs with a pace call in flight. */
  readonly #pendingPaces = new Set<string>();

  constructor({
    ctx,
    runner,
    events,
  }: {
    ctx: ProcessContext;
    runner: RunnerApi;
    events: RunOrderEvents;
  }) {
    this.#ctx = ctx;
    this.#runner = runner;
    this.#events = events;
  }

  /** Starts without an answer so far, and when each was first sent. */
  pendingStarts(): TimestampedRun[] {
    return [...this.#pendingStarts.values()];
  }

  /** Runs whose start or block is in progress. */
  inProgress(): RunName[] {
    return this.pendingStarts().map(({ task, run }) => ({ task, run }));
  }

  /**
   * True if an unanswered order may still start something: it may be sent again, or the next incarnation may carry it out late.
   */
  get mayStillStart(): boolean {
    const now = this.#now();
    const mayBeLate = (key: string): boolean =>
      now - (this.#unansweredStarts.get(key)?.at ?? -Infinity) < LATE_START_HOLD_MS;
    return this.#pendingStarts.size > this.#blocking.size || [...this.#blocking].some(mayBeLate);
  }

  /** Starts that may still reach a later incarnation with the same id, and when each was last on its way. */
  possibleLateStarts(): TimestampedRun[] {
    this.#dropExpiredStarts();
    const now = this.#now();
    const starts = new Map(this.#unansweredStarts);
    this.#pendingStarts.forEach(({ task, run }, key) => {
      if (!this.#blocking.has(key)) starts.set(key, { task, run, at: now });
    });
    return [...starts.values()];
  }

  /**
   * Prevents a run that an earlier incarnation was ordered to start from starting here. The run is in progress until the runner
   * has accepted a stop of it. Then it is reported as refused, or as running if a call had started it before. An incarnation that is
   * gone for good never accepts the stop: the start may then happen only for as long as it can be late.
   */
  block(start: TimestampedRun, target: BlockTarget): void {
    const { task, run } = start;
    const key = runKey(start);
    this.#unansweredStarts.set(key, start);
    this.#blocking.add(key);
    this.#trackInProgress({ task, run }, 'blocking a run failed', () =>
      this.#blockWithRetries({ task, run }, target),
    );
  }

  start(order: StartOrder, target: OrderTarget): void {
    if (this.#pendingStarts.has(runKey(order))) return;
    this.#trackInProgress(order, 'starting a run failed', () =>
      this.#startWithRetries(order, target),
    );
  }

  stop(run: RunName, target: OrderTarget): void {
    const key = runKey(run);
    const now = this.#ctx.clock.now();
    if (now - (this.#stopSentAt.get(key) ?? -Infinity) < STOP_RESEND_AFTER_MS) return;
    this.#stopSentAt.set(key, now);
    void this.#stopWithRetries(run, target)
      .then((done) => {
        if (done) this.#events.onStopped(run);
        else this.#stopSentAt.delete(key);
      })
      .catch((err: unknown) => {
        this.#ctx.metrics.count('order.failed');
        this.#ctx.log.error({ err, task: run.task, run: run.run }, 'stopping a run failed');
      });
  }

  /** The speed that was last set for a run, in percent of full speed; undefined if none was. */
  paceOf(run: RunName): number | undefined {
    return this.#acknowledgedPaces.get(runKey(run))?.percent;
  }

  /** Not repeated: the owner's next answer carries the pace that is right by then. */
  setPace(order: PaceOrder, target: OrderTarget): void {
    const key = runKey(order);
    const acknowledged = this.#acknowledgedPaces.get(key);
    const isSet =
      acknowledged?.percent === order.percent &&
      this.#now() - acknowledged.at < PACE_RESEND_AFTER_MS;
    if (isSet || this.#pendingPaces.has(key)) return;
    this.#pendingPaces.add(key);
    void this.#sendPace(order, target)
      .catch((err: unknown) => {
        this.#ctx.metrics.count('order.failed');
        this.#ctx.log.error(
          { err, task: order.task, run: order.run },
          'setting the pace of a run failed',
        );
      })
      .finally(() => this.#pendingPaces.delete(key));
  }

  async #sendPace(
    { task, run, percent }: PaceOrder,
    { incarnation, term }: OrderTarget,
  ): Promise<void> {
    const order = { task, run, percent, term };
    const answer = await this.#runner.pace(incarnation, order, { timeoutMs: CALL_TIMEOUT_MS });
    if (answer.outcome !== 'ok') {
      this.#ctx.metrics.count('order.pace-unanswered');
      return;
    }
    const previous = this.#acknowledgedPaces.get(runKey(order));
    this.#acknowledgedPaces.set(runKey(order), { percent, at: this.#now() });
    if (previous?.percent !== percent) this.#ctx.log.info({ task, run, percent }, 'run pace set');
  }

  #now(): number {
    return this.#ctx.clock.now();
  }

  async #startWithRetries(order: StartOrder, target: OrderTarget): Promise<void> {
    const { task, run, spec, checkpoint, ticket } = order;
    const startedAt = this.#ctx.clock.now();
    let unanswered = false;
    for (;;) {
      const deadlineMs = target.deadlineMs();
      if (!target.isCurrent()) return;
      const answer: RunnerAnswer =
        deadlineMs === undefined
          ? { outcome: 'refused', reason: 'late', detail: 'the lease has expired' }
          : await this.#runner.start(
              target.incarnation,
              {
                task,
                run,
                spec,
                checkpoint,
                ...(ticket === undefined ? {} : { ticket }),
                term: target.term,
                deadlineMs,
              },
              { timeoutMs: CALL_TIMEOUT_MS },
            );
      if (!target.isCurrent()) return;
      const waitedMs = this.#ctx.clock.now() - startedAt;
      if (answer.outcome === 'ok') {
        this.#ctx.log.info({ task, run, waitedMs: Math.round(waitedMs) }, 'run started');
        // The caller's state changes before the run leaves `inProgress`.
        this.#events.onStarted({ task, run });
        return;
      }
      if (answer.outcome === 'wrong-life' || isFenced(answer)) {
        this.#events.onStale();
        return;
      }
      if (answer.outcome === 'no-answer') {
        unanswered = true;
        this.#recordUnanswered({ task, run });
      }
      if (isRetryable(answer, waitedMs)) {
        await sleep(RETRY_INTERVAL_MS);
        continue;
      }
      this.#blocking.add(runKey(order));
      // A call without an answer may still be carried out: a stop makes the runner refuse it.
      if (unanswered && !(await this.#stopWithRetries({ task, run }, target))) return;
      const reason = toStartRefusal(answer);
      this.#ctx.log.warn({ task, run, reason, answer, unanswered }, 'run refused by its runner');
      this.#events.onRefused({ task, run, reason, at: this.#ctx.clock.now() });
      return;
    }
  }

  async #blockWithRetries(run: RunName, { currentTarget, hasEnded }: BlockTarget): Promise<void> {
    while (!hasEnded()) {
      if (await this.#stopWithRetries(run, currentTarget())) {
        this.#ctx.log.info({ ...run }, 'late start for an earlier incarnation blocked');
        this.#events.onRefused({ ...run, reason: 'old', at: this.#now() });
        return;
      }
      // The term has changed, or the guard doesn't know a newer owner's term yet.
      await sleep(RETRY_INTERVAL_MS);
    }
  }

  /** Lists the run as in progress until the operation has ended. */
  #trackInProgress(
    { task, run }: RunName,
    failureMessage: string,
    operation: () => Promise<void>,
  ): void {
    const key = runKey({ task, run });
    this.#pendingStarts.set(key, { task, run, at: this.#now() });
    void operation()
      .catch((err: unknown) => {
        this.#ctx.metrics.count('order.failed');
        this.#ctx.log.error({ err, task, run }, failureMessage);
      })
      .finally(() => {
        this.#pendingStarts.delete(key);
        this.#blocking.delete(key);
      });
  }

  #recordUnanswered({ task, run }: RunName): void {
    this.#dropExpiredStarts();
    this.#unansweredStarts.set(runKey({ task, run }), { task, run, at: this.#now() });
  }

  /** Drops starts that can't be carried out any more. */
  #dropExpiredStarts(): void {
    const now = this.#now();
    this.#unansweredStarts.forEach(({ at }, key) => {
      if (now - at >= LATE_CALL_WINDOW_MS) this.#unansweredStarts.delete(key);
    });
  }

  /** Repeats a stop until it is answered. False if the incarnation or the term ended before. */
  async #stopWithRetries({ task, run }: RunName, target: OrderTarget): Promise<boolean> {
    while (target.isCurrent()) {
      const answer = await this.#runner.stop(
        target.incarnation,
        { task, run, term: target.term },
        { timeoutMs: CALL_TIMEOUT_MS },
      );
      if (answer.outcome === 'ok') return true;
      if (answer.outcome === 'wrong-life' || isFenced(answer)) {
        this.#events.onStale();
        return false;
      }
      this.#ctx.metrics.count('order.stop-repeated');
      await sleep(RETRY_INTERVAL_MS);
    }
    return false;
  }
}

function isFenced(answer: RunnerAnswer): boolean {
  return answer.outcome === 'refused' && answer.reason === 'fence';
}

function isRetryable(answer: RunnerAnswer, waitedMs: number): boolean {
  if (answer.outcome === 'no-answer') return waitedMs < START_RETRY_MS;
  if (answer.outcome !== 'refused') return false;
  return answer.reason === 'unhealthy' && waitedMs < UNHEALTHY_RETRY_MS;
}

const START_REFUSALS: Record<RunnerRefusal, StartRefusal> = {
  fence: 'late',
  old: 'old',
  late: 'late',
  room: 'room',
  ticket: 'ticket',
  unknown: 'unknown',
  unhealthy: 'unavailable',
};

function toStartRefusal(answer: RunnerAnswer): StartRefusal {
  return answer.outcome === 'refused' ? START_REFUSALS[answer.reason] : 'unavailable';
}
