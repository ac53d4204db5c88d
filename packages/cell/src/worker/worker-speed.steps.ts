import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { quietContext, type HeldSpeed } from '@zincspan/core';
import { SpeedHolder } from '../guard/speed-holder.js';
import type { Step } from '../job/submission.js';
import { DurationEstimator } from '../placing/duration-estimator.js';
import { testStep } from '../testing/test-jobs.support.js';
import { SpeedLearner, type ObservedRun } from './speed-learner.js';
import { Worker, type Assignment } from './worker.js';

const QUEUE = 'proofs';
const ESTIMATE_MS = 4000;
const TICK_MS = 500;
const PER_WORKER = 8;
const TASKS_PER_JOB = 24;
const SLOWER_FACTOR = 1.3;
const LONG_FACTOR = 7;
const LONG_SHARE = 0.03;
/** Standard deviation of the logarithm of a task's length, and of a job's estimate. */
const TASK_SPREAD = 0.15;
const JOB_SPREAD = 0.3;

/** Of a multiplicative generator. */
const MODULUS = 2 ** 31 - 1;

interface SimulatedTask {
  run: ObservedRun;
  workMs: number;
  doneMs: number;
  startedAt: number;
}

interface SpeedSteps {
  now: number;
  workers: Worker[];
  tasks: Map<Worker, SimulatedTask[]>;
  holders: Map<Worker, SpeedHolder>;
  lives: Map<Worker, number>;
  durations: DurationEstimator;
  learner: SpeedLearner;
  isOn: boolean;
  slowVm: string | undefined;
  slowFactor: number;
  drawn: number;
  job: { step: Step; factor: number; left: number; id: string };
}

/** Uniform numbers from 0 to 1, the same in each run. */
function uniform(world: SpeedSteps): number {
  Object.assign(world, { drawn: (world.drawn * 48_271) % MODULUS });
  return world.drawn / MODULUS;
}

/** About normal, of standard deviation 1. */
function normal(world: SpeedSteps): number {
  return Array.from({ length: 12 }, () => uniform(world)).reduce((sum, each) => sum + each, -6);
}

function newLearner(world: SpeedSteps): void {
  const now = (): number => world.now;
  const ctx = quietContext({ id: 'entry-1', role: 'entry', clock: { now, wall: now } });
  const durations = new DurationEstimator();
  const learner = new SpeedLearner({ ctx, durations, isOn: world.isOn });
  Object.assign(world, { durations, learner });
}

function lifeOf({ lives }: SpeedSteps, worker: Worker): string {
  return `${worker.vm}@${lives.get(worker) ?? 0}`;
}

function workerAt({ workers }: SpeedSteps, number: number): Worker {
  const worker = workers[number - 1];
  assert.ok(worker);
  return worker;
}

function factorOf({ workers, slowVm, slowFactor }: SpeedSteps, worker: Worker): number {
  const usual = workers.indexOf(worker) % 3 === 0 ? SLOWER_FACTOR : 1;
  return worker.vm === slowVm ? usual * slowFactor : usual;
}

function contact(world: SpeedSteps, worker: Worker): void {
  const id = lifeOf(world, worker);
  const capacity = { milliCores: 64_000, memoryMb: 64_000, accelerators: 8 };
  worker.noteContact(world.now, {
    id,
    service: 'render',
    failureDomain: 'hall',
    labels: [],
    capacity,
    draining: false,
    reachable: true,
    leaseLapsed: false,
  });
  learn(world, worker);
  const holder = world.holders.get(worker);
  const { workerSpeed } = world.learner.orderFor(worker, {
    workerSpeed: holder?.of(id, world.now),
  });
  holder?.note(id, workerSpeed, world.now);
}

function learn({ tasks, learner }: SpeedSteps, worker: Worker): void {
  const runs = new Map(tasks.get(worker)?.map(({ run }) => [run.assignment, run]));
  learner.noteContact(worker, (assignment) => runs.get(assignment));
}

function startTask(
  world: SpeedSteps,
  worker: Worker,
  { factor, gang = [] }: { factor?: number; gang?: readonly Worker[] } = {},
): SimulatedTask {
  if (world.job.left === 0) newJob(world);
  const { job } = world;
  job.left -= 1;
  const name = `${job.id}.0.0.${job.left}.${world.drawn}`;
  const long = uniform(world) < LONG_SHARE ? LONG_FACTOR : 1;
  const assignment: Assignment = {
    name,
    jobId: job.id,
    ref: { occurrence: 0, step: 0, index: job.left },
    run: 1,
    runner: lifeOf(world, worker),
    demand: { milliCores: 1, memoryMb: 1, accelerators: 1 },
    change: 0,
    checkpoint: '',
    resumed: false,
    percent: 0,
    firstPercent: 0,
    progressAt: world.now,
    assignedAt: world.now,
    runningAt: world.now,
    unaccountedSince: undefined,
    unaccountedTold: false,
    stopping: undefined,
    isOnProbation: false,
  };
  const workMs =
    ESTIMATE_MS * job.factor * Math.exp(TASK_SPREAD * normal(world)) * (factor ?? long);
  const run = { assignment, queue: QUEUE, step: job.step, gangWorkers: () => gang };
  const task = { run, workMs, doneMs: 0, startedAt: world.now };
  worker.assignments.set(name, assignment);
  world.tasks.set(worker, [...(world.tasks.get(worker) ?? []), task]);
  return task;
}

