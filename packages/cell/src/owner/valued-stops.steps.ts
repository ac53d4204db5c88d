import assert from 'node:assert/strict';
import { Before, Given, Then, When } from '@cucumber/cucumber';
import { quietContext } from '@zincspan/core';
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
import { StopRecords } from './stop-records.js';
import { QueueMeanWork } from './urgency-factors.js';

interface TestRun {
  vm: string;
  job: OwnedJob;
  step: Step;
  assignment: Assignment;
}

interface ValuedStopSteps {
  now: number;
  workers: string[];
  runs: TestRun[];
  jobs: OwnedJob[];
  guaranteed: Set<OwnedJob>;
  records: StopRecords;
  result: PlacementResult;
  /** How often each task was stopped. */
  stops: Map<string, number>;
}

const WHOLE: Demand = { milliCores: 64_000, memoryMb: 64_000, accelerators: 8 };
const ONE: Demand = { milliCores: 8000, memoryMb: 8000, accelerators: 1 };
const PER_WORKER = 8;
const STOP_MS = 200;

/** Work of a mean job in accelerator-ms: 39 small tasks of 8 s, and five whole workers for 3 s. */
const MEAN_WORK = { small: 312_000, urgent: 120_000 };

Before(function (this: ValuedStopSteps) {
  const clock = { now: () => this.now, wall: () => this.now };
  Object.assign(this, {
    now: 20_000,
    workers: [],
    runs: [],
    jobs: [],
    guaranteed: new Set(),
    records: new StopRecords(quietContext({ id: 'entry-1', clock })),
    stops: new Map(),
  });
});

