import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { ApprovalCache } from '../advice/approval-cache.js';
import type { Demand } from '../job/submission.js';
import { DEFAULT_CELL_POLICY } from '../config/cell-policy.js';
import { FleetProfile } from '../placing/fleet-profile.js';
import { DurationEstimator } from '../placing/duration-estimator.js';
import { AvailableWorker } from '../placing/available-worker.js';
import { testStep, testSubmission, testOwnedJob } from '../testing/test-jobs.support.js';
import type { OwnedJob } from './owned-job.js';
import type { RunningUnit, PlacementResult } from './placement-types.js';
import { planPlacement } from './placement-pass.js';
import { QueueMeanWork } from './urgency-factors.js';

interface PlacementSteps {
  workers: AvailableWorker[];
  runningUnits: RunningUnit[];
  jobs: OwnedJob[];
  guaranteedJobs: Set<OwnedJob>;
  /** True by default. */
  allWorkersKnown?: boolean;
  result: PlacementResult;
}

const WHOLE: Demand = { milliCores: 8000, memoryMb: 8000, accelerators: 8 };
const NONE: Demand = { milliCores: 0, memoryMb: 0, accelerators: 0 };
const ESTIMATE_MS = 2000;

function accelerators(count: number): Demand {
  return { milliCores: count * 1000, memoryMb: count * 1000, accelerators: count };
}

function newJob(
  number: number,
  priority: number,
  demand = WHOLE,
  { tasks = 1, gang = false } = {},
): OwnedJob {
  const submission = testSubmission({
    id: number.toString(16).padStart(16, '0'),
    terms: {
      service: 'render',
      priority,
      maxAttempts: 2,
      stretch: 1.5,
      targetLatencyMs: 250,
      needsAdvice: false,
    },
    steps: [testStep({ tasks, gang, demand, estimateMs: ESTIMATE_MS })],
  });
  return testOwnedJob(submission);
}

function newWorker(vm: string, free: Demand): AvailableWorker {
  return new AvailableWorker({
    vm,
    runner: `runner of ${vm}`,
    rack: 'r1',
    labels: [],
    service: 'render',
    free,
    capacity: WHOLE,
  });
}

Given(
  /^(\d) full workers?, each with a run that would lose (\d+) accelerator-ms$/,
  function (this: PlacementSteps, count: string, loss: string) {
    const vms = Array.from({ length: Number(count) }, (_, index) => `vm-${index}`);
    this.workers = vms.map((vm) => newWorker(vm, NONE));
    this.runningUnits = vms.map((vm, index) => ({
      key: vm,
      job: newJob(100 + index, 2),
      members: [{ vm, demand: WHOLE }],
      loss: Number(loss),
      stopping: false,
      isProtected: false,
      assignments: [],
    }));
  },
);

Given(
  'a worker with {int} free accelerators, and a run of {int} that is being stopped',
  function (this: PlacementSteps, free: number, held: number) {
    this.workers = [newWorker('vm-0', accelerators(free))];
    this.guaranteedJobs = new Set();
    const members = [{ vm: 'vm-0', demand: accelerators(held) }];
    this.runningUnits = [
      {
        key: 'run',
        job: newJob(100, 2),
        members,
        loss: 0,
        stopping: true,
        isProtected: false,
        assignments: [],
      },
    ];
  },
);

Given(
  'an urgent job for {int} accelerators for which runs were preempted 100 ms ago',
  function (this: PlacementSteps, count: number) {
    const job = newJob(0, 0, accelerators(count));
    job.notePreemption(-100);
    this.jobs = [job];
  },
);

Given(
  'a job of the lowest priority for {int} accelerators',
  function (this: PlacementSteps, count: number) {
    this.jobs.push(newJob(1, 2, accelerators(count)));
  },
);

Given('one of the runs is being stopped', function (this: PlacementSteps) {
  const [first] = this.runningUnits;
  assert.ok(first);
  first.stopping = true;
});

Given(
  '{int} guaranteed jobs for a whole worker each',
  function (this: PlacementSteps, count: number) {
    this.jobs = Array.from({ length: count }, (_, index) => newJob(index, 0));
    this.guaranteedJobs = new Set(this.jobs);
  },
);

Given(
  'an urgent job for a whole worker that has just been accepted',
  function (this: PlacementSteps) {
    this.jobs = [newJob(0, 0)];
    this.guaranteedJobs = new Set();
  },
);

Given(
  /^an urgent (job|gang) of (\d) tasks that need a whole worker each$/,
  function (this: PlacementSteps, kind: string, tasks: string) {
    this.jobs = [newJob(0, 0, WHOLE, { tasks: Number(tasks), gang: kind === 'gang' })];
    this.guaranteedJobs = new Set();
  },
);

Given('an owner that does not know all workers yet', function (this: PlacementSteps) {
  this.allWorkersKnown = false;
});

When('a placement pass is planned', function (this: PlacementSteps) {
  const { workers, runningUnits, jobs, guaranteedJobs } = this;
  this.result = planPlacement({
    jobs,
    guaranteedJobs,
    workers,
    profile: new FleetProfile(workers),
    policy: DEFAULT_CELL_POLICY,
    evacuatedRacks: new Set(),
    runningUnits,
    queueMeans: new QueueMeanWork(),
    durations: new DurationEstimator(),
    bounds: { reclaimMs: 2700, stopMs: 200 },
    now: 0,
    wallMs: 0,
    approvals: new ApprovalCache(),
    allWorkersKnown: this.allWorkersKnown ?? true,
  });
});

Then('nothing starts', function (this: PlacementSteps) {
  assert.deepEqual(this.result.starts, []);
});

Then(/^(\d) runs? (?:is|are) preempted$/, function (this: PlacementSteps, count: string) {
  assert.equal(this.result.preemptions.length, Number(count));
});

Then('2 runs are preempted, one for each of the jobs', function (this: PlacementSteps) {
  const { preemptions } = this.result;
  assert.equal(new Set(preemptions.map(({ unit }) => unit)).size, 2);
  assert.deepEqual(new Set(preemptions.map(({ forJob }) => forJob)), new Set(this.jobs));
});
