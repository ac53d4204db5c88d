/** A guard of one worker: the real reservation book with a worker that does what the test says. */
import {
  LinkError,
  ReservationBook,
  type AttemptRef,
  type Clock,
  type GangReserve,
  type Handlers,
  type Method,
  type MethodReq,
  type MethodRes,
  type Order,
  type Peer,
  type ProcessId,
  type TaskEnd,
  type Worker,
} from '@zincspan/core';

/** Fits settings of 20 s of silence and leases of about 18 s. */
export const FAKE_CONTACT = { silenceMs: 20_000, fencedMs: 60_000 };

interface Orders {
  order: Order;
  ref: AttemptRef;
}

export class FakeGuard implements Peer {
  readonly worker: Worker;

  process: ProcessId;

  book: ReservationBook;

  /** Refs that the worker was told to run, as `key#attempt#member`, in order. */
  readonly ran: string[] = [];

  readonly methods: Method[] = [];

  closed = false;

  /** Tasks are prepared at once; otherwise by `prepare`. */
  autoReady = true;

  /** Its word that a task is ready is handled before its answer to the reservation. */
  saysReadyFirst = false;

  /** The next calls are carried out, but their answers are lost. */
  loseAnswers = 0;

  /** Who hears of ends: the handlers of the entry that owns the failure domain. */
  listener: Handlers | undefined;

  readonly #clock: Clock;

  constructor({ worker, clock }: { worker: Worker; clock: Clock }) {
    this.worker = worker;
    this.#clock = clock;
    this.process = this.#newLife(1);
    this.book = this.#newBook();
  }

  /** Another life of the guard: its book is empty. */
  restart(): void {
    const life = Number(this.process.incarnation.split('-').pop()) + 1;
    this.process = this.#newLife(life);
    this.book = this.#newBook();
  }

  async call<M extends Method>(method: M, req: MethodReq<M>): Promise<MethodRes<M>> {
    await Promise.resolve();
    if (this.closed) throw new LinkError('not-sent', 'The link is closed.');
    this.methods.push(method);
    const res = this.#answer(method, req);
    if (this.loseAnswers === 0) return res as MethodRes<M>;
    this.loseAnswers -= 1;
    throw new LinkError('lost', 'The answer was lost.');
  }

  /** The worker finishes what it runs. */
  async finish(outcome: TaskEnd['outcome'], extra: Partial<TaskEnd> = {}): Promise<void> {
    const running = this.book.inventory().filter(({ state }) => state === 'running');
    const ends = running.map(({ ref }) => this.#end(ref, outcome, extra));
    await Promise.all(ends.map((end) => this.listener?.['task.ended']?.(end, this)));
  }

  /** What waits at the barrier is ready from now on. */
  async prepare(): Promise<void> {
    const { incarnation } = this.process;
    const waiting = this.book.inventory().filter(({ state }) => state === 'preparing');
    waiting.forEach(({ ref }) => this.book.ready(ref));
    await Promise.all(
      waiting.map(({ ref }) => this.listener?.['task.ready']?.({ ref, incarnation }, this)),
    );
  }

  /** Lets go of what wasn't started in time. */
  lapse(): void {
    this.book.expire(this.#clock.now()).forEach((ref) => {
      this.#end(ref, 'never-started', { ranMs: 0 });
    });
  }

  count(state: string): number {
    return this.book.inventory().filter((each) => each.state === state).length;
  }

  #answer(method: Method, req: unknown): unknown {
    switch (method) {
      case 'gang.reserve':
        return this.#reserve(req as GangReserve);
      case 'gang.start':
        return this.#start(req as Orders);
      case 'gang.stop':
        return this.#stop(req as Orders & { checkpoint: boolean });
      case 'gang.forget':
        this.book.forget((req as Orders).ref, (req as Orders).order);
        return {};
      case 'guard.inventory':
        this.book.admit((req as Orders).order);
        return { reservations: this.book.inventory(), highestTerm: this.book.highestTerm };
      default:
        return {};
    }
  }

  #reserve(req: GangReserve): unknown {
    const { state } = this.book.reserve(req, this.worker, this.#clock.now());
    if (state === 'preparing' && this.saysReadyFirst) {
      void this.prepare();
      return { state, contact: FAKE_CONTACT };
    }
    if (state === 'preparing' && this.autoReady) this.book.ready(req.ref);
    return { state: this.book.find(req.ref)?.state ?? state, contact: FAKE_CONTACT };
  }

  #start({ ref, order }: Orders): unknown {
    const answer = this.book.start(ref, order, this.#clock.now());
    if (answer.todo === 'nothing') return answer.res;
    this.ran.push(`${ref.key}#${ref.attempt}#${ref.member}`);
    this.book.started(ref, this.#clock.now());
    return { state: 'running' };
  }

  #stop({ ref, order, checkpoint }: Orders & { checkpoint: boolean }): unknown {
    const ran = this.book.find(ref)?.state === 'running';
    const answer = this.book.stop(ref, order, this.#clock.now());
    if (answer.todo === 'nothing') return answer.end;
    if (!ran) return this.#end(ref, 'never-started');
    if (!checkpoint) return this.#end(ref, 'stopped');
    return this.#end(ref, 'checkpointed', { checkpoint: `at-${ref.attempt}-${ref.member}` });
  }

  #end(ref: AttemptRef, outcome: TaskEnd['outcome'], extra: Partial<TaskEnd> = {}): TaskEnd {
    const end = { outcome, detail: '', ranMs: 1000, ...extra };
    return this.book.ended(ref, end, this.#clock.now());
  }

  #newLife(life: number): ProcessId {
    const id = `guard-${this.worker.id}`;
    return { id, role: 'guard', incarnation: `${id}-life-${life}`, failureDomain: 'hall' };
  }

  #newBook(): ReservationBook {
    return new ReservationBook({
      incarnation: this.process.incarnation,
      failureDomain: this.process.failureDomain,
    });
  }
}
