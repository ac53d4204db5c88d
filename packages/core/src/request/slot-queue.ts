/**
 * Which requests a runner gets next: at most `slots` at once, the rest in a bounded queue.
 *
 * Urgent requests come first; then the account with the fewest running; within an account the earliest deadline.
 * When the queue is full a newcomer takes the place of the last request of the account that holds most places, if
 * its own account holds fewer, so that one account's burst can't fill the queue.
 */
import { ProblemError, problem } from '../error/problem.js';
import { ServiceTimes } from './service-times.js';

/** A request as the queue sees it. `deadlineAt` in monotonic ms. */
export interface QueuedRequest {
  id: string;
  account: string;
  kind: string;
  urgent: boolean;
  deadlineAt: number;
}

/** What to do at once: `start` may run now, `drop` lost its place or can't meet its deadline any more. */
export interface SlotChange {
  start: string[];
  drop: { id: string; problem: ProblemError['problem'] }[];
}

/** Told to those refused before anything was measured, in ms. */
const LEAST_RETRY_MS = 20;

/** Slots and queue of one runner. Times are monotonic ms, passed in. */
export class SlotQueue {
  readonly slots: number;

  readonly #bound: number;

  readonly #running = new Map<string, QueuedRequest & { startedAt: number }>();

  readonly #perAccount = new Map<string, number>();

  #queue: QueuedRequest[] = [];

  readonly #services = new ServiceTimes();

  constructor({ slots, bound = 64 }: { slots: number; bound?: number }) {
    this.slots = slots;
    this.#bound = bound;
  }

  /** Load as told to entries. */
  get load(): { inUse: number; queued: number; slots: number } {
    return { inUse: this.#running.size, queued: this.#queue.length, slots: this.slots };
  }

  /** Takes a request in. Throws ProblemError `deadline-passed` or `overloaded`, both not run. */
  offer(req: QueuedRequest, now: number): SlotChange {
    if (!this.#canMeet(req, now)) throw new ProblemError(this.#tooLate(req, now));
    if (this.#running.size < this.slots && this.#queue.length === 0) {
      this.#start(req, now);
      return { start: [req.id], drop: [] };
    }
    const displaced = this.#queue.length < this.#bound ? undefined : this.#displace(req);
    this.#queue.push(req);
    const change = this.advance(now);
    if (displaced) change.drop.push({ id: displaced.id, problem: this.#overloaded() });
    return change;
  }

  /** A running request ended. */
  release(id: string, now: number): SlotChange {
    const ended = this.#running.get(id);
    if (ended) {
      this.#running.delete(id);
      this.#countRunning(ended.account, -1);
      this.#services.observe(ended.kind, now - ended.startedAt);
    }
    return this.advance(now);
  }

  /** Takes a request out of the queue; false if it isn't queued (any more). */
  remove(id: string): boolean {
    const before = this.#queue.length;
    this.#queue = this.#queue.filter((req) => req.id !== id);
    return this.#queue.length < before;
  }

  /** Drops what can't meet its deadline any more and fills free slots. */
  advance(now: number): SlotChange {
    const change: SlotChange = { start: [], drop: [] };
    this.#queue = this.#queue.filter((req) => {
      if (now + this.#services.shortestMs(req.kind) <= req.deadlineAt) return true;
      change.drop.push({ id: req.id, problem: this.#tooLate(req, now) });
      return false;
    });
    while (this.#running.size < this.slots && this.#queue.length > 0) {
      const next = this.#queue.reduce((best, req) => (this.#before(req, best) ? req : best));
      this.#queue = this.#queue.filter((req) => req !== next);
      this.#start(next, now);
      change.start.push(next.id);
    }
    return change;
  }

  /** When `advance` should be called next although nothing ends, if ever. */
  nextAdvanceAt(): number | undefined {
    if (this.#queue.length === 0) return undefined;
    return Math.min(
      ...this.#queue.map((req) => req.deadlineAt - this.#services.shortestMs(req.kind)),
    );
  }

  /** Expected wait of a newcomer, in ms. */
  expectedWaitMs(): number {
    return this.#waitBehind(this.#queue);
  }

  /** Half of what runs is done on average; the rest and those ahead share the slots. */
  #waitBehind(ahead: QueuedRequest[]): number {
    if (this.#running.size < this.slots) return 0;
    const sum = (requests: QueuedRequest[]): number =>
      requests.reduce((total, { kind }) => total + this.#services.meanMs(kind), 0);
    return (sum(ahead) + sum([...this.#running.values()]) / 2) / this.slots;
  }

  #canMeet(req: QueuedRequest, now: number): boolean {
    // With a free slot it may try, or a bad estimate would refuse for ever and never be corrected.
    if (this.#running.size < this.slots) return req.deadlineAt > now;
    const ahead = this.#queue.filter((other) => !this.#before(req, other));
    return now + this.#waitBehind(ahead) + this.#services.shortestMs(req.kind) <= req.deadlineAt;
  }

  #before(a: QueuedRequest, b: QueuedRequest): boolean {
    if (a.urgent !== b.urgent) return a.urgent;
    const fewer = this.#runningOf(a.account) - this.#runningOf(b.account);
    if (a.account !== b.account && fewer !== 0) return fewer < 0;
    return a.deadlineAt < b.deadlineAt;
  }

  #runningOf(account: string): number {
    return this.#perAccount.get(account) ?? 0;
  }

  /** Frees a place for `req`; throws if its account holds as many as any other. */
  #displace(req: QueuedRequest): QueuedRequest {
    const places = groupByAccount(this.#queue);
    const largest = [...places.values()].sort((a, b) => b.length - a.length)[0];
    const own = places.get(req.account)?.length ?? 0;
    if (!largest || own + 1 >= largest.length) throw new ProblemError(this.#overloaded());
    const last = largest.reduce((worst, other) => (this.#before(other, worst) ? worst : other));
    this.remove(last.id);
    return last;
  }

  #start(req: QueuedRequest, now: number): void {
    this.#running.set(req.id, { ...req, startedAt: now });
    this.#countRunning(req.account, 1);
  }

  #countRunning(account: string, by: number): void {
    const count = this.#runningOf(account) + by;
    if (count === 0) this.#perAccount.delete(account);
    else this.#perAccount.set(account, count);
  }

  #tooLate(req: QueuedRequest, now: number): ProblemError['problem'] {
    return problem('deadline-passed', {
      detail: `The request had ${Math.max(0, Math.round(req.deadlineAt - now))} ms left, too few to answer it.`,
      remedy: 'Try again after retryAfterMs, with a longer deadline.',
      retryAfterMs: Math.max(LEAST_RETRY_MS, this.expectedWaitMs()),
      facts: { queued: this.#queue.length, slots: this.slots },
    });
  }

  #overloaded(): ProblemError['problem'] {
    return problem('overloaded', {
      detail: `All ${this.slots} slots and ${this.#bound} queue places are taken.`,
      remedy: 'Try again after retryAfterMs, or on another runner.',
      retryAfterMs: Math.max(LEAST_RETRY_MS, this.expectedWaitMs()),
      facts: { bound: this.#bound, slots: this.slots },
    });
  }
}

function groupByAccount(queue: QueuedRequest[]): Map<string, QueuedRequest[]> {
  const groups = new Map<string, QueuedRequest[]>();
  queue.forEach((req) => {
    const group = groups.get(req.account);
    if (group) group.push(req);
    else groups.set(req.account, [req]);
  });
  return groups;
}
