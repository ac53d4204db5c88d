/** A cell's workers and runs for scenarios of stops by value, without a network. */
import assert from 'node:assert/strict';
import type { CountingMetrics } from '@zincspan/core';
import type { LogRecorder } from '../testing/log-recorder.support.js';
import { ApprovalCache } from '../advice/approval-cache.js';
import { DEFAULT_CELL_POLICY } from '../config/cell-policy.js';
import type { Demand, Step } from '../job/submission.js';
import { taskName } from '../job/task-name.js';
import { AvailableWorker } from '../placing/available-worker.js';
import { DurationEstimator } from '../placing/duration-estimator.js';
import { FleetProfile } from '../placing/fleet-profile.js';
import { testOwnedJob, testStep, testSubmission } from '../testing/test-jobs.support.js';
import type { Assignment } from '../worker/worker.js';
import type { OwnedJob } from './owned-job.js';
import { planPlacement } from './placement-pass.js';
import type { PlacementResult, RunningUnit } from './placement-types.js';
import type { StopRecords } from './stop-records.js';
import { QueueMeanWork } from './urgency-factors.js';

/** A run on a worker. */
export interface TestRun {
  vm: string;
  job: OwnedJob;
  step: Step;
  assignment: Assignment;
}

/** State of a scenario. */
export interface ValuedStopSteps {
  now: number;
  workers: string[];
  runs: TestRun[];
  jobs: OwnedJob[];
  guaranteed: Set<OwnedJob>;
  log: LogRecorder;
  metrics: CountingMetrics;
  records: StopRecords;
  result: PlacementResult;
  /** How often each task was stopped. */
  stops: Map<string, number>;
}

/** Capacity of a worker. */
export const WHOLE: Demand = { milliCores: 64_000, memoryMb: 64_000, accelerators: 8 };
/** Demand of a small task. */
export const ONE: Demand = { milliCores: 8000, memoryMb: 8000, accelerators: 1 };
/** Small tasks that fill a worker. */
export const PER_WORKER = 8;
const STOP_MS = 200;

/** Work of a mean job in accelerator-ms: 39 small tasks of 8 s, and five whole workers for 3 s. */
const MEAN_WORK = { small: 312_000, urgent: 120_000 };

/** Adds a job of one step. */
export function addJob(
  world: ValuedStopSteps,
  step: Partial<Step>,
  { queue, ageMs = 0 }: { queue: 'small' | 'urgent'; ageMs?: number },
): OwnedJob {
  const isUrgent = queue === 'urgent';
  const job = testOwnedJob(
    testSubmission({
      id: (world.jobs.length + 1).toString(16).padStart(16, '0'),
      queue,
      acceptedAtMs: world.now - ageMs,
      terms: {
        service: 'render',
        priority: isUrgent ? 0 : 2,
        maxAttempts: 4,
        stretch: isUrgent ? 1.5 : 3,
        targetLatencyMs: isUrgent ? 250 : 3000,
        needsAdvice: false,
      },
      steps: [testStep(step)],
    }),
  );
  world.jobs.push(job);
  return job;
}

/** Starts tasks of the job's only step on a worker, as if they had run for this long. */
export function startOn(
  world: ValuedStopSteps,
  job: OwnedJob,
  { indexes, vm, ageMs }: { indexes: readonly number[]; vm: string; ageMs: number },
): void {
  const [step] = job.submission.steps;
  assert.ok(step);
  const refs = indexes.map((index) => ({ occurrence: 0, step: 0, index }));
  const run = job.progress.startRuns(refs.map((ref) => ({ ref, vm, runner: vm })));
  refs.forEach((ref) => {
    const assignment: Assignment = {
      name: taskName(job.id, ref),
      jobId: job.id,
      ref,
      run,
      runner: vm,
      demand: step.demand,
      change: 0,
      checkpoint: '',
      resumed: false,
      percent: Math.floor((100 * ageMs) / step.estimateMs),
      firstPercent: 0,
      progressAt: world.now,
      assignedAt: world.now - ageMs,
      runningAt: world.now - ageMs,
      unaccountedSince: undefined,
      unaccountedTold: false,
      stopping: undefined,
      isOnProbation: false,
    };
    world.runs.push({ vm, job, step, assignment });
  });
}

