/** Carries the scheduler's decisions out. */
import type { Decision, Problem, ProcessContext } from '@zincspan/core';
import type { ClaimKeeper } from '../claim/claim-keeper.js';
import type { KnownWorkers } from '../job/known-workers.js';
import type { JobKeeper } from './job-keeper.js';
import type { Ownership } from './ownership.js';

/** A refusal that rests on workers not known yet is thought over after this long, in ms. */
const RECONSIDER_MS = 10_000;

type DecisionOf<T extends Decision['type']> = Extract<Decision, { type: T }>;

/** Decisions that end in a row, and so wait while the table is down. */
type Durable = DecisionOf<'place' | 'hold' | 'evict' | 'refuse'>;

/** What a decision runner is made from. */
export interface DecisionRunnerOptions {
  own: Ownership;
  jobs: JobKeeper;
  claims: ClaimKeeper;
  knownWorkers: KnownWorkers;
  isStoreDown: () => boolean;
}

/** Carries decisions out, and keeps those that wait for the table. */
export class DecisionRunner {
  readonly #options: DecisionRunnerOptions;

  readonly #ctx: ProcessContext;

  #deferred: Durable[] = [];

  constructor(options: DecisionRunnerOptions) {
    this.#options = options;
    this.#ctx = options.own.ctx;
  }

  /** Carries out what waited and what is new. */
  run(decisions: Decision[]): void {
    const waited = this.#deferred;
    this.#deferred = [];
    [...waited, ...decisions].forEach((decision) => this.#carryOut(decision));
  }

  #carryOut(decision: Decision): void {
    const { metrics, timeline, log } = this.#ctx;
    metrics.count(`decision.${decision.type}`);
    switch (decision.type) {
      case 'throttle':
        this.#throttle(decision);
        break;
      case 'quarantine':
        timeline.record('worker.quarantined', decision.worker, { why: decision.why });
        log.warn({ worker: decision.worker, why: decision.why }, 'worker quarantined');
        break;
      case 'late':
        this.#noteLate(decision);
        break;
      case 'guarantee-broken':
        timeline.record('guarantee.broken', decision.guarantee, { why: decision.why });
        log.warn({ guarantee: decision.guarantee, why: decision.why }, 'guarantee broken');
        break;
      default:
        if (this.#options.isStoreDown()) this.#deferred.push(decision);
        else this.#act(decision);
    }
  }

  #act(decision: Durable): void {
    const { jobs, claims } = this.#options;
    switch (decision.type) {
      case 'place':
        this.#place(decision);
        break;
      case 'hold':
        claims.hold(decision);
        break;
      case 'evict':
        jobs.evict(decision);
        break;
      case 'refuse':
        this.#refuse(decision);
        break;
      default:
        decision satisfies never;
    }
  }

  #place(decision: DecisionOf<'place'>): void {
    const { own, jobs, claims } = this.#options;
    const { key, within } = decision;
    if (within === undefined || claims.isOpen(within)) jobs.place(decision);
    else own.background('refusal', jobs.refuse(key, claimReleased(within)));
  }

  /** A refusal is final, so one that rests on the workers known is checked against those seen lately. */
  #refuse({ key, problem }: DecisionOf<'refuse'>): void {
    const { own, jobs, claims, knownWorkers } = this.#options;
    if (claims.has(key)) {
      own.background('refusal', claims.refuse(key, problem.detail));
      return;
    }
    const shape = jobs.shape(key);
    const doubtful = problem.kind === 'never-fits' && shape !== undefined;
    if (doubtful && knownWorkers.mayFit(own.failureDomain, shape)) {
      own.timers.after(RECONSIDER_MS, () => jobs.enqueueAgain(key));
      return;
    }
    own.background('refusal', jobs.refuse(key, problem));
  }

  #throttle({ key, member, cores }: DecisionOf<'throttle'>): void {
    const { own, jobs } = this.#options;
    const runner = jobs.runner(key);
    if (runner !== undefined) own.background('throttle', runner.throttle(member, cores));
  }

  #noteLate({ key, expectedAt, contractAt }: DecisionOf<'late'>): void {
    this.#ctx.timeline.record('job.late', key, { job: key, expectedAt, contractAt });
  }
}

function claimReleased(claim: string): Problem {
  return {
    kind: 'conflict',
    ran: 'not-run',
    detail: `Its claim ${claim} is released.`,
    remedy: 'Claim the shape again and submit the job with the new claim.',
  };
}
