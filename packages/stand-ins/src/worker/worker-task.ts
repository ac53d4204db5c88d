/** One task on the worker stand-in: its states, and when each changes by itself. */
import type { Clock, WorkerTask, WorkerTaskState, WorkerTaskStatus } from '@zincspan/core';
import { checkpointProgress, taskParamsSchema, type TaskParams } from './task-params.js';
import { TaskProgress } from './task-progress.js';

/** A task that `failAll` hits fails this long after its start, in ms. */
const FAIL_AFTER_MS = 20;

const ENDED = new Set<WorkerTaskState>(['succeeded', 'failed', 'stopped', 'lapsed']);

/** How a task is set up. Times in ms. */
export interface StandInTaskOptions {
  order: WorkerTask;
  clock: Clock;
  prepareMs: number;
  /** Usage is told as of this long ago. */
  usageLagMs: number;
  /** Called after each change of state, with the monotonic time at which it fell due. */
  onChange: (task: StandInTask, at: number) => void;
}

/** A task's life. Changes that have fallen due are made, in order of time, by `settle`. */
export class StandInTask {
  readonly order: WorkerTask;

  readonly params: TaskParams;

  /** Number of the worker's event that last changed it. */
  changedBy = 0;

  readonly #clock: Clock;

  readonly #usageLagMs: number;

  readonly #onChange: StandInTaskOptions['onChange'];

  readonly #readyAt: number;

  #leaseEndsAt: number;

  #state: WorkerTaskState = 'preparing';

  #detail = '';

  #progress: TaskProgress | undefined;

  #startedAt = 0;

  #endedAt: number | undefined;

  #failsAt = Infinity;

  constructor({ order, clock, prepareMs, usageLagMs, onChange }: StandInTaskOptions) {
    this.order = order;
    this.params = taskParamsSchema.parse(order.params);
    this.#clock = clock;
    this.#usageLagMs = usageLagMs;
    this.#onChange = onChange;
    this.#readyAt = clock.now() + prepareMs;
    this.#leaseEndsAt = clock.now() + order.leaseMs;
  }

  get state(): WorkerTaskState {
    return this.#state;
  }

  get ended(): boolean {
    return ENDED.has(this.#state);
  }

  /** When `settle` has something to do next; undefined once ended. */
  get nextChangeAt(): number | undefined {
    return this.#nextChange()?.at;
  }

  /** Makes every change that has fallen due. */
  settle(): void {
    const now = this.#clock.now();
    for (let next = this.#nextChange(); next !== undefined && next.at <= now;) {
      this.#enter(next.state, next.at, next.detail);
      next = this.#nextChange();
    }
  }

  /** Passes the barrier; false unless it is ready. `lie` stretches the run time. */
  start({ failAll, lie }: { failAll: boolean; lie: number }): boolean {
    if (this.#state !== 'ready') return false;
    const now = this.#clock.now();
    const from = checkpointProgress(this.order.checkpoint);
    this.#progress = new TaskProgress({ from, runMs: this.params.runMs * lie, now });
    this.#startedAt = now;
    if (failAll) this.#failsAt = now + FAIL_AFTER_MS;
    this.#enter('running', now);
    return true;
  }

  renew(leaseMs: number): void {
    if (!this.ended) this.#leaseEndsAt = this.#clock.now() + leaseMs;
  }

  /** Runs slower when given fewer cores than it was ordered with. */
  throttle(cores: number): void {
    const ordered = this.order.cores;
    const speed = ordered === 0 ? 1 : Math.min(1, cores / ordered);
    this.#progress?.setSpeed(speed, this.#clock.now());
  }

  stop(): void {
    if (!this.ended) this.#enter('stopped', this.#clock.now(), 'Stopped by order.');
  }

  /** Progress now, 0 to 1. */
  get progress(): number {
    return this.#progress?.at(this.#endedAt ?? this.#clock.now()) ?? 0;
  }

  status(): WorkerTaskStatus {
    const { result } = this.params;
    return {
      task: this.order.task,
      state: this.#state,
      detail: this.#detail,
      ...(this.#state === 'succeeded' && result !== undefined ? { result } : {}),
      ranMs: this.#ranMs(),
      usage: this.#usage(),
    };
  }

  #ranMs(): number {
    if (this.#progress === undefined) return 0;
    return (this.#endedAt ?? this.#clock.now()) - this.#startedAt;
  }

  #usage(): WorkerTaskStatus['usage'] {
    const lagMs = this.#usageLagMs;
    const asOf = Math.min(this.#endedAt ?? Infinity, this.#clock.now() - lagMs);
    const running = this.#state === 'running';
    const speed = this.#progress?.speed ?? 0;
    return {
      cores: running ? (this.params.useCores ?? this.order.cores) * speed : 0,
      memoryMb: this.ended ? 0 : (this.params.useMemoryMb ?? this.order.memoryMb),
      progress: this.#progress?.at(asOf) ?? 0,
      lagMs,
    };
  }

  #nextChange(): { state: WorkerTaskState; at: number; detail?: string } | undefined {
    if (this.ended) return undefined;
    const lapse = { state: 'lapsed' as const, at: this.#leaseEndsAt, detail: 'Its lease lapsed.' };
    const own = this.#ownChange();
    return own === undefined || lapse.at <= own.at ? lapse : own;
  }

  /** The next change that isn't the lease's. */
  #ownChange(): { state: WorkerTaskState; at: number; detail?: string } | undefined {
    if (this.#state === 'preparing') return { state: 'ready', at: this.#readyAt };
    if (this.#progress === undefined) return undefined;
    const { endsAt } = this.#progress;
    if (this.#failsAt < endsAt) {
      return { state: 'failed', at: this.#failsAt, detail: 'The worker failed it.' };
    }
    if (this.params.fail) return { state: 'failed', at: endsAt, detail: 'It failed by itself.' };
    return { state: 'succeeded', at: endsAt };
  }

  #enter(state: WorkerTaskState, at: number, detail = ''): void {
    this.#state = state;
    this.#detail = detail;
    if (this.ended) this.#endedAt = at;
    this.#onChange(this, at);
  }
}
