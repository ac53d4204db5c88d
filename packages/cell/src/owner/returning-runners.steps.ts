import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { pause } from '../clock/pause.js';
import { lifeName } from '../runner/life-name.js';
import { eventually, loseEntry } from '../testing/cell-world.support.js';
import { sendHeartbeat, reportOf, restartGuard } from '../testing/worker-vm.support.js';
import { testStep } from '../testing/test-jobs.support.js';
import {
  cellOf,
  submitJob,
  ownerEntry,
  type CellTestContext,
  type Worker,
} from './cell-test-context.support.js';

const WHOLE_WORKER = { milliCores: 1000, memoryMb: 100, accelerators: 8 };

/** A gang ends for good within this time, in ms. */
const GANG_WITHIN_MS = 10_000;

/** A start is carried out this late, in ms: the runner has returned by then, and its guard knows. */
const LATE_MS = 1200;

const HOUR_MS = 3_600_000;

/** A runner that crashed is back after this time, in ms. */
const AWAY_MS = 400;

/** Heartbeats of a life that was long. */
const LONG_LIFE_BEATS = 1000;

function firstWorker(world: CellTestContext): Worker {
  const [worker] = cellOf(world).workers;
  assert.ok(worker);
  return worker;
}

/** The owner knows this birth of the worker's runner. */
async function isKnown(world: CellTestContext, worker: Worker): Promise<void> {
  const life = worker.lives.at(-1);
  const knows = (): boolean =>
    cellOf(world)
      .logged('new runner incarnation reported')
      .some(
        ({ vm, runner }) => vm === worker.id && life !== undefined && runner === lifeName(life),
      );
  // Where it never is, the scenario goes on and fails by what callers see.
  await eventually(knows, 2000);
}

async function returns(world: CellTestContext, worker: Worker): Promise<void> {
  cellOf(world).replaceRunner(worker);
  await isKnown(world, worker);
}

async function lastCompletes(world: CellTestContext): Promise<void> {
  const job = world.jobs.at(-1) ?? '';
  const isOver = async (): Promise<boolean> => (await cellOf(world).state(job)) === 'completed';
  assert.ok(await eventually(isOver, GANG_WITHIN_MS));
}

/** Starts of all jobs, as `<task>` or `<task>#<run>`, and how often each came. */
function countStarts(
  world: CellTestContext,
  name: (start: { task: string; run: number }) => string,
) {
  const counts = new Map<string, number>();
  world.jobs
    .flatMap((job) => cellOf(world).starts(job))
    .map(name)
    .forEach((key) => counts.set(key, (counts.get(key) ?? 0) + 1));
  return counts;
}

function assertOnce(counts: Map<string, number>): void {
  assert.deepEqual(
    [...counts].filter(([, count]) => count > 1),
    [],
  );
}

Given('runners keep their ids when they start again', function (this: CellTestContext) {
  cellOf(this).keepsIds = true;
});

When('a job is handed in and completes', async function (this: CellTestContext) {
  await submitJob(this, { spec: { workMs: 100 } });
  await lastCompletes(this);
});

When('{int} jobs are handed in', async function (this: CellTestContext, count: number) {
  for (let each = 0; each < count; each++) await submitJob(this, { spec: { workMs: 300 } });
});

async function handInGang(world: CellTestContext, tasks: number, spec: object = {}): Promise<void> {
  const steps = [testStep({ tasks, gang: true, demand: WHOLE_WORKER })];
  await submitJob(world, { steps, spec: { gangs: { 0: tasks }, workMs: 300, ...spec } });
}

When(
  'a gang of {int} tasks of whole workers, one of them slower, is handed in and completes',
  { timeout: 15_000 },
  async function (this: CellTestContext, tasks: number) {
    // The quick ones are at 100% when the last look sees them.
    await handInGang(this, tasks, { workMsOf: { [tasks - 1]: 1500 } });
    await lastCompletes(this);
  },
);

When(
  'a gang of {int} tasks of whole workers, one of them slower, is handed in while a runner forgets its ends',
  { timeout: 15_000 },
  async function (this: CellTestContext, tasks: number) {
    const { workers } = cellOf(this);
    await handInGang(this, tasks, { workMsOf: { [tasks - 1]: 1500 } });
    const lives = (): Worker['lives'] => workers.flatMap(({ runner }) => runner.life ?? []);
    assert.ok(await eventually(() => lives().every((life) => life.running().length > 0)));
    const slow = `.${tasks - 1}`;
    const quick = lives().find((life) => life.running().every(({ task }) => !task.endsWith(slow)));
    assert.ok(quick);
    quick.forgetsEnds = true;
    await lastCompletes(this);
    quick.forgetsEnds = false;
  },
);

When('the runners that it was on return', async function (this: CellTestContext) {
  const used = cellOf(this).workers.filter(({ lives }) => lives.at(-1)?.starts.length);
  await Promise.all(used.map((worker) => returns(this, worker)));
});

When(
  'a gang of {int} tasks of whole workers is handed in and completes',
  { timeout: 15_000 },
  async function (this: CellTestContext, tasks: number) {
    await handInGang(this, tasks);
    await lastCompletes(this);
  },
);

When(
  'a gang of {int} tasks of whole workers is handed in',
  async function (this: CellTestContext, tasks: number) {
    await handInGang(this, tasks);
  },
);

When('the runner returns', async function (this: CellTestContext) {
  await returns(this, firstWorker(this));
});

