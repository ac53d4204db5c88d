/** Orders on their way to the runner: each is repeated until it is answered or surely barred. */
import type { PaceOrder, ProcessContext, RunName, StartOrder, StartRefusal } from '@zincspan/core';
import type { TimedRun } from './present-runs.js';
import type { RunnerAnswer, RunnerLife, RunnerPort, RunnerRefusal } from './runner-port.js';
import { pause } from '../clock/pause.js';
import { runKey } from '../job/task-name.js';

/** A call to the runner beside us may take this long, in ms: many times what a slow one takes. */
const CALL_TIMEOUT_MS = 500;

/** Pause before a call is repeated, in ms. */
const RETRY_PAUSE_MS = 60;

/** An unhealthy runner is asked again for this long, in ms; then the run is given up. */
const UNHEALTHY_FOR_MS = 600;

/** A start without an answer is repeated for this long, in ms, less than a gang waits for its members. */
const START_FOR_MS = 1600;

/** From an order to start to its last call, in ms. */
export const START_TAKES_MS = START_FOR_MS + RETRY_PAUSE_MS + CALL_TIMEOUT_MS;

/** A stop that was answered isn't repeated for this long, in ms: a runner takes about as long to stop. */
const STOP_AGAIN_MS = 1000;

/** A pace that was set is set again after this time, in ms: an earlier one may be carried out late and undo it. */
const PACE_AGAIN_MS = 2000;

/** A call without an answer may be carried out for this long, in ms: runners do so some seconds later. */
const LATE_WITHIN_MS = 30_000;

/** A run of which a start went unanswered counts as lost with its lease only after this time, in ms: more than the platform names. */
const HELD_FOR_LATE_MS = 15_000;

/** A run that was refused for good and is barred at the runner. */
export interface Refused extends RunName {
  reason: StartRefusal;
  /** When, on the guard's monotonic clock. */
  at: number;
}

/** What an order needs to know of its runner. */
export interface OrderContext {
  life: RunnerLife;
  term: number;
  /** On the runner's clock; undefined: no authority any more. */
  deadlineMs: () => number | undefined;
  isCurrent: () => boolean;
}

/** What barring a run needs to know: it goes on over terms, and ends with the runner's life. */
export interface BarContext {
  /** As it is now. */
  target: () => OrderContext;
  /** The life is over. */
  isOver: () => boolean;
}

/** Told when an order has come to something. */
export interface RunOrderEvents {
  onStarted: (run: RunName) => void;
  onRefused: (refused: Refused) => void;
  onStopped: (run: RunName) => void;
  /** The runner's life is another one, or the term is over. */
  onStale: () => void;
}

/** Orders of one life of a runner. */
export class RunOrders {
  readonly #ctx: ProcessContext;

  readonly #port: RunnerPort;

  readonly #events: RunOrderEvents;

  readonly #starting = new Map<string, TimedRun>();

  /** Those among them of which no start is sent any more: they are being barred. */
  readonly #barring = new Set<string>();

  /** Starts that were sent at least once without an answer, and when that was: they may be carried out later. */
  readonly #unanswered = new Map<string, TimedRun>();

  readonly #stopped = new Map<string, number>();

  /** Paces that the runner took, and when. */
  readonly #paces = new Map<string, { percent: number; at: number }>();

  /** Runs with a pace on its way. */
  readonly #pacing = new Set<string>();

  constructor({
    ctx,
    port,
    events,
  }: {
    ctx: ProcessContext;
    port: RunnerPort;
    events: RunOrderEvents;
  }) {
    this.#ctx = ctx;
    this.#port = port;
    this.#events = events;
  }

