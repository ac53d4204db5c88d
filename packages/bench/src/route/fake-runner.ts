/** A runner with its guard's real slot queue; only the work itself is made up. */
import {
  ProblemError,
  SlotQueue,
  type Problem,
  type QueuedRequest,
  type RunnerLoad,
} from '@zincspan/core';
import type { RandomSource } from './random-source.js';
import type { VirtualTime } from './virtual-time.js';

/** A request as a runner gets it. `serviceMs` is what it takes on a healthy runner. */
export interface RunnerRequest extends QueuedRequest {
  serviceMs: number;
  answer(result: RunnerAnswer): void;
}

/** What comes back. */
export type RunnerAnswer =
  | { outcome: 'answered'; serviceMs: number; load: RunnerLoad }
  | { outcome: 'problem'; problem: Problem; load: RunnerLoad };

/** What can be wrong with a runner. */
export interface RunnerTrouble {
  /** Service takes this many times as long. */
  slowFactor: number;
  /** Nothing comes back any more, and nothing gets in. */
  silent: boolean;
  /** Share of runs that stall, for a reason of the runner's own. */
  stallShare: number;
}

const STALL_MS = 500;

/** One runner. */
export class FakeRunner {
  readonly id: string;

  readonly failureDomain: string;

  readonly slots: number;

  #trouble: RunnerTrouble = { slowFactor: 1, silent: false, stallShare: 0 };

  /** Time spent in slots, in ms. */
  busyMs = 0;

  readonly #time: VirtualTime;

  readonly #random: RandomSource;

  readonly #queue: SlotQueue;

  readonly #requests = new Map<string, RunnerRequest>();

  constructor({
    id,
    failureDomain,
    slots,
    time,
    random,
  }: {
    id: string;
    failureDomain: string;
    slots: number;
    time: VirtualTime;
    random: RandomSource;
  }) {
    this.id = id;
    this.failureDomain = failureDomain;
    this.slots = slots;
    this.#time = time;
    this.#random = random;
    this.#queue = new SlotQueue({ slots });
  }

  setTrouble(trouble: Partial<RunnerTrouble>): void {
    this.#trouble = { ...this.#trouble, ...trouble };
  }

  receive(req: RunnerRequest): void {
    if (this.#trouble.silent) return;
    this.#requests.set(req.id, req);
    try {
      this.#apply(this.#queue.offer(req, this.#time.now));
    } catch (err) {
      if (!(err instanceof ProblemError)) throw err;
      this.#refuse(req.id, err.problem);
    }
    this.#wakeForDeadlines();
  }

  /** The caller is gone: a waiting request leaves the queue, a running one keeps its slot to its end. */
  cancel(id: string): void {
    if (this.#trouble.silent || !this.#queue.remove(id)) return;
    this.#requests.delete(id);
  }

  #apply({ start, drop }: ReturnType<SlotQueue['advance']>): void {
    start.forEach((id) => this.#start(id));
    drop.forEach(({ id, problem }) => this.#refuse(id, problem));
  }

  #start(id: string): void {
    const req = this.#requests.get(id);
    if (req === undefined) return;
    const stallMs = this.#random.uniform() < this.#trouble.stallShare ? STALL_MS : 0;
    const serviceMs = req.serviceMs * this.#trouble.slowFactor + stallMs;
    this.#time.after(serviceMs, () => this.#finish(req, serviceMs));
  }

  #finish(req: RunnerRequest, serviceMs: number): void {
    this.busyMs += serviceMs;
    this.#requests.delete(req.id);
    const change = this.#queue.release(req.id, this.#time.now);
    this.#answer(req, { outcome: 'answered', serviceMs, load: this.#queue.load });
    this.#apply(change);
  }

  #refuse(id: string, problem: Problem): void {
    const req = this.#requests.get(id);
    this.#requests.delete(id);
    if (req) this.#answer(req, { outcome: 'problem', problem, load: this.#queue.load });
  }

  #answer(req: RunnerRequest, answer: RunnerAnswer): void {
    if (!this.#trouble.silent) req.answer(answer);
  }

  #wakeForDeadlines(): void {
    const at = this.#queue.nextAdvanceAt();
    if (at === undefined) return;
    const delayMs = Math.max(0, at - this.#time.now) + 0.001;
    this.#time.after(delayMs, () => this.#apply(this.#queue.advance(this.#time.now)));
  }
}
