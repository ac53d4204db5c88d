/** Lists what runs in a cell as units that stop together, with the work that stopping each would lose. */
import type { FleetProfile } from '../placing/fleet-profile.js';
import type { HeldCapacity } from '../placing/capacity-ledger.js';
import type { Assignment } from '../worker/worker.js';
import type { OwnedJob } from './owned-job.js';
import type { RunningUnit } from './placement-types.js';
import type { RunRegistry } from './run-registry.js';
import { isSameStep } from './run-stopper.js';

const FULL_PERCENT = 100;

/**
 * Cost of stopping a run and resuming it from the checkpoint taken then. No work is repeated, but the capacity idles for part of
 * the 100 to 800 ms that the platform's runners take for it.
 */
const RESUME_COST_MS = 150;

/** A unit while its members are being collected. */
interface UnitInProgress extends RunningUnit {
  members: HeldCapacity[];
  assignments: Assignment[];
}

/** Units of all workers. Those of guaranteed jobs are protected from preemption. */
export function findRunningUnits(
  registry: RunRegistry,
  guaranteedJobs: ReadonlySet<OwnedJob>,
  profile: FleetProfile,
): RunningUnit[] {
  const units = new Map<string, UnitInProgress>();
  const now = registry.now();
  [...registry.fleet.all()].forEach(({ vm, assignments }) =>
    assignments.forEach((assignment) => {
      const job = registry.jobs.get(assignment.jobId);
      const step = job?.submission.steps[assignment.ref.step];
      if (job === undefined || step === undefined) return;
      const key = step.gang ? gangKey(assignment) : assignment.name;
      const existing = units.get(key);
      const unit =
        existing ??
        newUnit(key, job, guaranteedJobs.has(job) || !isPreemptible(registry, job, assignment));
      if (existing === undefined) units.set(key, unit);
      // Mutated in place: copying the unit for each member would be quadratic in the width of a gang.
      unit.members.push({ vm, demand: assignment.demand });
      unit.assignments.push(assignment);
      unit.loss +=
        profile.acceleratorEquivalents(job.terms.service, assignment.demand) *
        lostMs(assignment, step.checkpointing, now);
      unit.stopping ||= assignment.stopping !== undefined;
    }),
  );
  return [...units.values()];
}

/**
 * Whether a long-running task may be preempted: the scheduler may keep at most `mayMiss` tasks of its step from running. Only the
 * first running tasks of the step qualify, so that one pass never preempts more than that.
 */
function isPreemptible(registry: RunRegistry, job: OwnedJob, { ref }: Assignment): boolean {
  const step = job.submission.steps[ref.step];
  if (!step?.lasting || step.mayMiss === 0) return true;
  const running = registry
    .assignmentsOf(job.id)
    .filter((other) => isSameStep(other, ref) && isRunning(other))
    .map((other) => other.ref.index)
    .sort((a, b) => a - b);
  const missing = step.tasks - running.length;
  return running.slice(0, Math.max(0, step.mayMiss - missing)).includes(ref.index);
}

/** A long-running task reports 100 percent while it is running. */
function isRunning({ percent, stopping }: Assignment): boolean {
  return percent >= FULL_PERCENT && stopping === undefined;
}

function newUnit(key: string, job: OwnedJob, isProtected: boolean): UnitInProgress {
  return { key, job, members: [], loss: 0, stopping: false, isProtected, assignments: [] };
}

function gangKey({ jobId, ref, run }: Assignment): string {
  return `${jobId}.${ref.occurrence}.${ref.step}#${run}`;
}

/**
 * Time lost by stopping the run, in ms. A checkpointing run saves a checkpoint as it stops, so that only the time to stop and resume
 * is lost.
 */
function lostMs({ assignedAt }: Assignment, checkpointing: boolean, now: number): number {
  return checkpointing ? RESUME_COST_MS : now - assignedAt;
}