/** What runs, as units that stop together. */
export function unitsOf({ runs, now }: ValuedStopSteps): RunningUnit[] {
  const sets = new Map<string, TestRun[]>();
  runs.forEach((run) => {
    const key = run.step.gang ? run.job.id : run.assignment.name;
    sets.set(key, [...(sets.get(key) ?? []), run]);
  });
  return [...sets].flatMap(([key, members]) => {
    const [first] = members;
    if (first === undefined) return [];
    const lostMs = ({ step, assignment }: TestRun): number =>
      step.checkpointing ? 150 : now - assignment.assignedAt;
    return {
      key,
      job: first.job,
      members: members.map(({ vm, step: { demand } }) => ({ vm, demand })),
      loss: members.reduce((sum, run) => sum + run.step.demand.accelerators * lostMs(run), 0),
      stopping: first.assignment.stopping !== undefined,
      isProtected: false,
      assignments: members.map(({ assignment }) => assignment),
    };
  });
}

function availableWorkers({ workers, runs }: ValuedStopSteps): AvailableWorker[] {
  return workers.map((vm) => {
    const worker = new AvailableWorker({
      vm,
      runner: vm,
      rack: 'r1',
      labels: [],
      service: 'render',
      free: WHOLE,
      capacity: WHOLE,
    });
    runs.filter((run) => run.vm === vm).forEach(({ step }) => worker.allocate(step.demand, 1));
    return worker;
  });
}

/** Plans a pass and carries out its stops' requests. */
export function plan(world: ValuedStopSteps): void {
  const workers = availableWorkers(world);
  const queueMeans = new QueueMeanWork();
  Object.entries(MEAN_WORK).forEach(([queue, work]) => queueMeans.record(queue, work));
  const durations = new DurationEstimator();
  const result = planPlacement({
    jobs: world.jobs,
    guaranteedJobs: world.guaranteed,
    workers,
    profile: new FleetProfile(workers),
    policy: { ...DEFAULT_CELL_POLICY, stopsByValue: 'auto' },
    evacuatedRacks: new Set(),
    runningUnits: unitsOf(world),
    queueMeans,
    durations,
    bounds: { reclaimMs: 2700, stopMs: STOP_MS },
    now: world.now,
    wallMs: world.now,
    approvals: new ApprovalCache(),
    allWorkersKnown: true,
    stopRecords: world.records,
  });
  world.records.record(result, durations);
  result.preemptions.forEach(({ unit, forJob }) => {
    forJob.notePreemption(world.now);
    unit.assignments.forEach((assignment) => {
      Object.assign(assignment, { stopping: `preempted for ${forJob.id}` });
      world.stops.set(assignment.name, (world.stops.get(assignment.name) ?? 0) + 1);
    });
  });
  Object.assign(world, { result });
}

/** Stops that were requested on these workers have ended. */
export function endStops(world: ValuedStopSteps, vms: readonly string[]): void {
  const hasEnded = ({ vm, assignment }: TestRun): boolean =>
    assignment.stopping !== undefined && vms.includes(vm);
  world.runs.filter(hasEnded).forEach(({ job, assignment: { ref, run } }) => {
    job.progress.endRun({ ref, run, how: 'stopped', checkpoint: '' }, { maxAttempts: 4 });
  });
  Object.assign(world, { runs: world.runs.filter((run) => !hasEnded(run)) });
}

/** Indexes of a worker's small tasks. */
export function eightFrom(first: number): number[] {
  return Array.from({ length: PER_WORKER }, (_, index) => first + index);
}

/** Adds an urgent gang of tasks that need a whole worker each. */
export function addUrgentGang(world: ValuedStopSteps, tasks: number, seconds: number): OwnedJob {
  const step = { tasks, gang: true, demand: WHOLE, estimateMs: seconds * 1000 };
  return addJob(world, step, { queue: 'urgent' });
}

/** Runs that the last pass stops. */
export function stoppedRuns({ result }: ValuedStopSteps): Assignment[] {
  return result.preemptions.flatMap(({ unit }) => unit.assignments);
}
