import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { sleep } from '../clock/sleep.js';
import { incarnationId } from '../runner/incarnation-id.js';
import { eventually, crashEntry } from '../testing/test-cell.support.js';
import { sendHeartbeat, reportOf, restartGuard } from '../testing/test-worker.support.js';
import { testStep } from '../testing/test-jobs.support.js';
import {
  cellOf,
  submitJob,
  ownerEntry,
  type CellTestContext,
  type Worker,
} from './cell-test-context.support.js';

const WHOLE_WORKER = { milliCores: 1000, memoryMb: 100, accelerators: 8 };

/** Longest wait for a job to complete, in ms. */
const JOB_TIMEOUT_MS = 10_000;

/** Delay of starts, in ms: by then the runner has restarted, and its guard knows. */
const START_DELAY_MS = 1200;

const HOUR_MS = 3_600_000;

/** Time until a crashed runner is back, in ms. */
const RESTART_DELAY_MS = 400;

/** Heartbeats that a long incarnation has sent. */
const EARLIER_HEARTBEATS = 1000;

function firstWorker(world: CellTestContext): Worker {
  const [worker] = cellOf(world).workers;
  assert.ok(worker);
  return worker;
}

/** Waits until the owner knows the present incarnation of the worker's runner. */
async function waitUntilKnown(world: CellTestContext, worker: Worker): Promise<void> {
  const incarnation = worker.lives.at(-1);
  const knows = (): boolean =>
    cellOf(world)
      .logged('new runner incarnation reported')
      .some(
        ({ vm, runner }) =>
          vm === worker.id && incarnation !== undefined && runner === incarnationId(incarnation),
      );
  // If it never does, the scenario goes on and fails by what callers see.
  await eventually(knows, 2000);
}

async function restartRunner(world: CellTestContext, worker: Worker): Promise<void> {
  cellOf(world).replaceRunner(worker);
  await waitUntilKnown(world, worker);
}

