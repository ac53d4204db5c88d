/** Lists the groups of a job that wait for capacity. */
import { MAX_SUSPECT_AGE_MS, isSuspect } from '../job/crash-record.js';
import { isStepReady, type Occurrence, type StepProgress } from '../job/progress.js';
import type { Step } from '../job/submission.js';
import type { TaskGroup, TaskPlacement } from '../placing/available-worker.js';
import type { OwnedJob } from './owned-job.js';
import { reservedDemand } from './urgency-factors.js';

/**
 * How long a step waits for the rack where it runs fast while the service is mostly idle; guaranteed jobs never wait longer.
 * No job may idle for 3 s while there is capacity, and a guaranteed job has to start.
 */
const RACK_WAIT_MS = 2000;

/** On a busy service the wait is this many task durations: on other racks a task holds its capacity for three times as long. */
const RACK_WAIT_DURATIONS = 2;

/**
 * How long a task suspected of crashing its runner waits for a worker where nothing else has just started. It is longer than a run
 * counts as just started, but not much: a busy service may never have such a worker, and the task may not be the cause.
 */
const TRIAL_WAIT_MS = MAX_SUSPECT_AGE_MS + 500;

/** Conditions that decide how long a group waits for a rack. */
export interface RackWaitPolicy {
  /** At least half of the service's accelerators are in use. */
  isBusy: boolean;
  isGuaranteed: boolean;
  /** Nothing waits for these racks: when they come back is up to the operator. */
  evacuatedRacks: ReadonlySet<string>;
  expectedMs: (step: Step) => number;
}

/** A waiting group. `readySince` is on the monotonic clock. */
export interface PendingGroup {
  job: OwnedJob;
  step: Step;
  group: TaskGroup;
  readySince: number;
}

/** The job's groups that could start now. */
export function pendingGroups(
  job: OwnedJob,
  now: number,
  rackWait: RackWaitPolicy,
): PendingGroup[] {
  if (job.cancelled || job.progress.outcome !== 'open') return [];
  return job.progress.occurrences.flatMap((occurrence) =>
    job.submission.steps.flatMap((step, index) =>
      pendingGroupsOfStep({ job, occurrence, step, stepIndex: index, now, rackWait }),
    ),
  );
}

function pendingGroupsOfStep({
  job,
  occurrence,
  step,
  stepIndex,
  now,
  rackWait,
}: {
  job: OwnedJob;
  occurrence: Occurrence;
  step: Step;
  stepIndex: number;
  now: number;
  rackWait: RackWaitPolicy;
}): PendingGroup[] {
  const progress = occurrence.steps[stepIndex];
  if (progress === undefined || !isStepReady(step, occurrence)) return [];
  const indexes = pendingIndexes(step, progress);
  if (indexes.length === 0) return [];
  const key = `${occurrence.index}.${stepIndex}`;
  const readySince = job.readySince.get(key) ?? now;
  job.readySince.set(key, readySince);
  const waitsForRack = now - readySince < rackWaitMs(step, rackWait);
  const isRackEvacuated = rackWait.evacuatedRacks.has(step.preferredRack ?? '');
  const common = {
    jobId: job.id,
    occurrence: occurrence.index,
    step: stepIndex,
    service: job.terms.service,
    demand: reservedDemand(step),
    gang: step.gang,
    oneRack: step.rackSensitive && waitsForRack,
    rack: waitsForRack && !isRackEvacuated ? step.preferredRack : undefined,
    label: step.requiredLabel,
    maxPerWorker: step.maxPerWorker,
    isUrgent: job.terms.priority === 0,
    present: tasksByWorker(progress),
    avoided: job.avoidedWorkers({ occurrence: occurrence.index, step: stepIndex }, now),
  };
  return splitSuspects(step, progress, indexes).map(
    ({ isSuspect: suspect, indexes: ownIndexes }) => ({
      job,
      step,
      group: {
        ...common,
        indexes: ownIndexes,
        isSuspect: suspect,
        startsAlone: suspect && now - readySince < TRIAL_WAIT_MS,
      },
      readySince,
    }),
  );
}

/**
 * Separates tasks suspected of crashing their runner, so that the other tasks of a wide step don't wait with them. Not for gangs,
 * nor for steps with a limit of tasks per worker, which counts over all tasks that are placed together.
 */
function splitSuspects(
  step: Step,
  progress: StepProgress,
  indexes: readonly number[],
): { isSuspect: boolean; indexes: readonly number[] }[] {
  const suspects = indexes.filter((index) => isSuspect(progress.tasks[index]?.crashes));
  // The usual case: no suspects.
  if (suspects.length === 0 || step.gang || step.maxPerWorker !== undefined) {
    return [{ isSuspect: suspects.length > 0, indexes }];
  }
  const others = indexes.filter((index) => !suspects.includes(index));
  return [
    { isSuspect: false, indexes: others },
    { isSuspect: true, indexes: suspects },
  ].filter((part) => part.indexes.length > 0);
}

function rackWaitMs(step: Step, { isBusy, isGuaranteed, expectedMs }: RackWaitPolicy): number {
  const maxWaitMs = RACK_WAIT_DURATIONS * expectedMs(step);
  return isBusy && !isGuaranteed ? maxWaitMs : Math.min(RACK_WAIT_MS, maxWaitMs);
}

/** Tasks that are neither done nor running. A gang waits as a whole, and only once no member of an earlier run is left. */
function pendingIndexes(step: Step, progress: StepProgress): number[] {
  const active = progress.tasks.some((task) => task.active !== undefined);
  if (step.gang && active) return [];
  return progress.tasks.flatMap((task, index) =>
    task.done || task.active !== undefined ? [] : [index],
  );
}

function tasksByWorker(progress: StepProgress): Map<string, number> {
  const present = new Map<string, number>();
  progress.tasks.forEach(({ active }) => {
    if (active !== undefined) present.set(active.vm, (present.get(active.vm) ?? 0) + 1);
  });
  return present;
}

/** The group without the tasks that were placed; undefined if none are left. */
export function withoutPlaced(
  pending: PendingGroup,
  placements: readonly TaskPlacement[],
): PendingGroup | undefined {
  const placedIndexes = new Set(placements.map(({ index }) => index));
  const indexes = pending.group.indexes.filter((index) => !placedIndexes.has(index));
  return indexes.length === 0 ? undefined : { ...pending, group: { ...pending.group, indexes } };
}
