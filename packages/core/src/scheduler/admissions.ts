/** Truthful refusals: what can never run here, and what an account's quota leaves no room for. */
import { problem, type Problem } from '../error/problem.js';
import type { ClaimBook } from '../guarantee/claim-book.js';
import { admit } from './admission.js';
import type { DomainState } from './domain-state.js';
import { DrainRate } from './drain-rate.js';
import { sizeOf } from './placer.js';
import type { QueuedWork } from './queued-work.js';
import type { Decision, QueuedJob } from './scheduler.js';
import type { Waits } from './waits.js';

/** Checks jobs as they are queued in one failure domain. */
export class Admissions {
  readonly #state: DomainState;

  readonly #claims: ClaimBook;

  readonly #queued: QueuedWork;

  readonly #waits: Waits;

  /** Rates at which jobs of each account leave the queue. */
  readonly #rates = new Map<string, DrainRate>();

  #refusals: Decision[] = [];

  /** Jobs by the claim that they are to run in. */
  readonly #waitingFor = new Map<string, Set<string>>();

  /** Queued before the workers were known; checked once they are. */
  #unchecked: QueuedJob[] = [];

  constructor({
    state,
    claims,
    queued,
    waits,
  }: {
    state: DomainState;
    claims: ClaimBook;
    queued: QueuedWork;
    waits: Waits;
  }) {
    this.#waits = waits;
    this.#queued = queued;
    this.#state = state;
    this.#claims = claims;
  }

  /** True if the job may wait; else it is refused with the next decisions. */
  accept(job: QueuedJob, now: number): boolean {
    const refusal = this.#overQuota(job, now) ?? this.#beyondClaim(job);
    if (refusal !== undefined) {
      this.#refusals.push({ type: 'refuse', key: job.key, problem: refusal });
      return false;
    }
    this.#unchecked.push(job);
    if (job.spec.claim === undefined) return true;
    const claim = claimKey(job);
    const jobs = this.#waitingFor.get(claim) ?? new Set();
    this.#waitingFor.set(claim, jobs.add(job.key));
    return true;
  }

  /** A claim has ended: jobs that still wait for it have nowhere to run. */
  claimReleased(claim: string): void {
    this.#waitingFor.get(claim)?.forEach((key) => {
      const job = this.#state.queue.get(key);
      if (job !== undefined) this.#refuseClaim(job);
    });
    this.#waitingFor.delete(claim);
  }

  /** A job has left the queue: it was placed or cancelled. */
  left({ account }: QueuedJob, now: number): void {
    const rate = this.#rates.get(account) ?? new DrainRate();
    this.#rates.set(account, rate);
    rate.note(now);
  }

  /** Refusals due. What can never run is refused only once the workers are known. */
  decide(now: number): Decision[] {
    if (now >= this.#state.workers.settledAt() && this.#state.workers.size > 0) {
      this.#unchecked
        .filter(({ key }) => this.#state.queue.has(key))
        .forEach((job) => this.#checkFit(job));
      this.#unchecked = [];
    }
    const refusals = this.#refusals;
    this.#refusals = [];
    return refusals;
  }

  /** Refused jobs that were waiting, to be taken out of the queue. */
  #checkFit(job: QueuedJob): void {
    if (job.spec.claim !== undefined) {
      if (!this.#claims.has(claimKey(job))) this.#refuseClaim(job);
      return;
    }
    const kind = this.#state.view.kind(job.spec.kind);
    const answer = this.#state.workers.couldEverFit(job.spec.shape, kind.spread);
    if (answer.fits) return;
    this.#refusals.push({
      type: 'refuse',
      key: job.key,
      problem: problem('never-fits', {
        detail: answer.reason,
        ran: ranBefore(job),
        remedy: 'Submit a smaller gang or a wider adjacency.',
      }),
    });
  }

  #refuseClaim(job: QueuedJob): void {
    this.#refusals.push({
      type: 'refuse',
      key: job.key,
      problem: problem('not-found', {
        detail: `Claim ${job.spec.claim} isn't held any more.`,
        ran: ranBefore(job),
        remedy: 'Submit the job without a claim, or claim again.',
      }),
    });
  }

  #overQuota(job: QueuedJob, now: number): Problem | undefined {
    const { account, spec, attempt } = job;
    const quota = this.#state.view.account(account)?.quota;
    if (quota === undefined || attempt > 0) return undefined;
    const size = sizeOf(spec.shape);
    const most = quota.accelerators + this.#state.view.claimable(account);
    if (size > most) {
      return problem('never-fits', {
        detail: `The gang asks for ${size} accelerators; ${account} may use ${most} at once.`,
        remedy: 'Submit a smaller gang, or ask an operator for a larger quota.',
        facts: { asked: size, bound: most },
      });
    }
    return this.#full(job, quota.queuedJobs, now);
  }

  /** Refusal of a job beyond those that may wait, with the time until one of them will have left. */
  #full(job: QueuedJob, accountMayQueue: number, now: number): Problem | undefined {
    const { account, spec } = job;
    const urgent = this.#state.view.isUrgent(job);
    const expectedWaitMs = this.#waits.expected(sizeOf(spec.shape), urgent, now);
    // Until one has left the rate is not known, but when there will be room is.
    const rate = this.#rates.get(account)?.perMs(now) ?? 0;
    const drainPerMs = rate > 0 ? rate : 1 / Math.max(1, expectedWaitMs);
    const admission = admit({
      account,
      accountQueued: this.#queued.count(account),
      accountMayQueue,
      queued: this.#state.queue.size,
      mayQueue: Number.POSITIVE_INFINITY,
      accountDrainPerMs: drainPerMs,
      drainPerMs,
      expectedWaitMs,
      expectedRunMs: this.#state.runMs(job).p50Ms,
    });
    return admission.type === 'refuse' ? admission.problem : undefined;
  }

  #beyondClaim({ account, spec }: QueuedJob): Problem | undefined {
    if (spec.claim === undefined) return undefined;
    const claim = this.#claims.get(claimKey({ account, spec }));
    if (claim === undefined || sizeOf(spec.shape) <= claim.size) return undefined;
    return problem('never-fits', {
      detail: `The gang asks for ${sizeOf(spec.shape)} accelerators; claim ${spec.claim} has ${claim.size}.`,
      remedy: 'Submit a smaller gang, or claim a larger guarantee.',
      facts: { asked: sizeOf(spec.shape), bound: claim.size },
    });
  }
}

/** Key of the claim that a job is to run in. */
function claimKey({ account, spec }: Pick<QueuedJob, 'account' | 'spec'>): string {
  return `claims/${account}/${spec.claim}`;
}

/** A job that was evicted or retried did run, if not to its end. */
function ranBefore({ attempt }: QueuedJob): 'ran' | 'not-run' {
  return attempt > 0 ? 'ran' : 'not-run';
}