  /** Starts that aren't answered yet, and when each was first sent. */
  sent(): TimedRun[] {
    return [...this.#starting.values()];
  }

  /** Starts that aren't answered yet. */
  inProgress(): RunName[] {
    return this.sent().map(({ task, run }) => ({ task, run }));
  }

  /** Something may still start by an order that isn't answered: it may be sent again, or be carried out late by the next life. */
  get mayStart(): boolean {
    const now = this.#now();
    const mayBeLate = (key: string): boolean =>
      now - (this.#unanswered.get(key)?.at ?? -Infinity) < HELD_FOR_LATE_MS;
    return this.#starting.size > this.#barring.size || [...this.#barring].some(mayBeLate);
  }

  /** Starts that a life which follows under the same id may still be told to carry out. */
  unsettled(): RunName[] {
    this.#dropExpired();
    const runs = new Map([...this.#unanswered, ...this.#starting]);
    return [...runs.values()].map(({ task, run }) => ({ task, run }));
  }

  /**
   * Sees to it that a run which the life before was told to start doesn't start here. In progress until the runner has taken a
   * stop of it, and then told as refused, or as running if a call had started it before.
   */
  bar({ task, run }: RunName, context: BarContext): void {
    this.#keepInProgress({ task, run }, 'barring a run failed', () =>
      this.#bar({ task, run }, context),
    );
  }

  start(order: StartOrder, target: OrderContext): void {
    if (this.#starting.has(runKey(order))) return;
    this.#keepInProgress(order, 'a start failed', () => this.#start(order, target));
  }

  stop(run: RunName, target: OrderContext): void {
    const key = runKey(run);
    const now = this.#ctx.clock.now();
    if (now - (this.#stopped.get(key) ?? -Infinity) < STOP_AGAIN_MS) return;
    this.#stopped.set(key, now);
    void this.#stop(run, target)
      .then((done) => {
        if (done) this.#events.onStopped(run);
        else this.#stopped.delete(key);
      })
      .catch((err: unknown) => {
        this.#ctx.metrics.count('order.failed');
        this.#ctx.log.error({ err, task: run.task, run: run.run }, 'a stop failed');
      });
  }

  /** The share at which a run was last let work, in percent; undefined if that was never set. */
  paceOf(run: RunName): number | undefined {
    return this.#paces.get(runKey(run))?.percent;
  }

  /** Not repeated by itself: the owner's next answer brings the pace that is right then. */
  pace(order: PaceOrder, target: OrderContext): void {
    const key = runKey(order);
    const known = this.#paces.get(key);
    const isSet = known?.percent === order.percent && this.#now() - known.at < PACE_AGAIN_MS;
    if (isSet || this.#pacing.has(key)) return;
    this.#pacing.add(key);
    void this.#pace(order, target)
      .catch((err: unknown) => {
        this.#ctx.metrics.count('order.failed');
        this.#ctx.log.error({ err, task: order.task, run: order.run }, 'a pace failed');
      })
      .finally(() => this.#pacing.delete(key));
  }

  async #pace({ task, run, percent }: PaceOrder, { life, term }: OrderContext): Promise<void> {
    const order = { task, run, percent, term };
    const answer = await this.#port.pace(life, order, { timeoutMs: CALL_TIMEOUT_MS });
    if (answer.outcome !== 'ok') {
      this.#ctx.metrics.count('order.pace-unanswered');
      return;
    }
    const before = this.#paces.get(runKey(order));
    this.#paces.set(runKey(order), { percent, at: this.#now() });
    if (before?.percent !== percent) this.#ctx.log.info({ task, run, percent }, 'run paced');
  }

  #now(): number {
    return this.#ctx.clock.now();
  }

  async #start(order: StartOrder, target: OrderContext): Promise<void> {
    const { task, run, spec, checkpoint, ticket } = order;
    const since = this.#ctx.clock.now();
    let unanswered = false;
    for (;;) {
      const deadlineMs = target.deadlineMs();
      if (!target.isCurrent()) return;
      const answer: RunnerAnswer =
        deadlineMs === undefined
          ? { outcome: 'refused', reason: 'late', detail: 'no authority left' }
          : await this.#port.start(
              target.life,
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
      const waitedMs = this.#ctx.clock.now() - since;
      if (answer.outcome === 'ok') {
        this.#ctx.log.info({ task, run, waitedMs: Math.round(waitedMs) }, 'run started');
        // The caller's books change before the order leaves `inProgress`.
        this.#events.onStarted({ task, run });
        return;
      }
      if (answer.outcome === 'wrong-life' || isFenced(answer)) {
        this.#events.onStale();
        return;
      }
      if (answer.outcome === 'no-answer') {
        unanswered = true;
        this.#noteUnanswered({ task, run });
      }
      if (mayRepeat(answer, waitedMs)) {
        await pause(RETRY_PAUSE_MS);
        continue;
      }
      this.#barring.add(runKey(order));
      // A call without an answer may still be carried out: the runner is told to refuse it.
      if (unanswered && !(await this.#stop({ task, run }, target))) return;
      const reason = toReason(answer);
      this.#ctx.log.warn({ task, run, reason, answer, unanswered }, 'run refused by its runner');
      this.#events.onRefused({ task, run, reason, at: this.#ctx.clock.now() });
      return;
    }
  }

  async #bar(run: RunName, { target, isOver }: BarContext): Promise<void> {
    while (!isOver()) {
      if (await this.#stop(run, target())) {
        this.#ctx.log.info({ ...run }, 'run of an earlier life barred');
        this.#events.onRefused({ ...run, reason: 'old', at: this.#now() });
        return;
      }
      // The term has changed, or a newer owner's isn't known here yet.
      await pause(RETRY_PAUSE_MS);
    }
  }

  /** Tells of the run as in progress until the work on it has ended. */
  #keepInProgress({ task, run }: RunName, failure: string, work: () => Promise<void>): void {
    const key = runKey({ task, run });
    this.#starting.set(key, { task, run, at: this.#now() });
    void work()
      .catch((err: unknown) => {
        this.#ctx.metrics.count('order.failed');
        this.#ctx.log.error({ err, task, run }, failure);
      })
      .finally(() => {
        this.#starting.delete(key);
        this.#barring.delete(key);
      });
  }

  #noteUnanswered({ task, run }: RunName): void {
    this.#dropExpired();
    this.#unanswered.set(runKey({ task, run }), { task, run, at: this.#now() });
  }

  /** Drops calls that can't be carried out any more. */
  #dropExpired(): void {
    const now = this.#now();
    this.#unanswered.forEach(({ at }, key) => {
      if (now - at >= LATE_WITHIN_MS) this.#unanswered.delete(key);
    });
  }

  /** Repeats a stop until it is answered. False if the runner's life or the term ended before. */
  async #stop({ task, run }: RunName, target: OrderContext): Promise<boolean> {
    while (target.isCurrent()) {
      const answer = await this.#port.stop(
        target.life,
        { task, run, term: target.term },
        { timeoutMs: CALL_TIMEOUT_MS },
      );
      if (answer.outcome === 'ok') return true;
      if (answer.outcome === 'wrong-life' || isFenced(answer)) {
        this.#events.onStale();
        return false;
      }
      this.#ctx.metrics.count('order.stop-repeated');
      await pause(RETRY_PAUSE_MS);
    }
    return false;
  }
}

function isFenced(answer: RunnerAnswer): boolean {
  return answer.outcome === 'refused' && answer.reason === 'fence';
}

function mayRepeat(answer: RunnerAnswer, waitedMs: number): boolean {
  if (answer.outcome === 'no-answer') return waitedMs < START_FOR_MS;
  if (answer.outcome !== 'refused') return false;
  return answer.reason === 'unhealthy' && waitedMs < UNHEALTHY_FOR_MS;
}

const REASONS: Record<RunnerRefusal, StartRefusal> = {
  fence: 'late',
  old: 'old',
  late: 'late',
  room: 'room',
  ticket: 'ticket',
  unknown: 'unknown',
  unhealthy: 'unavailable',
};

function toReason(answer: RunnerAnswer): StartRefusal {
  return answer.outcome === 'refused' ? REASONS[answer.reason] : 'unavailable';
}
