/** Carries out what the reservation book decides, on the worker beside this guard. */
import {
  ReservationBook,
  taskName,
  type AttemptRef,
  type GangReserve,
  type GuardSettings,
  type MethodReq,
  type MethodRes,
  type Order,
  type ProcessContext,
  type Reservation,
  type TaskEnd,
  type TaskUsage,
  type Worker,
  type WorkerTaskStatus,
} from '@zincspan/core';
import { draining, noWorker, startLost, taskUnknown } from './gang-problem.js';
import { GuardedTask } from './guarded-task.js';
import { Leftovers } from './leftovers.js';
import type { PlainEnd } from './task-end.js';
import { WorkerClient } from './worker-client.js';
import { WorkerWatch } from './worker-watch.js';

const ADOPT_RETRY_MS = 500;

/** What the keeper needs. */
export interface GangKeeperOptions {
  ctx: ProcessContext;
  settings: GuardSettings;
  onReady: (ref: AttemptRef) => void;
  onEnded: (end: TaskEnd) => void;
}

/** The sole way to one worker. */
export class GangKeeper {
  readonly #ctx: ProcessContext;

  readonly #options: GangKeeperOptions;

  readonly #book: ReservationBook;

  readonly #leftovers: Leftovers;

  readonly #tasks = new Map<string, GuardedTask>();

  readonly #waiters = new Map<string, ((end: TaskEnd) => void)[]>();

  readonly #starting = new Map<string, Promise<MethodRes<'gang.start'>>>();

  #worker: Worker | undefined;

  #client: WorkerClient | undefined;

  #watch: WorkerWatch | undefined;

  #draining = false;

  #stopped = false;

  #timer: NodeJS.Timeout | undefined;

  #onIdle: (() => void) | undefined;

  constructor(options: GangKeeperOptions) {
    const { self } = options.ctx;
    this.#ctx = options.ctx;
    this.#options = options;
    this.#book = new ReservationBook(self);
    this.#leftovers = new Leftovers({ ctx: options.ctx });
  }

