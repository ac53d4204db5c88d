/** The groups of a job that wait for room. */
import { MAX_SUSPECT_AGE_MS, isSuspect } from '../job/crash-record.js';
import { isStepReady, type Occurrence, type StepProgress } from '../job/progress.js';
import type { Step } from '../job/submission.js';
import type { TaskGroup, TaskPlacement } from '../placing/available-worker.js';
import type { OwnedJob } from './owned-job.js';
import { roomDemand } from './standings.js';

/**
 * How long a step waits for the rack where it runs fast while most of the service is idle, and a claim in any case, in ms:
 * no job may stand still for 3 s while there is room, and a claim has to begin.
 */
const RACK_WAIT_MS = 2000;

/** Otherwise for this many of its durations: elsewhere it takes three times as long, and as much room for as long. */
const RACK_WAIT_DURATIONS = 2;

/**
 * How long a task that may crash its runner waits for a worker where nothing else has just been started, in ms: longer than a
 * run counts as just started, and no longer, as a busy service may never have such a worker and the task may be innocent.
 */
const TRIAL_WAIT_MS = MAX_SUSPECT_AGE_MS + 500;

/** What the wait for a rack depends on. */
export interface RackPatience {
  /** More than half of the service is in use. */
  isBusy: boolean;
  claim: boolean;
  /** Room there comes back at the operator's time: nothing waits for it. */
  evacuatedRacks: ReadonlySet<string>;
  expectedMs: (step: Step) => number;
}

/** A group and since when it has waited, on the monotonic clock. */
export interface WantedGroup {
  job: OwnedJob;
  step: Step;
  group: TaskGroup;
  readySince: number;
}

/** All that could start now. */
export function wantedGroups(job: OwnedJob, now: number, patience: RackPatience): WantedGroup[] {
  if (job.cancelled || job.progress.outcome !== 'open') return [];
  return job.progress.occurrences.flatMap((occurrence) =>
    job.submission.steps.flatMap((step, index) =>
      wantedOfStep({ job, occurrence, step, stepIndex: index, now, patience }),
    ),
  );
}

function wantedOfStep({
  job,
  occurrence,
  step,
  stepIndex,
  now,
  patience,
}: {
  job: OwnedJob;
  occurrence: Occurrence;
  step: Step;
  stepIndex: number;
  now: number;
  patience: RackPatience;
}): WantedGroup[] {
  const progress = occurrence.steps[stepIndex];
  if (progress === undefined || !isStepReady(step, occurrence)) return [];
  const indexes = waitingIndexes(step, progress);
  if (indexes.length === 0) return [];
  const key = `${occurrence.index}.${stepIndex}`;
  const readySince = job.readySince.get(key) ?? now;
  job.readySince.set(key, readySince);
  const waitsForRack = now - readySince < rackWaitMs(step, patience);
  const isAway = patience.evacuatedRacks.has(step.preferredRack ?? '');
  const common = {
    jobId: job.id,
    occurrence: occurrence.index,
    step: stepIndex,
    service: job.terms.service,
    demand: roomDemand(step),
    gang: step.gang,
    oneRack: step.rackSensitive && waitsForRack,
    rack: waitsForRack && !isAway ? step.preferredRack : undefined,
    label: step.requiredLabel,
    maxPerWorker: step.maxPerWorker,
    isUrgent: job.terms.priority === 0,
    present: tasksByWorker(progress),
    avoided: job.avoided({ occurrence: occurrence.index, step: stepIndex }, now),
  };
  return splitSuspects(step, progress, indexes).map(({ isSuspect: suspect, indexes: own }) => ({
    job,
    step,
    group: {
      ...common,
      indexes: own,
      isSuspect: suspect,
      startsAlone: suspect && now - readySince < TRIAL_WAIT_MS,
    },
    readySince,
  }));
}

/**
 * Tasks that may crash their runner are placed by themselves, so that the others of a wide step don't wait with them. Not members
 * of a gang, nor of a step with a bound on tasks of one worker, which counts over all that are placed together.
 */
function splitSuspects(
  step: Step,
  progress: StepProgress,
  indexes: readonly number[],
): { isSuspect: boolean; indexes: readonly number[] }[] {
  const suspects = indexes.filter((index) => isSuspect(progress.tasks[index]?.crashes));
  // Nearly always there are none.
  if (suspects.length === 0 || step.gang || step.maxPerWorker !== undefined) {
    return [{ isSuspect: suspects.length > 0, indexes }];
  }
  const others = indexes.filter((index) => !suspects.includes(index));
  return [
    { isSuspect: false, indexes: others },
    { isSuspect: true, indexes: suspects },
  ].filter((part) => part.indexes.length > 0);
}

function rackWaitMs(step: Step, { isBusy, claim, expectedMs }: RackPatience): number {
  const worthMs = RACK_WAIT_DURATIONS * expectedMs(step);
  return isBusy && !claim ? worthMs : Math.min(RACK_WAIT_MS, worthMs);
}

/** A gang waits whole: only once no member of an earlier run is left. */
function waitingIndexes(step: Step, progress: StepProgress): number[] {
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

/** The tasks that weren't placed; undefined if all were. */
export function withoutPlaced(
  wanted: WantedGroup,
  placed: readonly TaskPlacement[],
): WantedGroup | undefined {
  const started = new Set(placed.map(({ index }) => index));
  const indexes = wanted.group.indexes.filter((index) => !started.has(index));
  return indexes.length === 0 ? undefined : { ...wanted, group: { ...wanted.group, indexes } };
}
