/** What a guard may be told to start, and what may go on: only what is durable, still wanted, and has its ticket. */
import type { StartOrder } from '@zincspan/core';
import type { AdviceBook } from '../advice/advice-book.js';
import { stepName } from '../job/task-name.js';
import type { Assignment, Worker } from '../worker/worker.js';
import type { Fleet } from './fleet.js';
import type { OwnedJob } from './owned-job.js';

/** Orders of one term. */
export class StartOrders {
  readonly #jobs: ReadonlyMap<string, OwnedJob>;

  readonly #advice: AdviceBook;

  readonly #fleet: Fleet;

  readonly #now: () => number;

  constructor({
    jobs,
    advice,
    fleet,
    now,
  }: {
    jobs: ReadonlyMap<string, OwnedJob>;
    advice: AdviceBook;
    fleet: Fleet;
    now: () => number;
  }) {
    this.#jobs = jobs;
    this.#advice = advice;
    this.#fleet = fleet;
    this.#now = now;
  }

  /** False of a run that isn't to start any more: its job is over, or another member's end has completed its gang. */
  isWanted({ jobId, ref, stopping }: Assignment): boolean {
    const progress = this.#jobs.get(jobId)?.progress;
    if (stopping !== undefined || progress?.outcome !== 'open') return false;
    return !progress.findTask(ref)?.done;
  }

  /** True once its start is written down: before, no order may be given. */
  isDurable({ jobId, change }: Assignment): boolean {
    return this.#jobs.get(jobId)?.isDurable(change) ?? false;
  }

  /** True if its start may be ordered on this worker now. */
  mayOrder(assignment: Assignment, worker: Worker): boolean {
    return this.isDurable(assignment) && this.#fleet.mayOrder(worker);
  }

  /** True if what runs there should go on. */
  mayGoOn(assignment: Assignment | undefined): boolean {
    if (assignment === undefined || assignment.stopping !== undefined) return false;
    const outcome = this.#jobs.get(assignment.jobId)?.progress.outcome;
    // The other members of a gang that is done end by themselves.
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

  /** It was written down for a queue that needs advice, and its ticket has expired since. */
  lacksTicket(assignment: Assignment): boolean {
    if (!this.#jobs.get(assignment.jobId)?.terms.needsAdvice) return false;
    return this.#ticketOf(assignment) === undefined;
  }

  /** The runner didn't take the ticket of this run. */
  noteTicketRefused({ jobId, ref, runner }: Assignment): void {
    this.#advice.expire(stepName({ jobId, ...ref }), runner);
  }

  #ticketOf({ jobId, ref, runner }: Assignment): string | undefined {
    return this.#advice.ticket(stepName({ jobId, ...ref }), runner, this.#now());
  }
}
