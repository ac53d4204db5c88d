/**
 * Order of queued jobs. Jobs of one account and kind wait in a FIFO of their own; only the heads are compared,
 * so a decision costs as much as there are such queues, not jobs.
 */
import type { QueuedJob } from './scheduler.js';
import { JobFifo } from './job-fifo.js';
import { MinHeap } from '../statistics/min-heap.js';

/** What the order needs to know of the jobs of one account and kind. Times in ms. */
export interface QueueTraits {
  urgent: boolean;
  /** Contract of the kind, counted from submission. */
  withinMs?: number | undefined;
}

/** What the order asks of the rest of the scheduler. */
export interface OrderInputs {
  traits(kind: string): QueueTraits;
  /** Expected run time still to go, in ms; a high quantile keeps the tail. */
  runMs(job: QueuedJob): number;
  /** Weighted share of the account, lower first (FairShare.priority). */
  priority(account: string, now: number): number;
  /** The account's use over its due part among those waiting; 1 is exactly its part. */
  overuse(account: string, competing: string[]): number;
}

/** Place of a job in the order: by tier, then by rank. */
export interface QueuePlace {
  tier: number;
  rank: number;
}

/** Contract assumed of urgent kinds without one. */
const DEFAULT_URGENT_MS = 60_000;

/** Jobs waiting in one failure domain. */
export class QueueOrder {
  readonly #inputs: OrderInputs;

  readonly #starveAfterMs: number;

  readonly #agingMs: number;

  readonly #overusePenaltyMs: number;

  readonly #fifos = new Map<string, JobFifo>();

  readonly #fifoOf = new Map<string, JobFifo>();

  constructor({
    inputs,
    starveAfterMs = 4 * 3_600_000,
    agingMs = 3_600_000,
    overusePenaltyMs = 30_000,
  }: {
    inputs: OrderInputs;
    /** A waiting job is treated as urgent after this long. */
    starveAfterMs?: number;
    /** Waiting this long is worth one whole share of the failure domain. */
    agingMs?: number;
    /** An urgent job of an account at twice its due part stands back by this much. */
    overusePenaltyMs?: number;
  }) {
    this.#inputs = inputs;
    this.#starveAfterMs = starveAfterMs;
    this.#agingMs = agingMs;
    this.#overusePenaltyMs = overusePenaltyMs;
  }

  /** Jobs waiting. */
  get size(): number {
    return this.#fifoOf.size;
  }

  /** Adds a job at the place its submission gives it; a job known already is replaced. */
  add(job: QueuedJob): void {
    this.remove([job.key]);
    const name = `${job.account}/${job.spec.kind}`;
    const fifo = this.#fifos.get(name) ?? new JobFifo();
    this.#fifos.set(name, fifo);
    fifo.add(job);
    this.#fifoOf.set(job.key, fifo);
  }

  /** Takes jobs out, a whole wave of cancellations at once; unknown keys are ignored. */
  remove(keys: Iterable<string>): void {
    [...keys].forEach((key) => {
      this.#fifoOf.get(key)?.remove(key);
      this.#fifoOf.delete(key);
    });
  }

  has(key: string): boolean {
    return this.#fifoOf.has(key);
  }

  get(key: string): QueuedJob | undefined {
    return this.#fifoOf.get(key)?.get(key);
  }

  /** Jobs of an account, or of all, that wait. */
  count(account?: string): number {
    if (account === undefined) return this.size;
    return [...this.#fifos]
      .filter(([name]) => name.startsWith(`${account}/`))
      .reduce((total, [, fifo]) => total + fifo.size, 0);
  }

  /**
   * Jobs in order, lazily: taking the first few costs little. Don't add or remove while reading. Once `skipRest`
   * says so of a job, those of its account and kind that came after it are left out.
   */
  *inOrder(now: number, skipRest: (job: QueuedJob) => boolean = () => false): Generator<QueuedJob> {
    const heap = this.#heads(now);
    for (let head = heap.pop(); head !== undefined; head = heap.pop()) {
      yield head.job;
      if (skipRest(head.job)) continue;
      const { value } = head.rest.next();
      if (value) heap.push({ ...head, job: value, place: this.#place(value, head.overuse, now) });
    }
  }

  #heads(now: number): MinHeap<Head> {
    this.#dropEmpty();
    const accounts = this.#accounts();
    const overuse = new Map(accounts.map((name) => [name, this.#inputs.overuse(name, accounts)]));
    const heap = new MinHeap<Head>(compareHeads);
    this.#fifos.forEach((fifo) => {
      const rest = fifo.jobs();
      const { value } = rest.next();
      if (!value) return;
      const over = overuse.get(value.account) ?? 0;
      heap.push({ job: value, rest, overuse: over, place: this.#place(value, over, now) });
    });
    return heap;
  }

  /** Urgent and starved jobs by least slack; the others by fair share less what they waited. */
  #place(job: QueuedJob, overuse: number, now: number): QueuePlace {
    const { urgent, withinMs } = this.#inputs.traits(job.spec.kind);
    const slack = this.#slack(job, urgent, withinMs, now);
    if (urgent || slack <= 0) {
      return { tier: 0, rank: slack + Math.max(0, overuse - 1) * this.#overusePenaltyMs };
    }
    const waited = now - job.submittedAt;
    return { tier: 1, rank: this.#inputs.priority(job.account, now) - waited / this.#agingMs };
  }

  #slack(job: QueuedJob, urgent: boolean, withinMs: number | undefined, now: number): number {
    const starvesAt = job.submittedAt + this.#starveAfterMs;
    if (!urgent && withinMs === undefined) return starvesAt - now;
    const dueAt = job.submittedAt + (withinMs ?? DEFAULT_URGENT_MS);
    return Math.min(starvesAt, dueAt - this.#inputs.runMs(job)) - now;
  }

  #accounts(): string[] {
    return [...new Set([...this.#fifos.keys()].map((name) => name.slice(0, name.indexOf('/'))))];
  }

  #dropEmpty(): void {
    [...this.#fifos]
      .filter(([, fifo]) => fifo.size === 0)
      .forEach(([name]) => this.#fifos.delete(name));
  }
}

interface Head {
  job: QueuedJob;
  rest: Iterator<QueuedJob>;
  overuse: number;
  place: QueuePlace;
}

function compareHeads(a: Head, b: Head): number {
  return (
    a.place.tier - b.place.tier ||
    a.place.rank - b.place.rank ||
    a.job.submittedAt - b.job.submittedAt ||
    (a.job.key < b.job.key ? -1 : 1)
  );
}