When('each runner returns', async function (this: CellTestContext) {
  await Promise.all(cellOf(this).workers.map((worker) => returns(this, worker)));
});

When('each runner returns while the owner is lost', async function (this: CellTestContext) {
  loseEntry(ownerEntry(this));
  await Promise.all(cellOf(this).workers.map((worker) => returns(this, worker)));
});

When('each runner returns while the guard of it is lost', async function (this: CellTestContext) {
  cellOf(this).workers.forEach((worker) => restartGuard(worker));
  await Promise.all(cellOf(this).workers.map((worker) => returns(this, worker)));
});

When(
  'the runner returns with a clock that is an hour behind',
  async function (this: CellTestContext) {
    cellOf(this).runnersBehindMs = HOUR_MS;
    await returns(this, firstWorker(this));
  },
);

When('the first runner returns and says that it leaves', async function (this: CellTestContext) {
  const worker = firstWorker(this);
  // Heartbeats of the new life have lower numbers than those before.
  Object.assign(worker, { beats: LONG_LIFE_BEATS });
  sendHeartbeat(worker);
  cellOf(this).replaceRunner(worker);
  Object.assign(worker, { remainingMs: 20_000 });
  sendHeartbeat(worker);
  await isKnown(this, worker);
});

Then('nothing was started on its new life', function (this: CellTestContext) {
  assert.deepEqual(firstWorker(this).lives.at(-1)?.starts, []);
});

When('the runner leaves and returns', async function (this: CellTestContext) {
  const worker = firstWorker(this);
  Object.assign(worker, { remainingMs: 100 });
  sendHeartbeat(worker);
  worker.guard.noteLeave(worker.lives.at(-1)?.id ?? '');
  await returns(this, worker);
});

When(
  'a heartbeat of the life before comes, that says it leaves',
  async function (this: CellTestContext) {
    const worker = firstWorker(this);
    const earlier = worker.lives.at(-2);
    assert.ok(earlier);
    const report = reportOf({ ...worker, beats: 999 }, earlier);
    worker.guard.noteReport({ ...report, draining: true, remainingMs: 100 });
    await pause(200);
  },
);

When(
  'a job is handed in whose starts are on their way while the runners return',
  async function (this: CellTestContext) {
    const { workers } = cellOf(this);
    workers.forEach(({ runner }) => Object.assign(runner, { lateStartsMs: LATE_MS }));
    await submitJob(this, { spec: { workMs: 1500 } });
    assert.ok(await eventually(() => workers.some(({ runner }) => runner.lateCalls > 0)));
    workers.forEach(({ runner }) => Object.assign(runner, { lateStartsMs: undefined }));
    await Promise.all(workers.map((worker) => returns(this, worker)));
  },
);

When(
  /^gangs and single tasks are handed in for (\d+) s, and each (\d\.\d) s two runners crash and return$/,
  { timeout: 30_000 },
  async function (this: CellTestContext, seconds: string, everySeconds: string) {
    const { workers } = cellOf(this);
    const rounds = Number(seconds) / Number(everySeconds);
    for (let round = 0; round < rounds; round++) {
      await handInGang(this, 2 + (round % 2), { workMs: 500, workMsOf: { 0: 900 } });
      await submitJob(this, { steps: [testStep({ tasks: 3 })], spec: { workMs: 700 } });
      await pause(Number(everySeconds) * 1000);
      [round, round + 3].forEach((each) => {
        const worker = workers[each % workers.length];
        if (worker !== undefined) cellOf(this).crashRunner(worker, AWAY_MS);
      });
    }
  },
);

When(
  'a job that always fails is handed in, whose first start reaches a new life before that is known',
  { timeout: 15_000 },
  async function (this: CellTestContext) {
    const worker = firstWorker(this);
    const { runner } = worker;
    worker.mute = true;
    runner.dark = true;
    await submitJob(this, { spec: { failRuns: 99 } });
    assert.ok(await eventually(() => runner.startsWithoutAnswer > 0));
    cellOf(this).replaceRunner(worker);
    runner.dark = false;
    const reaches = (): boolean => (worker.lives.at(-1)?.starts.length ?? 0) > 0;
    assert.ok(await eventually(reaches));
    // Looks of the life before come to the new one until its heartbeat does.
    await pause(1500);
    worker.mute = false;
  },
);

Then('its task was started twice', function (this: CellTestContext) {
  assert.equal(cellOf(this).starts(this.jobs.at(-1) ?? '').length, 2);
});

When(
  'all entries and guards are lost, and all runners return',
  { timeout: 20_000 },
  async function (this: CellTestContext) {
    const cell = cellOf(this);
    cell.entries.splice(0).forEach((entry) => loseEntry(entry));
    cell.workers.forEach((worker) => {
      cell.replaceRunner(worker);
      restartGuard(worker);
    });
    for (let each = 0; each < 3; each++) await cell.addEntry();
    assert.ok(await eventually(() => cell.entries.every(({ app }) => app.isReady)));
  },
);

Then('no end was skipped', function (this: CellTestContext) {
  assert.deepEqual(cellOf(this).logged('skipped the end of a run that is still assigned'), []);
});

Then('each task was started once', function (this: CellTestContext) {
  assertOnce(countStarts(this, ({ task }) => task));
});

Then('each run was started once', function (this: CellTestContext) {
  assertOnce(countStarts(this, ({ task, run }) => `${task}#${run}`));
});

Then('no two runs of a task worked at the same time', function (this: CellTestContext) {
  assert.deepEqual(cellOf(this).overlaps, []);
});
