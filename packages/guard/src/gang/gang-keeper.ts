/** Carries out what the reservation book decides, on the worker beside this guard. */
import {
  ReservationBook,
  contactTimes,
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
import { Alarm } from '../alarm.js';
import { AdoptedWorker } from './adopted-worker.js';
import { EarlierLife } from './earlier-life.js';
import { EndWaiters } from './end-waiters.js';
import { draining, noWorker, notCleared, startLost, taskUnknown } from './gang-problem.js';
import { GuardedTask } from './guarded-task.js';
import { Leftovers } from './leftovers.js';
import type { OwnerContact } from './owner-contact.js';
import type { PlainEnd } from './task-end.js';
import { jobOf, toRef, toTaskOrder } from './task-order.js';
import type { WorkerClient } from './worker-client.js';

/** What the keeper needs. */
export interface GangKeeperOptions {
  ctx: ProcessContext;
  settings: GuardSettings;
  contact: Pick<OwnerContact, 'mayGoOn'>;
  onReady: (ref: AttemptRef) => void;
  onEnded: (end: TaskEnd) => void;
}

/** The sole way to one worker. */
export class GangKeeper {
  readonly #ctx: ProcessContext;

  readonly #options: GangKeeperOptions;

  readonly #book: ReservationBook;

  readonly #leftovers: Leftovers;

  readonly #earlier: EarlierLife;

  readonly #tasks = new Map<string, GuardedTask>();

  readonly #adopted: AdoptedWorker;

  readonly #waiters = new EndWaiters();

  readonly #starting = new Map<string, Promise<MethodRes<'gang.start'>>>();

  #draining = false;

  readonly #alarm: Alarm;

  #onIdle: (() => void)[] = [];

  constructor(options: GangKeeperOptions) {
    const { self } = options.ctx;
    this.#ctx = options.ctx;
    this.#options = options;
    this.#book = new ReservationBook(self);
    this.#leftovers = new Leftovers({ ctx: options.ctx });
    const { taskLeaseMs: leaseMs, clockMargin } = options.settings;
    this.#earlier = new EarlierLife({ clock: this.#ctx.clock, leaseMs, clockMargin });
    this.#alarm = new Alarm({ clock: this.#ctx.clock, ring: () => this.#expire() });
    this.#adopted = new AdoptedWorker({
      ctx: options.ctx,
      leftovers: this.#leftovers,
      isKnown: (name) => this.#isKnown(name),
      onStatus: (status) => this.#tasks.get(status.task)?.noteStatus(status),
    });
  }

  /** Takes a worker on; true once it may be offered. */
  async adopt(worker: Worker): Promise<boolean> {
    const isOffered = await this.#adopted.adopt(worker);
    if (isOffered) this.#earlier.cleared();
    return isOffered;
  }

  /** The worker leaves: nothing new is reserved, what runs goes on. */
  leave(): void {
    this.#adopted.leave();
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
    this.#alarm.stop();
    this.#tasks.forEach((task) => task.close());
    this.#adopted.stop();
  }

  /** Throws ProblemError if the order is stale. */
  admit(order: Order): void {
    this.#book.admit(order);
  }

  /** Resolves when no task is left. */
  async whenIdle(): Promise<void> {
    if (this.#tasks.size === 0) return;
    await new Promise<void>((resolve) => {
      this.#onIdle.push(resolve);
    });
  }

  /** Sets capacity aside and prepares the task, if there is one. */
  reserve(req: GangReserve): MethodRes<'gang.reserve'> {
    const known = this.#book.find(req.ref);
    if (!known && this.#draining) throw draining();
    const { worker, client } = this.#adopted;
    if (!worker || !client) throw noWorker();
    if (!known && this.#leftovers.find(req.ref)) this.#book.stop(req.ref, req.order, this.#now());
    const { state, isNew } = this.#book.reserve(req, worker, this.#now());
    if (isNew && req.task) this.#prepare(req, client);
    else if (!isNew) this.#tasks.get(taskName(req.ref))?.renew();
    if (isNew) this.#ctx.timeline.record('gang.reserved', req.ref.key, jobOf(req.ref));
    this.#alarm.set(this.#book.nextExpiryAt());
    return { state, contact: contactTimes(this.#options.settings) };
  }

  async start(ref: AttemptRef, order: Order): Promise<MethodRes<'gang.start'>> {
    const name = taskName(ref);
    const left = this.#leftovers.find(ref);
    if (left) {
      this.#book.admit(order);
      return { state: 'ended', end: left };
    }
    if (this.#mayBeLeftover(ref)) {
      this.#book.admit(order);
      throw notCleared();
    }
    const answer = this.#book.start(ref, order, this.#now());
    if (answer.todo === 'nothing') return answer.res;
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
    const mayBeLeftover = this.#mayBeLeftover(ref);
    const answer = this.#book.stop(ref, order, this.#now());
    if (left) return left;
    if (mayBeLeftover) throw notCleared();
    if (answer.todo === 'nothing') return answer.end;
    const task = this.#tasks.get(taskName(ref));
    if (!task) throw taskUnknown();
    const ended = this.#whenEnded(task);
    if (checkpoint && limitMs > 0 && (wasRunning || task.isCheckpointing)) {
      await task.checkpoint(limitMs);
    }
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
    if (!this.#book.find(ref)) this.#adopted.client?.forget(taskName(ref)).catch(() => undefined);
  }

  inventory(order: Order): { reservations: Reservation[]; highestTerm: number } {
    this.#book.admit(order);
    const { highestTerm } = this.#book;
    const left = this.#leftovers.inventory(this.#adopted.worker?.id ?? 'unknown', highestTerm);
    return { reservations: [...this.#book.inventory(), ...left], highestTerm };
  }

  /** Lagged usage of what runs. */
  usages(): TaskUsage[] {
    return [...this.#tasks.values()].flatMap(({ ref, status }) =>
      status?.state === 'running' ? [{ ref, ...status.usage }] : [],
    );
  }

  /** Not known here, but an earlier life may have started it. */
  #mayBeLeftover(ref: AttemptRef): boolean {
    return this.#book.find(ref) === undefined && this.#earlier.mayRun;
  }

  #isKnown(name: string): boolean {
    const ref = toRef(name);
    return ref !== undefined && this.#book.find(ref) !== undefined;
  }

  #prepare(req: GangReserve, worker: WorkerClient): void {
    const { ref, order, task } = req;
    const { taskLeaseMs, clockMargin } = this.#options.settings;
    const name = taskName(ref);
    const guarded = new GuardedTask({
      ref,
      order: toTaskOrder(req),
      maxRunMs: task!.maxRunMs,
      worker,
      clock: this.#ctx.clock,
      leaseMs: taskLeaseMs,
      clockMargin,
      reservedMs: () => this.#book.reservedMs(ref, this.#now()),
      mayGoOn: () => this.#options.contact.mayGoOn(),
      onFenced: (from) => this.#noteFenced(from),
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

  #noteFenced({ name, ref }: GuardedTask): void {
    this.#ctx.metrics.count('task.fenced');
    this.#ctx.timeline.record('task.fenced', name, jobOf(ref));
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
    this.#waiters.settle(task.name, end);
    this.#options.onEnded(end);
    if (this.#tasks.size === 0) this.#onIdle.splice(0).forEach((resolve) => resolve());
  }

  async #whenEnded(task: GuardedTask): Promise<TaskEnd> {
    return this.#book.find(task.ref)?.end ?? this.#waiters.wait(task.name);
  }

  #expire(): void {
    this.#book.expire(this.#now()).forEach((ref) => {
      this.#ctx.metrics.count('reservation.expired');
      void this.#tasks.get(taskName(ref))?.stop();
    });
    this.#alarm.set(this.#book.nextExpiryAt());
  }

  #now(): number {
    return this.#ctx.clock.now();
  }
}