  /** Takes a worker on: clears what an earlier life left there. Resolves once it may be offered. */
  async adopt(worker: Worker): Promise<void> {
    if (this.#client?.address !== worker.address) this.#connect(worker);
    const client = this.#client!;
    while (!this.#stopped && client === this.#client) {
      try {
        await this.#leftovers.clear(client, (name) => this.#tasks.has(name));
        this.#worker = worker;
        return;
      } catch (err) {
        this.#ctx.metrics.count('worker.adopt.failed');
        this.#ctx.timeline.record('worker.silent', worker.id, { detail: (err as Error).message });
        await pause(ADOPT_RETRY_MS);
      }
    }
  }

  /** The worker leaves: nothing new is reserved, what runs goes on. */
  leave(): void {
    this.#worker = undefined;
  }

  get draining(): boolean {
    return this.#draining;
  }

  setDraining(on: boolean): void {
    this.#draining = on;
  }

  /** Tasks that haven't ended. */
  get active(): number {
    return this.#tasks.size;
  }

  stop(): void {
    this.#stopped = true;
    clearTimeout(this.#timer);
    this.#watch?.stop();
    this.#tasks.forEach((task) => task.close());
    this.#client?.close();
  }

  /** Throws ProblemError if the order is stale. */
  admit(order: Order): void {
    this.#book.admit(order);
  }

  /** Resolves when no task is left. */
  async whenIdle(): Promise<void> {
    if (this.#tasks.size === 0) return;
    await new Promise<void>((resolve) => {
      this.#onIdle = resolve;
    });
  }

  /** Sets capacity aside and prepares the task, if there is one. */
  reserve(req: GangReserve): MethodRes<'gang.reserve'> {
    const known = this.#book.find(req.ref);
    if (!known && this.#draining) throw draining();
    if (!this.#worker || !this.#client) throw noWorker();
    if (!known && this.#leftovers.find(req.ref)) this.#book.stop(req.ref, req.order, this.#now());
    const { state, isNew } = this.#book.reserve(req, this.#worker, this.#now());
    if (isNew && req.task) this.#prepare(req, this.#client);
    else if (!isNew) this.#tasks.get(taskName(req.ref))?.renew();
    if (isNew) this.#ctx.timeline.record('gang.reserved', req.ref.key, jobOf(req.ref));
    this.#arm();
    return { state };
  }

  async start(ref: AttemptRef, order: Order): Promise<MethodRes<'gang.start'>> {
    const name = taskName(ref);
    const left = this.#leftovers.find(ref);
    if (left) {
      this.#book.admit(order);
      return { state: 'ended', end: left };
    }
    const answer = this.#book.start(ref, order, this.#now());
    if (answer.todo === 'nothing') return pick(answer);
    const task = this.#tasks.get(name);
    if (!task) throw taskUnknown();
    const underWay = this.#starting.get(name) ?? this.#startTask(task);
    this.#starting.set(name, underWay);
    try {
      return await underWay;
    } finally {
      this.#starting.delete(name);
    }
  }

  /** Releases or stops; answers once it surely doesn't run any more. */
  async stopMember({ ref, order, checkpoint, limitMs }: MethodReq<'gang.stop'>): Promise<TaskEnd> {
    const left = this.#leftovers.find(ref);
    const wasRunning = this.#book.find(ref)?.state === 'running';
    const answer = this.#book.stop(ref, order, this.#now());
    if (left) return left;
    if (answer.todo === 'nothing') return answer.end;
    const task = this.#tasks.get(taskName(ref));
    if (!task) throw taskUnknown();
    const ended = this.#whenEnded(task);
    if (checkpoint && wasRunning && limitMs > 0) await task.checkpoint(limitMs);
    void task.stop();
    return ended;
  }

  async throttle(ref: AttemptRef, order: Order, cores: number): Promise<void> {
    this.#book.admit(order);
    const task = this.#tasks.get(taskName(ref));
    if (!task || !(await task.throttle(cores))) throw taskUnknown();
    this.#ctx.timeline.record('task.throttled', ref.key, { ...jobOf(ref), cores });
  }

  forget(ref: AttemptRef, order: Order): void {
    this.#book.forget(ref, order);
    this.#leftovers.forget(ref);
    // Best effort: what stays is cleared as a leftover by the next life of this guard.
    if (!this.#book.find(ref)) this.#client?.forget(taskName(ref)).catch(() => undefined);
  }

  inventory(order: Order): { reservations: Reservation[]; highestTerm: number } {
    this.#book.admit(order);
    const { highestTerm } = this.#book;
    const left = this.#leftovers.inventory(this.#worker?.id ?? 'unknown', highestTerm);
    return { reservations: [...this.#book.inventory(), ...left], highestTerm };
  }

  /** Lagged usage of what runs. */
  usages(): TaskUsage[] {
    return [...this.#tasks.values()].flatMap(({ ref, status }) =>
      status?.state === 'running' ? [{ ref, ...status.usage }] : [],
    );
  }

  #connect(worker: Worker): void {
    this.#watch?.stop();
    this.#client = new WorkerClient({ address: worker.address });
    this.#watch = new WorkerWatch({
      worker: this.#client,
      onStatus: (status) => this.#tasks.get(status.task)?.noteStatus(status),
    });
    this.#watch.start();
  }

  #prepare({ ref, member, task, order }: GangReserve, worker: WorkerClient): void {
    const { taskLeaseMs, clockMargin } = this.#options.settings;
    const { tasks, kind, params, checkpoint, checkpointable, maxRunMs } = task!;
    const { accelerators, cores, memoryMb } = member;
    const name = taskName(ref);
    const guarded = new GuardedTask({
      ref,
      order: {
        ...{ task: name, member: ref.member, accelerators, cores, memoryMb },
        ...{ tasks, kind, params, checkpointable },
        ...(checkpoint === undefined ? {} : { checkpoint }),
      },
      maxRunMs,
      worker,
      clock: this.#ctx.clock,
      leaseMs: taskLeaseMs,
      clockMargin,
      reservedMs: () => this.#book.reservedMs(ref, this.#now()),
      onStatus: (from, status) => this.#noteStatus(from, status),
      onEnd: (from, end) => this.#noteEnd(from, end),
    });
    this.#tasks.set(name, guarded);
    this.#ctx.timeline.record('task.preparing', name, { ...jobOf(ref), term: order.term });
    void guarded.prepare();
  }

  async #startTask(task: GuardedTask): Promise<MethodRes<'gang.start'>> {
    const { ref } = task;
    const answer = await task.start();
    const now = this.#now();
    if (answer === 'unknown') throw startLost();
    if (answer === 'refused') this.#book.startRefused(ref);
    if (answer === 'started' && this.#book.started(ref, now)) {
      this.#ctx.timeline.record('task.started', task.name, jobOf(ref));
      task.renew();
      return { state: 'running' };
    }
    // Refused, ended meanwhile, or started by a process that was paused past its reservation.
    const ended = this.#whenEnded(task);
    void task.stop();
    return { state: 'ended', end: await ended };
  }

  #noteStatus({ ref }: GuardedTask, { state }: WorkerTaskStatus): void {
    if (state === 'ready' && this.#book.ready(ref)) this.#options.onReady(ref);
    const starting = this.#book.reservedMs(ref, this.#now()) !== undefined;
    if (state !== 'running' || !starting) return;
    // The answer to its start was lost.
    if (!this.#book.started(ref, this.#now())) void this.#tasks.get(taskName(ref))?.stop();
  }

  #noteEnd(task: GuardedTask, plain: PlainEnd): void {
    const end = this.#book.ended(task.ref, plain, this.#now());
    this.#tasks.delete(task.name);
    this.#ctx.metrics.count(`task.${end.outcome}`);
    this.#ctx.timeline.record('task.ended', task.name, {
      ...jobOf(task.ref),
      outcome: end.outcome,
      ranMs: Math.round(end.ranMs),
    });
    this.#waiters.get(task.name)?.forEach((resolve) => resolve(end));
    this.#waiters.delete(task.name);
    this.#options.onEnded(end);
    if (this.#tasks.size === 0) this.#onIdle?.();
  }

  async #whenEnded(task: GuardedTask): Promise<TaskEnd> {
    const known = this.#book.find(task.ref)?.end;
    if (known) return known;
    return new Promise((resolve) => {
      this.#waiters.set(task.name, [...(this.#waiters.get(task.name) ?? []), resolve]);
    });
  }

  /** Sets the alarm for the next reservation that runs out. */
  #arm(): void {
    clearTimeout(this.#timer);
    const at = this.#book.nextExpiryAt();
    if (at === undefined || this.#stopped) return;
    this.#timer = setTimeout(() => this.#expire(), Math.max(1, at - this.#now()));
  }

  #expire(): void {
    this.#book.expire(this.#now()).forEach((ref) => {
      this.#ctx.metrics.count('reservation.expired');
      void this.#tasks.get(taskName(ref))?.stop();
    });
    this.#arm();
  }

  #now(): number {
    return this.#ctx.clock.now();
  }
}

function jobOf({ key, attempt, member }: AttemptRef): {
  job: string;
  attempt: number;
  member: number;
} {
  return { job: key, attempt, member };
}

function pick({ state, end }: MethodRes<'gang.start'>): MethodRes<'gang.start'> {
  return { state, ...(end === undefined ? {} : { end }) };
}

async function pause(ms: number): Promise<void> {
  await new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}
