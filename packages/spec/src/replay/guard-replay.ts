/** Replays the acts of guards against the real reservation book. */
import {
  ProblemError,
  ReservationBook,
  type AttemptRef,
  type GangReserve,
  type Order as RealOrder,
  type TaskEnd,
  type Worker,
} from '@zincspan/core';
import type { GangAct } from '../gang/acts.js';
import { RIVAL, type GangState, type Guard, type Order, type Task } from '../gang/state.js';

const TTL_MS = 1000;
const FAILURE_DOMAIN = 'ernakulam';
const KEY = 'jobs/tuul/render';
const RIVAL_KEY = 'jobs/tuul/rival';

const WORKER: Worker = {
  type: 'worker',
  id: 'w0',
  address: '127.0.0.1:7400',
  rack: 'r0',
  rackPosition: 0,
  cores: 4,
  memoryMb: 1024,
  accelerators: 1,
};

/** One guard of the model, by the real book. */
export class GuardReplay {
  readonly #guard: number;

  #book: ReservationBook;

  #now = 0;

  #rivals = 0;

  constructor(guard: number) {
    this.#guard = guard;
    this.#book = newBook(0);
  }

  /** Carries out an act that the model took from one state to the next. */
  apply(act: GangAct, before: GangState, after: GangState): void {
    const was = before.guards[this.#guard]!;
    if (act.kind === 'deliver' && was.up) this.#deliver(act.order, was);
    if (!('guard' in act) || after === before) return;
    const gone = was.tasks.filter(
      (task) => !after.guards[this.#guard]!.tasks.some((other) => isSame(task, other)),
    );
    this.#act(act, was, gone[0], after);
  }

  /** What the book holds, in the words of the model. */
  view(): { high: number; tasks: string[] } {
    const tasks = this.#book
      .inventory()
      .filter(({ state }) => state !== 'ended')
      .map(({ ref, state }) => `${ref.key === KEY ? ref.attempt : RIVAL}.${ref.member} ${state}`);
    return { high: this.#book.highestTerm, tasks };
  }

  #act(act: GangAct, was: Guard, gone: Task | undefined, after: GangState): void {
    switch (act.kind) {
      case 'worker-starts':
        this.#workerStarts(was, gone);
        return;
      case 'task-ends':
        this.#end(refOf(gone!), act.ok ? 'succeeded' : 'failed', 5);
        return;
      case 'lapse':
        if (was.up && gone) this.#end(refOf(gone), 'lease-lapsed', 5);
        if (was.up && !gone) this.#now += TTL_MS;
        return;
      case 'expire':
        this.#book.expire(this.#now).forEach((ref) => this.#end(ref, 'stopped', 0));
        return;
      case 'rival':
        this.#rival(was);
        return;
      case 'rival-leaves':
        this.#book.stop(this.#rivalRef(), orderOf(was), this.#now);
        this.#end(this.#rivalRef(), 'stopped', 0);
        return;
      case 'restart-guard':
        this.#book = newBook(after.guards[this.#guard]!.inc);
        break;
      default:
    }
  }

  #deliver(order: Order, was: Guard): void {
    const ref = refOf(order);
    const isStarting = was.tasks.some(
      ({ st, attempt, member }) =>
        st === 'starting' && attempt === order.attempt && member === order.member,
    );
    const real = realOrder(order);
    unlessRefused(() => {
      if (order.kind === 'reserve') this.#reserve(ref, real);
      if (order.kind === 'start') this.#book.start(ref, real, this.#now);
      // The model lets the guard await the worker's answer to the start before it stops.
      if (order.kind === 'stop' && !isStarting) this.#stop(ref, real);
      if (order.kind === 'stop' && isStarting) this.#book.admit(real);
    });
  }

  #reserve(ref: AttemptRef, order: RealOrder): void {
    const { isNew } = this.#book.reserve(reserveOf(ref, order), WORKER, this.#now);
    if (isNew) this.#book.ready(ref);
  }

  #stop(ref: AttemptRef, order: RealOrder): void {
    const isRunning = this.#book.find(ref)?.state === 'running';
    const { todo } = this.#book.stop(ref, order, this.#now);
    if (todo === 'stop-task') this.#end(ref, 'stopped', isRunning ? 5 : 0);
  }

  #workerStarts(was: Guard, gone: Task | undefined): void {
    const task = was.tasks.find(({ st }) => st === 'starting')!;
    if (!was.up) return;
    if (!gone) {
      this.#book.started(refOf(task), this.#now);
      return;
    }
    this.#book.startRefused(refOf(task));
    this.#end(refOf(task), 'stopped', 0);
  }

  #rival(was: Guard): void {
    this.#rivals += 1;
    unlessRefused(() => this.#reserve(this.#rivalRef(), orderOf(was)));
  }

  #rivalRef(): AttemptRef {
    return { key: RIVAL_KEY, attempt: this.#rivals, member: 0 };
  }

  #end(ref: AttemptRef, outcome: TaskEnd['outcome'], ranMs: number): void {
    this.#book.ended(ref, { outcome, detail: '', ranMs }, this.#now);
  }
}

/** What a guard of the model holds, in the words of the book. */
export function viewOf({ high, tasks }: Guard): { high: number; tasks: string[] } {
  const held = tasks.map(
    ({ attempt, member, st }) => `${attempt}.${member} ${st === 'held' ? 'ready' : 'running'}`,
  );
  return { high, tasks: held };
}

function isSame(a: Task, b: Task): boolean {
  return a.attempt === b.attempt && a.member === b.member;
}

function newBook(inc: number): ReservationBook {
  return new ReservationBook({ incarnation: incarnationOf(inc), failureDomain: FAILURE_DOMAIN });
}

function incarnationOf(inc: number): string {
  return `incarnation-${inc}`;
}

function refOf({ attempt, member }: { attempt: number; member: number }): AttemptRef {
  return { key: KEY, attempt, member };
}

function realOrder({ term, inc }: Pick<Order, 'term' | 'inc'>): RealOrder {
  return { failureDomain: FAILURE_DOMAIN, term, incarnation: incarnationOf(inc) };
}

/** An order of the owner whose term the guard knows. */
function orderOf({ high, inc }: Guard): RealOrder {
  return realOrder({ term: Math.max(1, high), inc });
}

function reserveOf(ref: AttemptRef, order: RealOrder): GangReserve {
  return {
    order,
    ref,
    member: { member: ref.member, worker: WORKER.id, accelerators: [0], cores: 1, memoryMb: 1 },
    ttlMs: TTL_MS,
    task: {
      account: 'tuul',
      kind: 'render',
      tasks: 2,
      params: {},
      checkpointable: false,
      maxRunMs: 1000,
    },
  };
}

function unlessRefused(fn: () => void): void {
  try {
    fn();
  } catch (err) {
    if (!(err instanceof ProblemError)) throw err;
  }
}