async function waitForLastJob(world: CellTestContext): Promise<void> {
  const job = world.jobs.at(-1) ?? '';
  const isOver = async (): Promise<boolean> => (await cellOf(world).jobState(job)) === 'completed';
  assert.ok(await eventually(isOver, JOB_TIMEOUT_MS));
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

function assertCountedOnce(counts: Map<string, number>): void {
  assert.deepEqual(
    [...counts].filter(([, count]) => count > 1),
    [],
  );
}

Given('runners keep their ids when they restart', function (this: CellTestContext) {
  cellOf(this).reusesRunnerIds = true;
});

When('a job is submitted and completes', async function (this: CellTestContext) {
  await submitJob(this, { spec: { workMs: 100 } });
  await waitForLastJob(this);
});

When('{int} jobs are submitted', async function (this: CellTestContext, count: number) {
  for (let each = 0; each < count; each++) await submitJob(this, { spec: { workMs: 300 } });
});

async function submitGang(world: CellTestContext, tasks: number, spec: object = {}): Promise<void> {
  const steps = [testStep({ tasks, gang: true, demand: WHOLE_WORKER })];
  await submitJob(world, { steps, spec: { gangs: { 0: tasks }, workMs: 300, ...spec } });
}

When(
  'a gang of {int} whole-worker tasks, one of them slower, is submitted and completes',
  { timeout: 15_000 },
  async function (this: CellTestContext, tasks: number) {
    // The quick tasks are at 100% in the last poll that lists them.
    await submitGang(this, tasks, { workMsOf: { [tasks - 1]: 1500 } });
    await waitForLastJob(this);
  },
);

When(
  'a gang of {int} whole-worker tasks, one of them slower, is submitted while a runner forgets its ended runs',
  { timeout: 15_000 },
  async function (this: CellTestContext, tasks: number) {
    const { workers } = cellOf(this);
    await submitGang(this, tasks, { workMsOf: { [tasks - 1]: 1500 } });
    const incarnations = (): Worker['lives'] => workers.flatMap(({ runner }) => runner.life ?? []);
    assert.ok(
      await eventually(() =>
        incarnations().every((incarnation) => incarnation.running().length > 0),
      ),
    );
    const slow = `.${tasks - 1}`;
    const quick = incarnations().find((incarnation) =>
      incarnation.running().every(({ task }) => !task.endsWith(slow)),
    );
    assert.ok(quick);
    quick.forgetsEnds = true;
    await waitForLastJob(this);
    quick.forgetsEnds = false;
  },
);

When('the runners that ran it restart', async function (this: CellTestContext) {
  const used = cellOf(this).workers.filter(({ lives }) => lives.at(-1)?.starts.length);
  await Promise.all(used.map((worker) => restartRunner(this, worker)));
});

When(
  'a gang of {int} whole-worker tasks is submitted and completes',
  { timeout: 15_000 },
  async function (this: CellTestContext, tasks: number) {
    await submitGang(this, tasks);
    await waitForLastJob(this);
  },
);

When(
  'a gang of {int} whole-worker tasks is submitted',
  async function (this: CellTestContext, tasks: number) {
    await submitGang(this, tasks);
  },
);

When('the runner restarts', async function (this: CellTestContext) {
  await restartRunner(this, firstWorker(this));
});

When('each runner restarts', async function (this: CellTestContext) {
  await Promise.all(cellOf(this).workers.map((worker) => restartRunner(this, worker)));
});

When('each runner restarts while the owner is lost', async function (this: CellTestContext) {
  crashEntry(ownerEntry(this));
  await Promise.all(cellOf(this).workers.map((worker) => restartRunner(this, worker)));
});

When('each runner restarts while its guard is lost', async function (this: CellTestContext) {
  cellOf(this).workers.forEach((worker) => restartGuard(worker));
  await Promise.all(cellOf(this).workers.map((worker) => restartRunner(this, worker)));
});

When(
  'the runner restarts with a clock that is an hour behind',
  async function (this: CellTestContext) {
    cellOf(this).runnerClockLagMs = HOUR_MS;
    await restartRunner(this, firstWorker(this));
  },
);

When(
  'the first runner restarts and reports that it is draining',
  async function (this: CellTestContext) {
    const worker = firstWorker(this);
    // Heartbeats of the new incarnation have lower numbers than those of the previous one.
    Object.assign(worker, { beats: EARLIER_HEARTBEATS });
    sendHeartbeat(worker);
    cellOf(this).replaceRunner(worker);
    Object.assign(worker, { remainingMs: 20_000 });
    sendHeartbeat(worker);
    await waitUntilKnown(this, worker);
  },
);

Then('nothing was started on its new incarnation', function (this: CellTestContext) {
  assert.deepEqual(firstWorker(this).lives.at(-1)?.starts, []);
});

When('the runner deregisters and restarts', async function (this: CellTestContext) {
  const worker = firstWorker(this);
  Object.assign(worker, { remainingMs: 100 });
  sendHeartbeat(worker);
  worker.guard.noteDeregistered(worker.lives.at(-1)?.id ?? '');
  await restartRunner(this, worker);
});

When(
  'a late heartbeat of the previous incarnation reports that it is draining',
  async function (this: CellTestContext) {
    const worker = firstWorker(this);
    const earlier = worker.lives.at(-2);
    assert.ok(earlier);
    const report = reportOf({ ...worker, beats: 999 }, earlier);
    worker.guard.noteHeartbeat({ ...report, draining: true, remainingMs: 100 });
    await sleep(200);
  },
);

When(
  'a job is submitted whose starts are in flight while the runners restart',
  async function (this: CellTestContext) {
    const { workers } = cellOf(this);
    workers.forEach(({ runner }) => Object.assign(runner, { lateStartsMs: START_DELAY_MS }));
    await submitJob(this, { spec: { workMs: 1500 } });
    assert.ok(await eventually(() => workers.some(({ runner }) => runner.lateStarts > 0)));
    workers.forEach(({ runner }) => Object.assign(runner, { lateStartsMs: undefined }));
    await Promise.all(workers.map((worker) => restartRunner(this, worker)));
  },
);

When(
  /^gangs and single tasks are submitted for (\d+) s, and every (\d\.\d) s two runners crash and restart$/,
  { timeout: 30_000 },
  async function (this: CellTestContext, seconds: string, intervalSeconds: string) {
    const { workers } = cellOf(this);
    const rounds = Number(seconds) / Number(intervalSeconds);
    for (let round = 0; round < rounds; round++) {
      await submitGang(this, 2 + (round % 2), { workMs: 500, workMsOf: { 0: 900 } });
      await submitJob(this, { steps: [testStep({ tasks: 3 })], spec: { workMs: 700 } });
      await sleep(Number(intervalSeconds) * 1000);
      [round, round + 3].forEach((each) => {
        const worker = workers[each % workers.length];
        if (worker !== undefined) cellOf(this).crashRunner(worker, RESTART_DELAY_MS);
      });
    }
  },
);

When(
  'a job that always fails is submitted, whose first start reaches a new incarnation before its first heartbeat',
  { timeout: 15_000 },
  async function (this: CellTestContext) {
    const worker = firstWorker(this);
    const { runner } = worker;
    worker.isHeartbeatMuted = true;
    runner.dark = true;
    await submitJob(this, { spec: { failRuns: 99 } });
    assert.ok(await eventually(() => runner.unreachableStarts > 0));
    cellOf(this).replaceRunner(worker);
    runner.dark = false;
    const reaches = (): boolean => (worker.lives.at(-1)?.starts.length ?? 0) > 0;
    assert.ok(await eventually(reaches));
    // Polls for the previous incarnation reach the new one until its heartbeat arrives.
    await sleep(1500);
    worker.isHeartbeatMuted = false;
  },
);

Then('its task was started twice', function (this: CellTestContext) {
  assert.equal(cellOf(this).starts(this.jobs.at(-1) ?? '').length, 2);
});

When(
  'all entries and guards are lost, and all runners restart',
  { timeout: 20_000 },
  async function (this: CellTestContext) {
    const cell = cellOf(this);
    cell.entries.splice(0).forEach((entry) => crashEntry(entry));
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
  assertCountedOnce(countStarts(this, ({ task }) => task));
});

Then('each run was started once', function (this: CellTestContext) {
  assertCountedOnce(countStarts(this, ({ task, run }) => `${task}#${run}`));
});

Then('no two runs of a task worked at the same time', function (this: CellTestContext) {
  assert.deepEqual(cellOf(this).overlappingRuns, []);
});
