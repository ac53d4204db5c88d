/**
 * One task on the worker, from its preparation to its sure end.
 *
 * Its lease is renewed here, at a fixed rate: a renewal that waited for the answer to the one before would reach a
 * slow worker too late. Before the start a renewal never reaches past the reservation's own end, so that the worker
 * refuses a late start even if this process was paused between its check and its order. When the worker falls
 * silent for a lease, renewing stops for good: the task is over once the last renewal that may have arrived has run
 * out, with a margin for a slow clock.
 *
 * Once started it goes on only while this guard may let it (see owner-contact.ts); else it is stopped, after a
 * checkpoint if it can have one. Its lease isn't renewed meanwhile, and so bounds how long that takes.
 */
import type { AttemptRef, Clock, WorkerTask, WorkerTaskStatus } from '@zincspan/core';
import { TaskCheckpoint } from './task-checkpoint.js';
import { asFenced, isEnded, toEnd, type PlainEnd } from './task-end.js';
import { TaskLease } from './task-lease.js';
import type { TaskAnswer, WorkerClient } from './worker-client.js';

/** What a task needs. Times in ms. */
export interface GuardedTaskOptions {
  ref: AttemptRef;
  order: Omit<WorkerTask, 'leaseMs'>;
  maxRunMs: number;
  worker: WorkerClient;
  clock: Clock;
  leaseMs: number;
  /** Allowance for the worker's clock, as a share of the lease. */
  clockMargin: number;
  /** Time left of the reservation; undefined once started. */
  reservedMs: () => number | undefined;
  /** Asked before the lease of a started task is renewed. */
  mayGoOn: () => Promise<boolean>;
  /** It is stopped as it may not go on. */
  onFenced: (task: GuardedTask) => void;
  /** Every status that the worker gives. */
  onStatus: (task: GuardedTask, status: WorkerTaskStatus) => void;
  /** It surely doesn't run any more. Called once. */
  onEnd: (task: GuardedTask, end: PlainEnd) => void;
}

const MIN_LEASE_MS = 100;
const RETRY_MS = 200;

/** Renewals per lease. As many may wait for their answers at once, so that none waits for the one before. */
const RENEWALS_PER_LEASE = 3;

/** Drives one task. */
export class GuardedTask {
  readonly ref: AttemptRef;

  readonly name: string;

  /** Last usage and run time told by the worker. */
  status: WorkerTaskStatus | undefined;

  readonly #options: GuardedTaskOptions;

  readonly #lease: TaskLease;

  #startTriedAt: number | undefined;

  #state: 'alive' | 'stopping' | 'ended' = 'alive';

  readonly #checkpoint: TaskCheckpoint;

  #fenced = false;

  #unansweredRenewals = 0;

  #timer: NodeJS.Timeout | undefined;

  constructor(options: GuardedTaskOptions) {
    this.#options = options;
    this.ref = options.ref;
    this.name = options.order.task;
    this.#checkpoint = new TaskCheckpoint({ task: this.name, worker: options.worker });
    this.#lease = new TaskLease({ clock: options.clock, margin: options.clockMargin });
  }

  get ended(): boolean {
    return this.#state === 'ended';
  }

