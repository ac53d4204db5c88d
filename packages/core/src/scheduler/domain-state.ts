/** Everything the contract scheduler knows of one failure domain, shared by its parts. */
import type { Bundle } from '../bundle/bundle.js';
import type { CopyCounts } from '../guarantee/copy-assignment.js';
import { FirmLedger } from '../guarantee/firm-ledger.js';
import { Homes } from '../guarantee/homes.js';
import { evictionCost, type EvictionRules } from '../guarantee/eviction-cost.js';
import type { EvictionCost } from '../guarantee/victims.js';
import { Capacity, type WorkerCapacity } from '../gang/placement-capacity.js';
import type { Shape } from '../gang/shape.js';
import type { Worker } from '../upstream/upstream.js';
import { BundleView } from './bundle-view.js';
import { Clearings } from './clearings.js';
import {
  RunTimeEstimator,
  type EstimateQuery,
  type RunEstimate,
  type RunObservation,
} from './estimate.js';
import { FairShare, resourcesOf } from './fair-share.js';
import { QueueOrder } from './queue-order.js';
import { RunningJobs, type RunningJob } from './running-jobs.js';
import type { QueuedJob } from './scheduler.js';
import { WorkerHealth } from './worker-health.js';
import { WorkerStates } from './worker-states.js';

/** Observations between two revisions of the estimates of queued jobs. */
const REVISE_AFTER = 64;

/** What an estimate of a queued job is about. */
export function estimateQuery({ account, spec, savedMs }: QueuedJob): EstimateQuery {
  return {
    account,
    kind: spec.kind,
    shape: spec.shape,
    declaredRunMs: spec.declaredRunMs,
    savedMs,
  };
}

/** State of one failure domain. Changes go through the methods where more than one part must follow. */
export class DomainState {
  readonly failureDomain: string;

  view: BundleView;

  readonly capacity = new Capacity();

  readonly ledger = new FirmLedger();

  readonly homes = new Homes({ ledger: this.ledger });

  readonly running = new RunningJobs();

  /** Workers let out of quarantine, which get one small task at a time. */
  readonly onProbation = new Set<string>();

  readonly clearings = new Clearings();

  readonly estimator = new RunTimeEstimator();

  readonly fairShare = new FairShare();

  readonly health: WorkerHealth;

  readonly workers: WorkerStates;

  readonly queue: QueueOrder;

  /** Estimates of queued jobs, made anew after every REVISE_AFTER observations. */
  readonly #estimates = new WeakMap<QueuedJob, { estimate: RunEstimate; madeAt: number }>();

  /** Who competes in the pass under way, and the sum of their shares. */
  #competing: { names: string[]; weight: number } = { names: [], weight: 1 };

  #copies: CopyCounts | undefined;

  #observations = 0;

  #observed = 0;

  /** Accelerators held by claims, by account. */
  readonly claimed = new Map<string, number>();

  constructor({ failureDomain, bundle }: { failureDomain: string; bundle: Bundle }) {
    this.failureDomain = failureDomain;
    this.view = new BundleView(bundle, failureDomain);
    this.health = new WorkerHealth(bundle.policy);
    this.workers = new WorkerStates({ capacities: [this.capacity, this.ledger.capacity] });
    this.queue = new QueueOrder({
      inputs: {
        traits: (kind) => {
          const { urgency, contract } = this.view.kind(kind);
          return { urgent: urgency === 'urgent', withinMs: contract?.withinMs };
        },
        runMs: (job) => this.runMs(job).p90Ms,
        priority: (account, now) => this.fairShare.priority(account, now),
        overuse: (account, competing) => this.#overuse(account, competing),
      },
    });
    this.setBundle(bundle);
  }

  /** Takes the copies of guarantees that this failure domain is to keep a home for. */
  setCopies(counts: CopyCounts): void {
    this.#copies = counts;
    this.setBundle(this.view.bundle);
  }

