import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { AdviceBook } from '../advice/advice-book.js';
import type { Demand } from '../job/submission.js';
import { DurationEstimator } from '../placing/duration-estimator.js';
import { AvailableWorker } from '../placing/available-worker.js';
import { testStep, testSubmission, testOwnedJob } from '../testing/test-jobs.support.js';
import type { OwnedJob } from './owned-job.js';
import type { Occupant, PassResult } from './pass-input.js';
import { decidePass } from './placing-pass.js';
import { QueueMeans } from './standings.js';

interface PassSteps {
  rooms: AvailableWorker[];
  occupants: Occupant[];
  jobs: OwnedJob[];
  claims: Set<OwnedJob>;
  /** True unless said. */
  knowsWorkers?: boolean;
  result: PassResult;
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

function newRoom(vm: string, free: Demand): AvailableWorker {
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
  /^(\d) full workers?, each with a run that loses (\d+) accelerator-ms$/,
  function (this: PassSteps, workers: string, loss: string) {
    const vms = Array.from({ length: Number(workers) }, (_, index) => `vm-${index}`);
    this.rooms = vms.map((vm) => newRoom(vm, NONE));
    this.occupants = vms.map((vm, index) => ({
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
  function (this: PassSteps, free: number, held: number) {
    this.rooms = [newRoom('vm-0', accelerators(free))];
    this.claims = new Set();
    const members = [{ vm: 'vm-0', demand: accelerators(held) }];
    this.occupants = [
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
  'an urgent job for {int} accelerators for which room was made 100 ms ago',
  function (this: PassSteps, count: number) {
    const job = newJob(0, 0, accelerators(count));
    job.noteRoomMade(-100);
    this.jobs = [job];
  },
);

Given(
  'a job of the lowest priority for {int} accelerators',
  function (this: PassSteps, count: number) {
    this.jobs.push(newJob(1, 2, accelerators(count)));
  },
);

Given('one of the runs is being stopped', function (this: PassSteps) {
  const [first] = this.occupants;
  assert.ok(first);
  first.stopping = true;
});

Given('{int} claims for a whole worker', function (this: PassSteps, count: number) {
  this.jobs = Array.from({ length: count }, (_, index) => newJob(index, 0));
  this.claims = new Set(this.jobs);
});

Given('an urgent job for a whole worker that has just come', function (this: PassSteps) {
  this.jobs = [newJob(0, 0)];
  this.claims = new Set();
});

Given(
  /^an urgent (job|gang) of (\d) tasks that need a whole worker each$/,
  function (this: PassSteps, kind: string, tasks: string) {
    this.jobs = [newJob(0, 0, WHOLE, { tasks: Number(tasks), gang: kind === 'gang' })];
    this.claims = new Set();
  },
);

Given('an owner that has not heard of all workers yet', function (this: PassSteps) {
  this.knowsWorkers = false;
});

When('a pass is decided', function (this: PassSteps) {
  const { rooms, occupants, jobs, claims } = this;
  this.result = decidePass({
    jobs,
    claims,
    rooms,
    evacuatedRacks: new Set(),
    occupants,
    means: new QueueMeans(),
    durations: new DurationEstimator(),
    bounds: { reclaimMs: 2700, stopMs: 200 },
    now: 0,
    wallMs: 0,
    advice: new AdviceBook(),
    knowsWorkers: this.knowsWorkers ?? true,
  });
});

Then('nothing starts', function (this: PassSteps) {
  assert.deepEqual(this.result.starts, []);
});

Then(/^(\d) runs? (?:is|are) stopped$/, function (this: PassSteps, count: string) {
  assert.equal(this.result.stops.length, Number(count));
});

Then('2 runs are stopped, one for each of the jobs', function (this: PassSteps) {
  const { stops } = this.result;
  assert.equal(new Set(stops.map(({ occupant }) => occupant)).size, 2);
  assert.deepEqual(new Set(stops.map(({ forJob }) => forJob)), new Set(this.jobs));
});
