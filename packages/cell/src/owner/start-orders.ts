/** Decides which runs a guard may start or continue. A start must be durable, still wanted, and have its ticket. */
import type { StartOrder } from '@zincspan/core';
import type { ApprovalCache } from '../advice/approval-cache.js';
import { stepName } from '../job/task-name.js';
import type { Assignment, Worker } from '../worker/worker.js';
import type { Fleet } from './fleet.js';
import type { OwnedJob } from './owned-job.js';

/** One instance per ownership term. */
export class StartOrders {
  readonly #jobs: ReadonlyMap<string, OwnedJob>;

  readonly #approvals: ApprovalCache;

  readonly #fleet: Fleet;

  readonly #now: () => number;

  constructor({
    jobs,
    approvals,
    fleet,
    now,
  }: {
    jobs: ReadonlyMap<string, OwnedJob>;
    approvals: ApprovalCache;
    fleet: Fleet;
    now: () => number;
  }) {
    this.#jobs = jobs;
    this.#approvals = approvals;
    this.#fleet = fleet;
    this.#now = now;
  }

  /** False for a run that must not start any more: it is being stopped, its job is over, or another member completed its gang. */
  isWanted({ jobId, ref, stopping }: Assignment): boolean {
    const progress = this.#jobs.get(jobId)?.progress;
    if (stopping !== undefined || progress?.outcome !== 'open') return false;
    return !progress.findTask(ref)?.done;
  }

  /** True once the run's start is stored; no start may be ordered before. */
  isDurable({ jobId, change }: Assignment): boolean {
    return this.#jobs.get(jobId)?.isDurable(change) ?? false;
  }

  /** True if the run's start may be ordered on this worker now. */
  mayOrderStart(assignment: Assignment, worker: Worker): boolean {
    return this.isDurable(assignment) && this.#fleet.mayOrderStart(worker);
  }

  /** True if a run that is listed as running should continue. */
  mayContinue(assignment: Assignment | undefined): boolean {
    if (assignment === undefined || assignment.stopping !== undefined) return false;
    const outcome = this.#jobs.get(assignment.jobId)?.progress.outcome;
    // The other members of a completed gang end by themselves.
    return outcome === 'open' || outcome === 'completed';
  }

  orderFor(assignment: Assignment): StartOrder {
    const { name, run, jobId, ref } = assignment;
    const job = this.#jobs.get(jobId);
    const checkpoint = job?.progress.findTask(ref)?.active?.checkpoint ?? '';
    const ticket = this.#ticketOf(assignment);
    return {
      task: name,
      run,
      spec: job?.submission.spec ?? '',
      checkpoint,
      ...(ticket === undefined ? {} : { ticket }),
    };
  }

  /** True if the run's queue needs the placement advisor's approval and its ticket has expired since the run was stored. */
  lacksTicket(assignment: Assignment): boolean {
    if (!this.#jobs.get(assignment.jobId)?.terms.needsAdvice) return false;
    return this.#ticketOf(assignment) === undefined;
  }

  /** Handles a runner's refusal of this run's ticket. */
  noteTicketRefused({ jobId, ref, runner }: Assignment): void {
    this.#approvals.expireTicket(stepName({ jobId, ...ref }), runner);
  }

  #ticketOf({ jobId, ref, runner }: Assignment): string | undefined {
    return this.#approvals.ticket(stepName({ jobId, ...ref }), runner, this.#now());
  }
}
