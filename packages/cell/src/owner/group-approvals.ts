/** Applies the placement advisor's approvals to a group: which workers it may use, and which approvals to request. */
import type { ApprovalCache, ApprovalStatus } from '../advice/approval-cache.js';
import type { ApprovalRequest } from '../advice/approval-requester.js';
import { stepName } from '../job/task-name.js';
import {
  maxTasks,
  isEligible,
  tasksFitting,
  type TaskGroup,
  type AvailableWorker,
} from '../placing/available-worker.js';

/** The platform is sized for one request of this many runners per step. */
const RUNNERS_PER_REQUEST = 30;

/** Approvals for one group. */
export class GroupApprovals {
  readonly #group: TaskGroup;

  readonly #workers: readonly AvailableWorker[];

  readonly #cache: ApprovalCache;

  readonly #now: number;

  constructor({
    group,
    workers,
    cache,
    now,
  }: {
    group: TaskGroup;
    workers: readonly AvailableWorker[];
    cache: ApprovalCache;
    now: number;
  }) {
    this.#group = group;
    this.#workers = workers;
    this.#cache = cache;
    this.#now = now;
  }

  /** The group, with all runners excluded whose status is not one of these. */
  restrictTo(...statuses: readonly ApprovalStatus[]): TaskGroup {
    const excluded = this.#workers
      .filter((worker) => !statuses.includes(this.#status(worker)))
      .map(({ vm }) => vm);
    return { ...this.#group, avoided: new Set([...this.#group.avoided, ...excluded]) };
  }

  /** Requests renewal of the tickets needed for a start on these VMs; undefined if all of them are valid. */
  renewalRequest(vms: ReadonlySet<string>): ApprovalRequest | undefined {
    const workers = this.#workers.filter((worker) => vms.has(worker.vm));
    return this.#request(workers.filter((worker) => this.#status(worker) === 'approved'));
  }

  /** Requests approval of runners that could take a task and whose status is unknown, those with most free capacity first. */
  approvalRequest(): ApprovalRequest | undefined {
    const workers = this.#workers
      .filter((worker) => isEligible(this.#group, worker))
      .filter((worker) => this.#status(worker) === 'unknown')
      .filter((worker) => maxTasks(worker.capacity, this.#group.demand) > 0)
      .map((worker) => ({ worker, count: tasksFitting(this.#group, worker) }))
      .sort((a, b) => b.count - a.count)
      .map(({ worker }) => worker);
    return this.#request(workers);
  }

  #request(workers: readonly AvailableWorker[]): ApprovalRequest | undefined {
    if (workers.length === 0) return undefined;
    const runners = workers.slice(0, RUNNERS_PER_REQUEST).map(({ runner }) => runner);
    return { step: stepName(this.#group), runners };
  }

  #status({ runner }: AvailableWorker): ApprovalStatus {
    return this.#cache.status(stepName(this.#group), runner, this.#now);
  }
}
