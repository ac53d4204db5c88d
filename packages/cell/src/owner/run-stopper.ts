/** Requests the stop of runs: a single run, a whole gang, or all runs of a job. */
import type { RunEnd } from '../job/progress.js';
import type { Assignment } from '../worker/worker.js';
import type { Fleet } from './fleet.js';
import type { OwnedJob } from './owned-job.js';

/** Called once per run, when its stop is first requested. */
export type OnStop = (assignment: Assignment, vm: string, reason: string) => void;

/** One instance per ownership term. */
export class RunStopper {
  readonly #fleet: Fleet;

  readonly #onStop: OnStop;

  constructor({ fleet, onStop }: { fleet: Fleet; onStop: OnStop }) {
    this.#fleet = fleet;
    this.#onStop = onStop;
  }

  /** The job's runs that are not known to have ended. */
  assignmentsOf(jobId: string): Assignment[] {
    return [...this.#fleet.all()].flatMap(({ assignments }) =>
      [...assignments.values()].filter((assignment) => assignment.jobId === jobId),
    );
  }

  /** Stops a run, and with it the rest of its gang. */
  stop(job: OwnedJob, assignment: Assignment, reason: string): void {
    const { ref, run } = assignment;
    const gang = job.submission.steps[ref.step]?.gang ?? false;
    const members = gang ? this.#gangMembersOf(job, { ref, run }) : [assignment];
    members.forEach((member) => this.#stopOne(member, reason));
  }

  /** A gang only works as a whole: once a member has ended without completing its task, the others are stopped. */
  stopRestOfGang(job: OwnedJob, { ref, run }: RunEnd): void {
    const step = job.submission.steps[ref.step];
    if (!step?.gang || job.progress.findTask(ref)?.done) return;
    this.#gangMembersOf(job, { ref, run }).forEach((other) =>
      this.#stopOne(other, 'another member of the gang has ended'),
    );
  }

  /** Stops all runs of a job that has ended. Runs of a completed job end by themselves. */
  stopJob(job: OwnedJob, reason: string): void {
    if (reason === 'completed') return;
    this.assignmentsOf(job.id).forEach((assignment) => this.#stopOne(assignment, reason));
  }

  #gangMembersOf(job: OwnedJob, { ref, run }: Pick<RunEnd, 'ref' | 'run'>): Assignment[] {
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

/** True if both are tasks of the same step of the same occurrence. */
export function isSameStep(
  { ref }: Assignment,
  other: { occurrence: number; step: number },
): boolean {
  return ref.occurrence === other.occurrence && ref.step === other.step;
}
