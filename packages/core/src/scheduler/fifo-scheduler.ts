/** The baseline: jobs in the order they came, each on the first workers that fit. Never evicts. */
import type { Bundle } from '../bundle/bundle.js';
import { problem } from '../error/problem.js';
import { findPlacement } from '../gang/placement.js';
import { Capacity } from '../gang/placement-capacity.js';
import { fitsEmpty, emptyCapacity } from '../gang/placement-fit.js';
import type { Member, Shape } from '../gang/shape.js';
import type { Worker } from '../upstream/upstream.js';
import { summarize } from './fragmentation.js';
import type {
  Decision,
  DomainScheduler,
  QueuedJob,
  SchedulerEvent,
  SchedulerSummary,
} from './scheduler.js';

interface Claim {
  account: string;
  guarantee: string;
  members?: Member[];
  held: boolean;
}

const FALLBACK_WAIT_MS = 60_000;

/** First in, first out; first fit. */
export class FifoScheduler implements DomainScheduler {
  #bundle: Bundle;

  readonly #capacity = new Capacity();

  readonly #workers = new Map<string, Worker>();

  readonly #queue = new Map<string, QueuedJob>();

  readonly #placed = new Map<string, { job: QueuedJob; members: Member[] }>();

  readonly #claims = new Map<string, Claim>();

  #refusals: Decision[] = [];

  constructor({ bundle }: { bundle: Bundle }) {
    this.#bundle = bundle;
  }

  apply(event: SchedulerEvent): void {
    switch (event.type) {
      case 'bundle':
        this.#bundle = event.bundle;
        break;
      case 'worker-ready':
        this.#workers.set(event.worker.id, event.worker);
        this.#capacity.add(event.worker);
        break;
      case 'worker-left':
        if (event.how === 'lost') this.#loseWorker(event.worker);
        else this.#capacity.setOpen(event.worker, false);
        break;
      case 'job-queued':
        this.#enqueue(event.job);
        break;
      case 'job-found':
        this.#placed.set(event.job.key, { job: event.job, members: event.members });
        this.#capacity.take(event.members);
        break;
      case 'job-unplaced':
        this.#free(event.key, { requeue: true });
        break;
      case 'job-ended':
        this.#free(event.key, event);
        break;
      case 'job-cancelled':
        this.#queue.delete(event.key);
        break;
      default:
        this.#applyClaim(event);
    }
  }

  decide(): Decision[] {
    const decisions = this.#refusals;
    this.#refusals = [];
    this.#claims.forEach((claim, key) => this.#hold(key, claim, decisions));
    this.#queue.forEach((job, key) => this.#place(key, job, decisions));
    return decisions;
  }

  nextDecisionAt(): undefined {
    return undefined;
  }

  summary(): SchedulerSummary {
    return {
      ...summarize({
        capacity: this.#capacity,
        bundle: this.#bundle,
        queued: [...this.#queue.values()].map(({ spec }) => ({ shape: spec.shape, count: 1 })),
      }),
      quarantined: [],
      queued: this.#queue.size,
      queuedUrgent: [...this.#queue.values()].filter((job) => this.#isUrgent(job)).length,
      running: this.#placed.size,
      claimsHeld: [...this.#claims.values()].filter(({ held }) => held).length,
    };
  }

  expectedWaitMs(_account: string, _kind: string, shape: Shape): number {
    if (findPlacement(this.#capacity, { shape, strategy: 'first-fit' }) !== undefined) return 0;
    return FALLBACK_WAIT_MS;
  }

  #applyClaim(event: SchedulerEvent): void {
    if (event.type === 'claim-asked') {
      this.#claims.set(event.key, {
        account: event.account,
        guarantee: event.guarantee,
        held: false,
      });
    }
    if (event.type === 'claim-found') {
      this.#claims.set(event.key, { ...event, held: true });
      this.#capacity.take(event.members);
    }
    if (event.type === 'claim-held') {
      const claim = this.#claims.get(event.key);
      if (claim !== undefined) claim.held = true;
    }
    if (event.type === 'claim-unplaced') this.#release(event.key);
    if (event.type === 'claim-released') {
      this.#release(event.key);
      this.#claims.delete(event.key);
    }
  }

  #enqueue(job: QueuedJob): void {
    const answer = fitsEmpty(emptyCapacity(this.#workers.values()), job.spec.shape);
    if (answer.fits || this.#workers.size === 0) {
      this.#queue.set(job.key, job);
      return;
    }
    this.#refusals.push({
      type: 'refuse',
      key: job.key,
      problem: problem('never-fits', {
        detail: answer.reason,
        remedy: 'Submit a smaller gang or a wider adjacency.',
      }),
    });
  }

  #loseWorker(worker: string): void {
    this.#workers.delete(worker);
    this.#capacity.remove(worker);
    const isLeft = (member: Member) => member.worker !== worker;
    this.#placed.forEach(({ job, members }, key) =>
      this.#placed.set(key, { job, members: members.filter(isLeft) }),
    );
    this.#claims.forEach((claim, key) => {
      if (claim.members === undefined) return;
      this.#claims.set(key, { ...claim, members: claim.members.filter(isLeft) });
    });
  }

  #place(key: string, job: QueuedJob, decisions: Decision[]): void {
    const { shape } = job.spec;
    const members = findPlacement(this.#capacity, { shape, strategy: 'first-fit' });
    if (members === undefined) return;
    this.#queue.delete(key);
    this.#placed.set(key, { job, members });
    this.#capacity.take(members);
    decisions.push({ type: 'place', key, members });
  }

  #hold(key: string, claim: Claim, decisions: Decision[]): void {
    if (claim.members !== undefined) return;
    const guarantee = this.#bundle.guarantees.find(({ name }) => name === claim.guarantee);
    if (guarantee === undefined) return;
    const members = findPlacement(this.#capacity, {
      shape: guarantee.shape,
      strategy: 'first-fit',
    });
    if (members === undefined) return;
    this.#claims.set(key, { ...claim, members });
    this.#capacity.take(members);
    decisions.push({ type: 'hold', key, members });
  }

  #release(key: string): void {
    const claim = this.#claims.get(key);
    if (claim?.members === undefined) return;
    this.#capacity.release(claim.members);
    this.#claims.set(key, { account: claim.account, guarantee: claim.guarantee, held: false });
  }

  #free(key: string, { requeue, savedMs }: { requeue: boolean; savedMs?: number }): void {
    const placed = this.#placed.get(key);
    if (placed === undefined) return;
    this.#placed.delete(key);
    this.#capacity.release(placed.members);
    if (!requeue) return;
    const job = { ...placed.job, attempt: placed.job.attempt + 1 };
    this.#queue.set(key, savedMs === undefined ? job : { ...job, savedMs });
  }

  #isUrgent({ spec }: QueuedJob): boolean {
    return this.#bundle.kinds.find(({ name }) => name === spec.kind)?.urgency === 'urgent';
  }
}
