/** The groups of a job that wait for room. */
import { isStepReady, type Occurrence, type StepProgress } from '../job/progress.js';
import type { Step } from '../job/submission.js';
import type { Group } from '../placing/room.js';
import type { OwnedJob } from './owned-job.js';
import { roomDemand } from './standings.js';

/**
 * How long a step waits for the rack where it runs fast, in ms. Elsewhere it takes three times as long, so waiting for
 * one task's end pays; longer than this no job may stand still while there is room.
 */
const RACK_WAIT_MS = 2000;

/** A group and since when it has waited, on the monotonic clock. */
export interface WantedGroup {
  job: OwnedJob;
  step: Step;
  group: Group;
  readySince: number;
}

/** All that could start now. */
export function wantedGroups(job: OwnedJob, now: number): WantedGroup[] {
  if (job.cancelled || job.progress.outcome !== 'open') return [];
  return job.progress.occurrences.flatMap((occurrence) =>
    job.submission.steps.flatMap((step, index) => wantedOfStep(job, occurrence, step, index, now)),
  );
}

function wantedOfStep(
  job: OwnedJob,
  occurrence: Occurrence,
  step: Step,
  stepIndex: number,
  now: number,
): WantedGroup[] {
  const progress = occurrence.steps[stepIndex];
  if (progress === undefined || !isStepReady(step, occurrence)) return [];
  const indexes = waitingIndexes(step, progress);
  if (indexes.length === 0) return [];
  const key = `${occurrence.index}.${stepIndex}`;
  const readySince = job.readySince.get(key) ?? now;
  job.readySince.set(key, readySince);
  const waitsForRack = now - readySince < Math.min(RACK_WAIT_MS, 2 * step.estimateMs);
  const group: Group = {
    jobId: job.id,
    occurrence: occurrence.index,
    step: stepIndex,
    indexes,
    service: job.terms.service,
    demand: roomDemand(step),
    gang: step.gang,
    oneRack: step.rackSensitive && waitsForRack,
    rack: waitsForRack ? step.preferredRack : undefined,
    label: step.requiredLabel,
    maxPerWorker: step.maxPerWorker,
    present: tasksByWorker(progress),
    avoided: job.avoided({ occurrence: occurrence.index, step: stepIndex }, now),
  };
  return [{ job, step, group, readySince }];
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
