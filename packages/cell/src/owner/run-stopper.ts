/** Asks for the end of runs: a single one, a gang as a whole, or all of a job. */
import type { RunEnd } from '../job/progress.js';
import type { Assignment } from '../worker/worker.js';
import type { Fleet } from './fleet.js';
import type { OwnedJob } from './owned-job.js';

/** What is done about a run whose stop is asked for the first time. */
export type OnStop = (assignment: Assignment, vm: string, reason: string) => void;

/** Of one term. */
export class RunStopper {
  readonly #fleet: Fleet;

  readonly #onStop: OnStop;

  constructor({ fleet, onStop }: { fleet: Fleet; onStop: OnStop }) {
    this.#fleet = fleet;
    this.#onStop = onStop;
  }

  /** All that was given out of this job and isn't known to be over. */
  assignmentsOf(jobId: string): Assignment[] {
    return [...this.#fleet.all()].flatMap(({ assignments }) =>
      [...assignments.values()].filter((assignment) => assignment.jobId === jobId),
    );
  }

  /** A run, and the rest of its gang. */
  stop(job: OwnedJob, assignment: Assignment, reason: string): void {
    const { ref, run } = assignment;
    const gang = job.submission.steps[ref.step]?.gang ?? false;
    const members = gang ? this.#membersOf(job, { ref, run }) : [assignment];
    members.forEach((member) => this.#stopOne(member, reason));
  }

  /** A gang works only whole: once one member has ended otherwise, the others are stopped. */
  stopRestOfGang(job: OwnedJob, { ref, run }: RunEnd): void {
    const step = job.submission.steps[ref.step];
    if (!step?.gang || job.progress.findTask(ref)?.done) return;
    this.#membersOf(job, { ref, run }).forEach((other) => this.#stopOne(other, 'gang broken'));
  }

  /** All runs of a job that is over. Those of one that is completed end by themselves. */
  stopAll(job: OwnedJob, reason: string): void {
    if (reason === 'completed') return;
    this.assignmentsOf(job.id).forEach((assignment) => this.#stopOne(assignment, reason));
  }

  #membersOf(job: OwnedJob, { ref, run }: Pick<RunEnd, 'ref' | 'run'>): Assignment[] {
    return this.assignmentsOf(job.id).filter(
      (other) => other.run === run && isSameStep(other, ref),
    );
  }

  #stopOne(assignment: Assignment, reason: string): void {
    if (assignment.stopping !== undefined) return;
    Object.assign(assignment, { stopping: reason });
    const vm = [...this.#fleet.all()].find(
      (worker) => worker.assignments.get(assignment.name) === assignment,
    )?.vm;
    if (vm !== undefined) this.#onStop(assignment, vm, reason);
  }
}

/** True if both are tasks of one step of one occurrence. */
export function isSameStep(
  { ref }: Assignment,
  other: { occurrence: number; step: number },
): boolean {
  return ref.occurrence === other.occurrence && ref.step === other.step;
}