function newJob(world: SpeedSteps): void {
  const step = testStep({ tasks: TASKS_PER_JOB, estimateMs: ESTIMATE_MS });
  const factor = Math.exp(JOB_SPREAD * normal(world));
  Object.assign(world, { job: { step, factor, left: TASKS_PER_JOB, id: `job-${world.drawn}` } });
  world.durations.recordEstimate(QUEUE, ESTIMATE_MS);
}

function endTask(world: SpeedSteps, worker: Worker, task: SimulatedTask): void {
  const { run, startedAt } = task;
  const actualMs = world.learner.noteEnded(worker, run, world.now - startedAt);
  world.durations.recordRun(QUEUE, { estimateMs: ESTIMATE_MS, actualMs });
  worker.assignments.delete(run.assignment.name);
  const others = world.tasks.get(worker)?.filter((other) => other !== task) ?? [];
  world.tasks.set(worker, others);
}

function work(world: SpeedSteps, worker: Worker, factor: number): void {
  world.tasks.get(worker)?.forEach((task) => {
    Object.assign(task, { doneMs: task.doneMs + TICK_MS / factor });
    const percent = Math.min(100, Math.floor((100 * task.doneMs) / task.workMs));
    Object.assign(task.run.assignment, { percent });
    if (task.doneMs >= task.workMs) endTask(world, worker, task);
  });
}

function runTasks(world: SpeedSteps, lengthMs: number): void {
  const until = world.now + lengthMs;
  while (world.now < until) {
    Object.assign(world, { now: world.now + TICK_MS });
    world.workers.forEach((worker) => {
      work(world, worker, factorOf(world, worker));
      const running = world.tasks.get(worker)?.length ?? 0;
      // Starts are spread over time, as are the workers of a job's tasks.
      if (running < PER_WORKER && uniform(world) < 0.7) startTask(world, worker);
      contact(world, worker);
    });
  }
}

function slowDown(world: SpeedSteps, worker: Worker, factor: number, lengthMs: number): void {
  Object.assign(world, { slowVm: worker.vm, slowFactor: factor });
  runTasks(world, lengthMs);
  Object.assign(world, { slowVm: undefined });
}

function replaceOwner(world: SpeedSteps, afterMs: number): void {
  Object.assign(world, { now: world.now + afterMs });
  newLearner(world);
  const successors = world.workers.map((worker) => {
    const successor = new Worker(worker.vm);
    const holder = world.holders.get(worker) ?? new SpeedHolder();
    const life = world.lives.get(worker) ?? 0;
    world.holders.set(successor, holder);
    world.lives.set(successor, life);
    const id = lifeOf(world, successor);
    world.learner.restore(successor, id, { workerSpeed: holder.of(id, world.now) });
    contact(world, successor);
    return successor;
  });
  Object.assign(world, { workers: successors });
}

function medianSpeed(workers: readonly Worker[]): number {
  const speeds = workers.map(({ speed }) => speed.speed).sort((a, b) => a - b);
  return speeds[Math.floor(speeds.length / 2)] ?? 0;
}

function third({ workers }: SpeedSteps, isSlower: boolean): Worker[] {
  return workers.filter((_, index) => (index % 3 === 0) === isSlower);
}

function setUp(world: SpeedSteps, isOn: boolean): void {
  const workers = Array.from({ length: 30 }, (_, index) => new Worker(`vm-${index + 1}`));
  const holders = new Map(workers.map((worker) => [worker, new SpeedHolder()]));
  const job = { step: testStep(), factor: 1, left: 0, id: '' };
  const state = { now: 1000, drawn: 7, tasks: new Map(), lives: new Map(), slowVm: undefined };
  Object.assign(world, { ...state, workers, holders, job, isOn, slowFactor: 1 });
  newLearner(world);
}

Given(
  '30 workers, of which each third takes 1.3 times as long, and 3% of the tasks take seven times as long',
  function (this: SpeedSteps) {
    setUp(this, true);
  },
);

Given("the speeds of workers aren't learned", function (this: SpeedSteps) {
  setUp(this, false);
});

When('tasks run for {int} s', function (this: SpeedSteps, seconds: number) {
  runTasks(this, seconds * 1000);
});

When(
  'worker {int} takes {int} times as long for {int} s',
  function (this: SpeedSteps, number: number, factor: number, seconds: number) {
    slowDown(this, workerAt(this, number), factor, seconds * 1000);
  },
);

When(
  'a task of worker {int} takes {int} times as long',
  function (this: SpeedSteps, number: number, factor: number) {
    startTask(this, workerAt(this, number), { factor });
    runTasks(this, ESTIMATE_MS * factor);
  },
);