function addJob(
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
function startOn(
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

function unitsOf({ runs, now }: ValuedStopSteps): RunningUnit[] {
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

function plan(world: ValuedStopSteps): void {
  const workers = availableWorkers(world);
  const queueMeans = new QueueMeanWork();
  Object.entries(MEAN_WORK).forEach(([queue, work]) => queueMeans.record(queue, work));
  const durations = new DurationEstimator();
  const result = planPlacement({
    jobs: world.jobs,
    guaranteedJobs: world.guaranteed,
    workers,
    profile: new FleetProfile(workers),
    policy: DEFAULT_CELL_POLICY,
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
function endStops(world: ValuedStopSteps, vms: readonly string[]): void {
  const hasEnded = ({ vm, assignment }: TestRun): boolean =>
    assignment.stopping !== undefined && vms.includes(vm);
  world.runs.filter(hasEnded).forEach(({ job, assignment: { ref, run } }) => {
    job.progress.endRun({ ref, run, how: 'stopped', checkpoint: '' }, { maxAttempts: 4 });
  });
  Object.assign(world, { runs: world.runs.filter((run) => !hasEnded(run)) });
}

function eightFrom(first: number): number[] {
  return Array.from({ length: PER_WORKER }, (_, index) => first + index);
}

function addUrgentGang(world: ValuedStopSteps, tasks: number, seconds: number): OwnedJob {
  const step = { tasks, gang: true, demand: WHOLE, estimateMs: seconds * 1000 };
  return addJob(world, step, { queue: 'urgent' });
}

function stoppedRuns({ result }: ValuedStopSteps): Assignment[] {
  return result.preemptions.flatMap(({ unit }) => unit.assignments);
}

Given(
  /^(\d) workers?, each full of 8 small tasks that have run for ([\d.]+) s of 8 s(, each two a job of their own)?$/,
  function (this: ValuedStopSteps, count: string, seconds: string, own: string | null) {
    const ageMs = Number(seconds) * 1000;
    this.workers = Array.from({ length: Number(count) }, (_, index) => `worker ${index + 1}`);
    const step = { demand: ONE, estimateMs: 8000 };
    if (own !== null) {
      this.workers.forEach((vm) =>
        Array.from({ length: PER_WORKER / 2 }).forEach(() => {
          const job = addJob(this, { ...step, tasks: 2 }, { queue: 'small', ageMs });
          startOn(this, job, { indexes: [0, 1], vm, ageMs });
        }),
      );
      return;
    }
    const tasks = this.workers.length * PER_WORKER;
    const job = addJob(this, { ...step, tasks }, { queue: 'small', ageMs });
    this.workers.forEach((vm, index) =>
      startOn(this, job, { indexes: eightFrom(index * PER_WORKER), vm, ageMs }),
    );
  },
);

Given('a free worker and no others', function (this: ValuedStopSteps) {
  this.workers = ['worker 1'];
});

Given(
  'a worker with one member of a running gang of {int} members that have run for {int} s of 8 s',
  function (this: ValuedStopSteps, members: number, seconds: number) {
    const step = { tasks: members, gang: true, demand: WHOLE, estimateMs: 8000 };
    const ageMs = seconds * 1000;
    const job = addJob(this, step, { queue: 'small', ageMs });
    const vms = Array.from({ length: members }, (_, index) => `gang worker ${index + 1}`);
    this.workers.push(...vms);
    vms.forEach((vm, index) => startOn(this, job, { indexes: [index], vm, ageMs }));
  },
);

Given(
  'the small tasks of worker {int} have run for {float} s',
  function (this: ValuedStopSteps, number: number, seconds: number) {
    const startedAt = this.now - seconds * 1000;
    this.runs
      .filter(({ vm }) => vm === `worker ${number}`)
      .forEach(({ assignment }) =>
        Object.assign(assignment, { assignedAt: startedAt, runningAt: startedAt, percent: 2 }),
      );
  },
);

Given(
  'the small tasks of worker {int} save checkpoints',
  function (this: ValuedStopSteps, number: number) {
    const vm = `worker ${number}`;
    const others = this.runs.filter((run) => run.vm !== vm);
    Object.assign(this, { runs: others });
    const step = { tasks: PER_WORKER, demand: ONE, estimateMs: 8000, checkpointing: true };
    const job = addJob(this, step, { queue: 'small', ageMs: 5000 });
    startOn(this, job, { indexes: eightFrom(0), vm, ageMs: 5000 });
  },
);

Given(
  /^(?:an|a later) urgent gang of (\d) tasks? that needs? a whole worker each, of ([\d.]+) s$/,
  function (this: ValuedStopSteps, tasks: string, seconds: string) {
    addUrgentGang(this, Number(tasks), Number(seconds));
  },
);

Given('the gang has failed {int} times', function (this: ValuedStopSteps, failures: number) {
  const step = this.jobs.at(-1)?.progress.findStep({ occurrence: 0, step: 0 });
  assert.ok(step);
  step.failures = failures;
});

Given('a pass is planned and its stops on worker 1 have ended', function (this: ValuedStopSteps) {
  plan(this);
  assert.equal(this.result.preemptions.length, 2 * PER_WORKER);
  endStops(this, ['worker 1']);
});

Given('all of them were stopped just before', function (this: ValuedStopSteps) {
  const units = unitsOf(this);
  const pending = { group: { jobId: '', occurrence: 0, step: 0, indexes: [] }, job: this.jobs[0] };
  const stop = { pending, isMade: true, gain: 1, cost: 0, waitMs: 0, victims: units, held: [] };
  const weighedStops = [stop] as unknown as PlacementResult['weighedStops'];
  this.records.record({ starts: [], weighedStops }, new DurationEstimator());
  assert.ok(units.every((unit) => this.records.wasStoppedRecently(unit, this.now)));
});

Given(
  'a guaranteed job that needs a whole worker, accepted {float} s ago',
  function (this: ValuedStopSteps, seconds: number) {
    const step = { demand: WHOLE, estimateMs: 3000 };
    const job = addJob(this, step, { queue: 'urgent', ageMs: seconds * 1000 });
    this.guaranteed.add(job);
  },
);

When('a pass is planned', function (this: ValuedStopSteps) {
  plan(this);
});

When('a pass is planned {int} ms later', function (this: ValuedStopSteps, ms: number) {
  this.now += ms;
  plan(this);
});

When(
  '3 urgent gangs for a whole worker each arrive within 1.3 s, and stopped tasks restart on 3 free workers',
  function (this: ValuedStopSteps) {
    const [small] = this.jobs;
    assert.ok(small);
    const full = [...this.workers];
    for (let gang = 1; gang <= 3; gang++) {
      addUrgentGang(this, 1, 3);
      plan(this);
      assert.equal(this.result.preemptions.length, PER_WORKER, `gang ${gang}`);
      const stopped = stoppedRuns(this).map(({ ref }) => ref.index);
      endStops(this, full);
      // The gang's own start, and the restart of what was stopped, on a worker that joins.
      plan(this);
      this.result.starts.forEach(({ pending: { job }, placements }) =>
        placements
          .filter(() => job !== small)
          .forEach(({ index, vm }) => startOn(this, job, { indexes: [index], vm, ageMs: 0 })),
      );
      const free = `free worker ${gang}`;
      this.workers.push(free);
      stopped.forEach((index) => startOn(this, small, { indexes: [index], vm: free, ageMs: 0 }));
      this.now += 650;
    }
  },
);

Then(/^(\d+) runs are stopped$/, function (this: ValuedStopSteps, count: string) {
  assert.equal(stoppedRuns(this).length, Number(count));
});

Then('only runs on worker {int} are stopped', function (this: ValuedStopSteps, number: number) {
  const stopped = new Set(stoppedRuns(this));
  const vms = this.runs.filter((run) => stopped.has(run.assignment)).map(({ vm }) => vm);
  assert.deepEqual([...new Set(vms)], [`worker ${number}`]);
});

Then('the stop is declined', function (this: ValuedStopSteps) {
  const declined = this.result.weighedStops.filter(({ isMade }) => !isMade);
  assert.equal(declined.length, 1);
  assert.ok(declined.every(({ gain, cost }) => cost >= gain));
});

Then('no task is stopped twice', function (this: ValuedStopSteps) {
  assert.equal(this.stops.size, 3 * PER_WORKER);
  assert.deepEqual(new Set(this.stops.values()), new Set([1]));
});

Then('nothing starts for the second', function (this: ValuedStopSteps) {
  assert.deepEqual(this.result.starts, []);
});

Then(/^the (first|second) gang starts$/, function (this: ValuedStopSteps, which: string) {
  const urgent = this.jobs.filter(({ terms }) => terms.priority === 0);
  assert.equal(this.result.starts[0]?.pending.job, urgent[which === 'first' ? 0 : 1]);
});
