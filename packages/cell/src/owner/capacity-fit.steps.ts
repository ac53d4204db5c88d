import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { quietContext } from '@zincspan/core';
import type { Demand } from '../job/submission.js';
import { ApprovalCache } from '../advice/approval-cache.js';
import { DEFAULT_CELL_POLICY } from '../config/cell-policy.js';
import { AvailableWorker } from '../placing/available-worker.js';
import { DurationEstimator } from '../placing/duration-estimator.js';
import { FleetProfile } from '../placing/fleet-profile.js';
import { WholeWorkerDemand } from '../placing/whole-worker-demand.js';
import { testOwnedJob, testStep, testSubmission } from '../testing/test-jobs.support.js';
import { FitReport } from './fit-report.js';
import type { OwnedJob } from './owned-job.js';
import { planPlacement } from './placement-pass.js';
import { QueueMeanWork } from './urgency-factors.js';

interface CapacityFitSteps {
  workers: AvailableWorker[];
  wholeWorkers: WholeWorkerDemand;
  job: OwnedJob;
  ageMs: number;
  started: number;
  logged: number;
}

const NOW = 100_000;
const CAPACITY = { milliCores: 8000, memoryMb: 8000, accelerators: 8 };
const NOTHING = { milliCores: 0, memoryMb: 0, accelerators: 0 };

function smallTasksJob(
  priority: number,
  tasks: number,
  { gang = false, maxPerWorker }: { gang?: boolean; maxPerWorker?: number } = {},
): OwnedJob {
  const terms = { service: 'render', priority, maxAttempts: 2, stretch: 4, needsAdvice: false };
  const demand = { milliCores: 1000, memoryMb: 1000, accelerators: 1 };
  const limit = maxPerWorker === undefined ? {} : { maxPerWorker };
  const steps = [testStep({ tasks, demand, gang, estimateMs: 4000, ...limit })];
  return testOwnedJob(testSubmission({ terms: { ...terms, targetLatencyMs: 0 }, steps }));
}

function newWorkers(count: number, freeOf: (index: number) => Demand): AvailableWorker[] {
  return Array.from({ length: count }, (_, index) => {
    const names = { vm: `vm-${index}`, runner: `runner-${index}`, rack: 'r1', labels: [] };
    const free = freeOf(index);
    return new AvailableWorker({ ...names, service: 'render', free, capacity: CAPACITY });
  });
}

Given(
  'a service of {int} workers, {int} of them in use',
  function (this: CapacityFitSteps, count: number, used: number) {
    this.workers = newWorkers(count, (index) => (index < used ? NOTHING : CAPACITY));
  },
);

Given(
  'a service of {int} workers with {int} accelerators free on each',
  function (this: CapacityFitSteps, count: number, free: number) {
    this.workers = newWorkers(count, () => ({ ...CAPACITY, accelerators: free }));
  },
);

Given(
  'a gang of {int} whole workers for {int} s that arrived {int} s ago',
  function (this: CapacityFitSteps, tasks: number, seconds: number, ago: number) {
    this.wholeWorkers = new WholeWorkerDemand(NOW - 5000);
    const at = NOW - ago * 1000;
    this.wholeWorkers.note({ service: 'render', priority: 0, tasks, taskMs: seconds * 1000, at });
  },
);

Given(
  /^a waiting (job|gang) of priority (\d) and age (\d) s with (\d+) tasks of one accelerator for 4 s$/,
  function (this: CapacityFitSteps, kind: string, priority: string, age: string, tasks: string) {
    this.job = smallTasksJob(Number(priority), Number(tasks), { gang: kind === 'gang' });
    this.ageMs = Number(age) * 1000;
  },
);

Given('at most one of its tasks may run on each worker', function (this: CapacityFitSteps) {
  const { terms, steps } = this.job.submission;
  this.job = smallTasksJob(terms.priority, steps[0]?.tasks ?? 0, { maxPerWorker: 1 });
});

When('small tasks are placed with the part {string}', function (this: CapacityFitSteps, part) {
  const { starts } = planPlacement({
    jobs: [this.job],
    guaranteedJobs: new Set(),
    workers: this.workers,
    profile: new FleetProfile(this.workers),
    policy: { ...DEFAULT_CELL_POLICY, capacityFit: part === 'off' ? 'off' : 'auto' },
    wholeWorkers: this.wholeWorkers,
    evacuatedRacks: new Set(),
    runningUnits: [],
    queueMeans: new QueueMeanWork(),
    durations: new DurationEstimator(),
    bounds: { reclaimMs: 2700, stopMs: 200 },
    now: NOW,
    wallMs: this.ageMs,
    approvals: new ApprovalCache(),
    allWorkersKnown: true,
  });
  this.started = starts.reduce((sum, { placements }) => sum + placements.length, 0);
});

When('3 passes defer tasks of a job, 500 ms apart', function (this: CapacityFitSteps) {
  let now = NOW;
  const { metrics, clock } = quietContext({
    id: 'entry-1',
    clock: { now: () => now, wall: () => now },
  });
  const job = smallTasksJob(2, 40);
  const counts = { freeAccelerators: 0, strandedAccelerators: 0, wholeWorkersFree: 0 };
  const state = () => ({ ...counts, wholeWorkersKept: 4 });
  const deferrals = [{ job, started: 0, deferred: 40, keep: 4, slackMs: 0 }];
  const report = new FitReport();
  this.logged = 0;
  const log = (): void => {
    this.logged += 1;
  };
  [0, 1, 2].forEach((pass) => {
    now = NOW + pass * 500;
    report.report({ metrics, clock }, { state, deferrals }, log);
  });
});

Then('{int} of the tasks start', function (this: CapacityFitSteps, count: number) {
  assert.equal(this.started, count);
});

Then('2 deferrals are logged and counted', function (this: CapacityFitSteps) {
  assert.equal(this.logged, 2);
});