When(
  'two tasks on a new worker take {int} times as long',
  function (this: SpeedSteps, factor: number) {
    runTasks(this, 60_000);
    const worker = new Worker('vm-2');
    this.workers.splice(1, 1, worker);
    [1, 2].forEach(() => startTask(this, worker, { factor }));
    for (let each = 0; each < 10; each++) {
      this.now += TICK_MS;
      work(this, worker, 1);
      contact(this, worker);
    }
  },
);

When(
  'the guard of worker {int} reports no runner for {int} s',
  function (this: SpeedSteps, number: number, seconds: number) {
    const worker = workerAt(this, number);
    const until = this.now + seconds * 1000;
    while (this.now < until) {
      this.now += TICK_MS;
      worker.noteContact(this.now, undefined);
      learn(this, worker);
    }
  },
);

When('the runner of worker {int} restarts', function (this: SpeedSteps, number: number) {
  const worker = workerAt(this, number);
  this.lives.set(worker, (this.lives.get(worker) ?? 0) + 1);
  this.tasks.set(worker, []);
  worker.assignments.clear();
  contact(this, worker);
});

When('the owner is replaced after {int} s', function (this: SpeedSteps, seconds: number) {
  replaceOwner(this, seconds * 1000);
});

When(
  'the owner and the runner of worker {int} are replaced',
  function (this: SpeedSteps, number: number) {
    this.lives.set(workerAt(this, number), 1);
    replaceOwner(this, 2000);
  },
);

When(
  'gangs on workers 1 to 4 run for 60 s, and worker {int} takes {int} times as long',
  function (this: SpeedSteps, number: number, factor: number) {
    const gang = this.workers.slice(0, 4);
    assert.ok(gang.includes(workerAt(this, number)));
    for (let each = 0; each < 120; each++) {
      this.now += TICK_MS;
      gang.forEach((worker) => {
        if (!this.tasks.get(worker)?.length) startTask(this, worker, { gang });
        work(this, worker, factor);
        contact(this, worker);
      });
    }
  },
);

Then(
  /^the median speed of the (slower third|others) is from ([\d.]+) to ([\d.]+)$/,
  function (this: SpeedSteps, which: string, low: string, high: string) {
    const speed = medianSpeed(third(this, which === 'slower third'));
    assert.ok(speed >= Number(low) && speed <= Number(high), `speed ${speed}`);
  },
);

Then(
  'at least {int} in 100 workers are on the right side of {float}',
  function (this: SpeedSteps, share: number, limit: number) {
    const right =
      third(this, true).filter(({ speed }) => speed.speed < limit).length +
      third(this, false).filter(({ speed }) => speed.speed >= limit).length;
    assert.ok(right >= (share / 100) * this.workers.length, `${right} of ${this.workers.length}`);
  },
);

Then('worker {int} counts as slow', function (this: SpeedSteps, number: number) {
  const { speed } = workerAt(this, number).speed;
  assert.ok(speed < 0.5, `speed ${speed}`);
});

Then('all speeds are at least {float}', function (this: SpeedSteps, limit: number) {
  const speeds = this.workers.map(({ speed }) => speed.speed);
  assert.ok(Math.min(...speeds) >= limit, speeds.map((each) => each.toFixed(2)).join(' '));
});

Then('its speed is 1', function (this: SpeedSteps) {
  const { speed, known } = workerAt(this, 2).speed;
  assert.equal(speed, 1, `speed ${speed} of weight ${known.weight}`);
});

Then('all workers have the speed 1', function (this: SpeedSteps) {
  assert.ok(this.workers.every(({ speed }) => speed.speed === 1));
});

Then(
  'a task is expected to take what it takes on a fast worker, with an error of at most {int} in 100',
  function (this: SpeedSteps, tolerance: number) {
    // The mean of the logarithms of the tasks' lengths, with the long ones.
    const usualMs = ESTIMATE_MS * Math.exp(LONG_SHARE * Math.log(LONG_FACTOR));
    const ratio = this.durations.expectedMs(QUEUE, ESTIMATE_MS) / usualMs;
    assert.ok(Math.abs(ratio - 1) <= tolerance / 100, `ratio ${ratio}`);
  },
);

Then('a guard that holds speeds gets them', function (this: SpeedSteps) {
  const held: HeldSpeed & { runner: string } = { runner: '', speed: 100, weight: 0 };
  const order = this.learner.orderFor(workerAt(this, 1), { workerSpeed: held });
  assert.ok((order.workerSpeed?.weight ?? 0) > 0);
});

Then('a guard without a status gets none', function (this: SpeedSteps) {
  assert.deepEqual(this.learner.orderFor(workerAt(this, 1), {}), {});
  assert.deepEqual(this.learner.orderFor(workerAt(this, 1), undefined), {});
});

Then(/^it (counts|doesn't count) as restarting$/, function (this: SpeedSteps, does: string) {
  assert.equal(workerAt(this, 2).speed.isRestarting(this.now), does === 'counts');
});