  /** Prepares it on the worker, trying again until the worker answers or the reservation ends. */
  async prepare(): Promise<void> {
    this.#scheduleRenewal();
    while (this.#state === 'alive') {
      const leaseMs = this.#leaseMs();
      if (leaseMs === undefined) return;
      try {
        const answer = await this.#grant(leaseMs, () =>
          this.#options.worker.prepare({ ...this.#options.order, leaseMs }),
        );
        if (answer.outcome !== 'done') this.#refused(answer);
        return;
      } catch {
        await this.#pause(RETRY_MS);
      }
    }
  }

  /** Passes the barrier. `unknown`: it may or may not have started. */
  async start(): Promise<'started' | 'refused' | 'unknown'> {
    this.#startTriedAt ??= this.#options.clock.now();
    try {
      const answer = await this.#options.worker.start(this.name);
      if (answer.outcome !== 'done') return 'refused';
      this.noteStatus(answer.status);
      return 'started';
    } catch {
      return 'unknown';
    }
  }

  /** Asks for a checkpoint; the lease is renewed meanwhile. True if there is one now. */
  async checkpoint(limitMs: number): Promise<boolean> {
    return this.#checkpoint.take(limitMs);
  }

  get isCheckpointing(): boolean {
    return this.#checkpoint.isUnderWay;
  }

  async throttle(cores: number): Promise<boolean> {
    return this.#options.worker.throttle(this.name, cores);
  }

  /** Renews at once, for example because the reservation was prolonged. */
  renew(): void {
    if (this.#state === 'alive') void this.#renew();
  }

  /** Stops it: by the worker's word, or by the end of its lease if the worker is silent. */
  async stop(): Promise<void> {
    if (this.#state !== 'alive') return;
    this.#state = 'stopping';
    clearTimeout(this.#timer);
    while (!this.ended) {
      try {
        this.#noteStopped(await this.#options.worker.stop(this.name));
      } catch {
        if (this.#lease.surelyOver) {
          this.#end(this.#lapsed('The worker is silent and the lease over.'));
        }
      }
      if (!this.ended) await this.#pause(RETRY_MS);
    }
  }

  /** Takes the worker's word on it, from any answer or event. */
  noteStatus(status: WorkerTaskStatus): void {
    if (this.ended) return;
    this.status = status;
    if (!isEnded(status)) {
      this.#options.onStatus(this, status);
      if (
        status.state === 'running' &&
        status.ranMs > this.#options.maxRunMs + this.#options.leaseMs
      ) {
        void this.stop();
      }
      return;
    }
    this.#end(this.#withCheckpoint(toEnd(status)!));
  }

  /** Lets it be; its lease ends by itself. */
  close(): void {
    clearTimeout(this.#timer);
    this.#state = 'ended';
  }

  async #renew(): Promise<void> {
    clearTimeout(this.#timer);
    if (this.#state !== 'alive' || this.#fenced) return;
    if (this.#isStarted && !(await this.#options.mayGoOn())) {
      await this.#fence();
      return;
    }
    if (this.#state !== 'alive') return;
    this.#scheduleRenewal();
    const leaseMs = this.#leaseMs();
    // The reservation may be prolonged yet; until then the worker's lease runs out by itself.
    if (leaseMs === undefined || this.#unansweredRenewals >= RENEWALS_PER_LEASE) return;
    this.#unansweredRenewals += 1;
    // A task that is still being prepared may be unknown yet, and the answer may come after that to its preparation.
    const isPrepared = this.status !== undefined;
    try {
      const answer = await this.#grant(leaseMs, () =>
        this.#options.worker.renew(this.name, leaseMs),
      );
      if (answer.outcome !== 'done' && isPrepared) {
        this.#end(this.#lapsed('The worker does not know it any more.'));
      }
    } catch {
      if (this.#lease.silentMs > this.#options.leaseMs) void this.stop();
    } finally {
      this.#unansweredRenewals -= 1;
    }
  }

  get #isStarted(): boolean {
    return this.#options.reservedMs() === undefined;
  }

  async #fence(): Promise<void> {
    if (this.#state !== 'alive' || this.#fenced) return;
    this.#fenced = true;
    this.#options.onFenced(this);
    if (this.#options.order.checkpointable) await this.checkpoint(this.#options.leaseMs / 2);
    await this.stop();
  }

  /** One order that grants a lease. */
  async #grant(leaseMs: number, order: () => Promise<TaskAnswer>): Promise<TaskAnswer> {
    const answer = await this.#lease.grant(leaseMs, order);
    if (answer.outcome === 'done') this.noteStatus(answer.status);
    return answer;
  }

  /** Lease to grant now; undefined when the reservation has no time left. */
  #leaseMs(): number | undefined {
    const { leaseMs, reservedMs } = this.#options;
    const left = reservedMs();
    if (left === undefined) return leaseMs;
    return left < MIN_LEASE_MS ? undefined : Math.min(leaseMs, Math.floor(left));
  }

  #scheduleRenewal(): void {
    if (this.#state !== 'alive') return;
    clearTimeout(this.#timer);
    const everyMs = (this.#leaseMs() ?? this.#options.leaseMs) / RENEWALS_PER_LEASE;
    this.#timer = setTimeout(() => {
      void this.#renew();
    }, everyMs);
  }

  #refused(answer: Exclude<TaskAnswer, { outcome: 'done' }>): void {
    const detail = answer.outcome === 'refused' ? answer.detail : 'unknown to the worker';
    this.#end({ outcome: 'never-started', detail: `Not prepared: ${detail}`, ranMs: 0 });
  }

  #noteStopped(answer: TaskAnswer): void {
    if (answer.outcome === 'done') this.noteStatus(answer.status);
    else if (answer.outcome === 'unknown-task') {
      this.#end(this.#lapsed('The worker does not know it any more.'));
    }
  }

  /** Over without the worker's word: it may have run for as long as it was started. */
  #lapsed(detail: string): PlainEnd {
    const started = this.#startTriedAt;
    const ranMs = started === undefined ? 0 : Math.max(1, this.#options.clock.now() - started);
    return { outcome: 'lease-lapsed', detail, ranMs };
  }

  #withCheckpoint(end: PlainEnd): PlainEnd {
    const full = this.#checkpoint.addTo(end);
    return this.#fenced ? asFenced(full) : full;
  }

  #end(end: PlainEnd): void {
    if (this.ended) return;
    this.close();
    this.#options.onEnd(this, end);
  }

  // eslint-disable-next-line class-methods-use-this -- a helper of the loops above.
  async #pause(ms: number): Promise<void> {
    await new Promise<void>((resolve) => {
      setTimeout(resolve, ms);
    });
  }
}