  setBundle(bundle: Bundle): void {
    this.view = new BundleView(bundle, this.failureDomain, this.#copies);
    this.fairShare.setAccounts(bundle.accounts);
    this.homes.setGuarantees(this.view.guarantees);
    this.#reviewInside();
  }

  addWorker(worker: Worker, now: number): void {
    if (this.workers.isRebuilt(worker)) this.loseWorker(worker.id);
    this.workers.add(worker, now);
    this.health.add(worker.id);
    this.#countCapacity();
  }

  /** A worker and all that ran on it are gone; clearings that counted on it are given up. */
  loseWorker(worker: string): void {
    this.running.dropWorker(worker);
    this.clearings.dropWorker(worker);
    this.ledger.dropWorker(worker);
    this.workers.remove(worker);
    this.homes.workerLost(worker);
    this.#reviewInside();
    this.#countCapacity();
  }

  /** Counts a job as placed. `firm`: its room can't be taken back for a claim. */
  place(running: RunningJob, { firm, now }: { firm: boolean; now: number }): void {
    const { job, members, within } = running;
    this.running.add(running);
    if (within === undefined) this.capacity.take(members);
    if (firm && within === undefined) this.ledger.take(job.key, members);
    members.forEach(({ worker }) => this.health.placed(worker, job.key, now));
    this.fairShare.start(
      {
        key: job.key,
        account: job.account,
        resources: resourcesOf(job.spec.shape),
        withinGuarantee: running.inside || within !== undefined,
      },
      now,
    );
  }

  /** Counts a placed job as gone. */
  unplace(key: string, now: number): RunningJob | undefined {
    const running = this.running.remove(key);
    if (running === undefined) return undefined;
    if (running.within === undefined) this.capacity.release(running.members);
    this.ledger.release(key);
    this.fairShare.end(key, now);
    this.clearings.left(key);
    return running;
  }

  /** Accelerators an account uses here, claims included. */
  inUse(account: string): number {
    return this.running.inUse(account) + (this.claimed.get(account) ?? 0);
  }

  /** Whether an account would still be inside its guarantees with `more` accelerators. */
  isInside(account: string, more = 0): boolean {
    const guaranteed = this.view.guaranteed(account);
    return guaranteed > 0 && this.inUse(account) + more <= guaranteed;
  }

  /** Tasks of a shape that fit in an account's homes on a worker, beside its jobs that count on them. */
  homeSlots(account: string, worker: WorkerCapacity, shape: Shape): number {
    const used = [...this.running.on(worker.id)]
      .filter(({ job, inside }) => inside && job.account === account && !this.ledger.has(job.key))
      .flatMap(({ members }) => members.filter((member) => member.worker === worker.id));
    return this.ledger.homeSlots(account, worker, { shape, used });
  }

  /** Whether a job would run inside its account's guarantees: within their sum, and no larger than a home. */
  belongsInside({ account, spec }: QueuedJob): boolean {
    const size = spec.shape.tasks * spec.shape.acceleratorsPerTask;
    if (size === 0 || !this.isInside(account, size)) return false;
    const homes = [...this.ledger.homeWorkers(account)]
      .map((id) => this.capacity.workers.get(id))
      .filter((worker) => worker !== undefined);
    const slots = homes.map((worker) =>
      this.ledger.homeSlots(account, worker, { shape: spec.shape }),
    );
    if (spec.shape.adjacency === 'worker') return Math.max(0, ...slots) >= spec.shape.tasks;
    return slots.reduce((sum, count) => sum + count, 0) >= spec.shape.tasks;
  }

  /** Changes what an account's claims hold. */
  countClaim(account: string, change: number): void {
    this.claimed.set(account, (this.claimed.get(account) ?? 0) + change);
  }

  /** Cost of evicting jobs for `account`. */
  evictionCost(account: string, purpose: EvictionRules['purpose'], now: number): EvictionCost {
    const competing = this.view.accountNames;
    return evictionCost({
      now,
      account,
      purpose,
      checkpointLimitMs: this.view.policy.checkpointLimitMs,
      isInside: (name) => this.isInside(name),
      overuse: (name) => this.#overuse(name, competing),
    });
  }

  /** Expected run time still to go of a queued job, in ms; up to some observations old. */
  runMs(job: QueuedJob): RunEstimate {
    const known = this.#estimates.get(job);
    if (known !== undefined && known.madeAt === this.#observed) return known.estimate;
    const estimate = this.estimator.estimate(estimateQuery(job));
    this.#estimates.set(job, { estimate, madeAt: this.#observed });
    return estimate;
  }

  /** Learns from a run. */
  observe(run: RunObservation): void {
    this.estimator.observe(run);
    this.#observations += 1;
    if (this.#observations % REVISE_AFTER === 0) this.#observed = this.#observations;
  }

  /** FairShare.overuse, with the weights of those who compete summed up once. */
  #overuse(account: string, competing: string[]): number {
    if (this.#competing.names !== competing) {
      const weight = competing.reduce((sum, name) => sum + this.view.share(name), 0);
      this.#competing = { names: competing, weight };
    }
    const alone = this.fairShare.overuse(account, []);
    return (alone * this.#competing.weight) / this.view.share(account);
  }

  /** Jobs whose home has moved away from under them run on borrowed room from now on. */
  #reviewInside(): void {
    for (const running of this.running.values()) {
      const { job, members, inside, within } = running;
      if (!inside || within !== undefined || this.ledger.has(job.key)) continue;
      const homes = new Set(this.ledger.homeWorkers(job.account));
      running.inside = members.every(({ worker }) => homes.has(worker));
    }
  }

  #countCapacity(): void {
    this.fairShare.setCapacity(this.workers.total());
  }
}
