import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { sleep } from '../clock/sleep.js';
import {
  TestCell,
  jobCall,
  eventually,
  submitToEntry,
  crashEntry,
  crashEntryAtProgressWrite,
} from '../testing/test-cell.support.js';
import { restartGuard, sendHeartbeat } from '../testing/test-worker.support.js';
import { TEST_QUEUE, testStep, testSubmission } from '../testing/test-jobs.support.js';
import { OWNER_ROW_KEY } from './owner-row.js';
import { entryRowKey } from '../entry/entry-row.js';
import { jobRowKey, packProgress } from '../job/job-rows.js';
import { JobProgress } from '../job/progress.js';
import {
  cellOf,
  submitJob,
  firstJob,
  nonOwnerEntry,
  ownerEntry,
  runningWorker,
  type CellTestContext,
} from './cell-test-context.support.js';

Given(
  "the store applies what an entry writes but doesn't answer",
  function (this: CellTestContext) {
    nonOwnerEntry(this).store.fault = 'lost';
  },
);

Given(
  /^runners that list (\d+) end at a time$/,
  function (this: CellTestContext, maxListedEnds: string) {
    cellOf(this).workers.forEach(({ runner: { life } }) => {
      assert.ok(life);
      Object.assign(life, { maxListedEnds: Number(maxListedEnds) });
    });
  },
);

Given('the owner stops the moment it has written a run', function (this: CellTestContext) {
  crashEntryAtProgressWrite(ownerEntry(this));
});

Given(
  /^the first worker carries out starts 2.5 s late and doesn't answer$/,
  function (this: CellTestContext) {
    const [first] = cellOf(this).workers;
    assert.ok(first);
    first.runner.lateStartsMs = 2500;
  },
);

Given('an entry whose reads of the configuration fail', function (this: CellTestContext) {
  const { store } = nonOwnerEntry(this);
  const originalRead = store.read.bind(store);
  store.read = async (range, options) =>
    range.table === 'operator'
      ? { outcome: 'failed', detail: 'frozen' }
      : originalRead(range, options);
});

Given('an owner whose feed is stalled', async function (this: CellTestContext) {
  // Entries look for each other every 2 s; by then the feed has delivered what was pending.
  await sleep(2500);
  ownerEntry(this).store.feedStandsStill = true;
  await sleep(1600);
});

Given('an entry whose feed is stalled', async function (this: CellTestContext) {
  nonOwnerEntry(this).store.feedStandsStill = true;
  // By then the feed has delivered what was pending.
  await sleep(1600);
});

When('the feed of that entry resumes', async function (this: CellTestContext) {
  cellOf(this).entries.forEach(({ store }) => Object.assign(store, { feedStandsStill: false }));
  // The feed delivers the job within 0.2 s; by then a second run would have been ordered, and refused once.
  await sleep(1500);
});

When('another writer stores its progress as failed', async function (this: CellTestContext) {
  const { tables } = cellOf(this);
  const key = jobRowKey(firstJob(this), 'progress');
  const row = { outcome: 'failed' as const, begun: true, opened: 1, occurrences: [] };
  const value = packProgress(new JobProgress(testSubmission({}), row));
  assert.equal(
    tables.transact({ expected: [], set: [{ ...key, value }], remove: [] }).outcome,
    'done',
  );
  // The run ends after 2 s, and the owner writes its end.
  await sleep(4000);
});

Then(
  /^its stored progress is (completed|failed)$/,
  async function (this: CellTestContext, outcome: string) {
    const hasOutcome = (): boolean =>
      cellOf(this).storedProgress(firstJob(this))?.outcome === outcome;
    assert.ok(await eventually(hasOutcome));
  },
);

When(
  'the runner that runs it announces that it ends in {int} ms',
  function (this: CellTestContext, remainingMs: number) {
    const worker = runningWorker(this);
    worker.remainingMs = remainingMs;
    sendHeartbeat(worker);
  },
);

Given('a cell that keeps ended jobs for 1 s', async function (this: CellTestContext) {
  const cell = cellOf(this);
  await cell.stop();
  const fresh = new TestCell();
  fresh.keepEndedMs = 1000;
  this.cell = fresh;
  await fresh.start(2, 1);
});

Given('a queue that needs advice, without an advisor', async function (this: CellTestContext) {
  const cell = cellOf(this);
  cell.configure({ queues: [{ ...TEST_QUEUE, needsAdvice: true }] });
  const isRefused = async () =>
    (await submitToEntry(nonOwnerEntry(this), cell.newJobId())) === 'not-accepted';
  assert.ok(await eventually(isRefused, 2000));
});

Given('an entry that has been cut from the store for 2 s', async function (this: CellTestContext) {
  nonOwnerEntry(this).store.fault = 'silent';
  await sleep(2000);
});

Given(
  'every second answer to a write of the owner is lost for 4 s',
  { timeout: 10_000 },
  async function (this: CellTestContext) {
    const cell = cellOf(this);
    const { store } = ownerEntry(this);
    this.ownerRow = cell.tables.get(OWNER_ROW_KEY)?.value;
    const transact = store.transact.bind(store);
    let writes = 0;
    store.transact = async (tx, options) => {
      writes += 1;
      const isLost = writes % 2 === 0;
      const result = await transact(tx, options);
      if (!isLost) return result;
      await sleep(options.timeoutMs);
      return { outcome: 'unknown', detail: 'lost' };
    };
    await sleep(4000);
  },
);

Then('the same entry owns the cell in the same term', function (this: CellTestContext) {
  assert.ok(this.ownerRow);
  assert.deepEqual(cellOf(this).tables.get(OWNER_ROW_KEY)?.value, this.ownerRow);
});

Then(
  'that entry returns its state, and counts the call as answered',
  async function (this: CellTestContext) {
    const cutOff = cellOf(this).entries.find(({ store }) => store.fault !== 'none');
    assert.ok(cutOff);
    const { outcome } = await cutOff.app.jobApi.state(jobCall(firstJob(this)));
    assert.equal(outcome, 'state');
    assert.equal(cutOff.metrics.counters.get('call.state.state'), 1);
  },
);

Given('an unreadable row of an entry', function (this: CellTestContext) {
  const row = { ...entryRowKey('entry-0'), value: Buffer.from('of another writer') };
  const { outcome } = cellOf(this).tables.transact({ expected: [], set: [row], remove: [] });
  assert.equal(outcome, 'done');
});

When(
  'an entry joins and is cut from the store 3 s later',
  { timeout: 10_000 },
  async function (this: CellTestContext) {
    const entry = await cellOf(this).addEntry();
    await sleep(3000);
    entry.store.fault = 'silent';
  },
);

Then('a job submitted there is accepted', async function (this: CellTestContext) {
  const cell = cellOf(this);
  const cutOff = cell.entries.find(({ store }) => store.fault !== 'none');
  assert.ok(cutOff);
  assert.equal(await submitToEntry(cutOff, cell.newJobId()), 'accepted');
});

Given('the answers to forwarded calls are lost', function (this: CellTestContext) {
  cellOf(this).entries.forEach(({ app: { jobApi: calls } }) => {
    const serve = calls.serveForwarded.bind(calls);
    const serveAndFail = async (call: Parameters<typeof serve>[0]): ReturnType<typeof serve> => {
      await serve(call);
      throw new Error('the answer is lost');
    };
    Object.assign(calls, { serveForwarded: serveAndFail });
  });
});

When(
  'a job is submitted to that entry, and its outcome is {string}',
  async function (this: CellTestContext, expected: string) {
    const cell = cellOf(this);
    const cutOff = cell.entries.find(({ store }) => store.fault !== 'none');
    assert.ok(cutOff);
    const id = cell.newJobId();
    this.jobs.push(id);
    assert.equal(await submitToEntry(cutOff, id), expected);
  },
);

Given(
  'entries that have all been cut from the store for 2 s',
  async function (this: CellTestContext) {
    cellOf(this).entries.forEach(({ store }) => Object.assign(store, { fault: 'silent' }));
    await sleep(2000);
  },
);

When(
  'all entries are lost and the runner that runs it is replaced',
  async function (this: CellTestContext) {
    const cell = cellOf(this);
    const lost = cell.entries.splice(0);
    lost.forEach(({ store }) => Object.assign(store, { fault: 'silent' }));
    await Promise.all(lost.map(({ app }) => app.stop()));
    cell.replaceRunner(runningWorker(this));
    await cell.addEntry();
  },
);

When(
  'a runner is lost for good, and a job with a task for each worker is submitted at once',
  async function (this: CellTestContext) {
    const { workers } = cellOf(this);
    const [first] = workers;
    assert.ok(first !== undefined);
    first.runner.life = undefined;
    const demand = { milliCores: 1000, memoryMb: 100, accelerators: 8 };
    const steps = [testStep({ tasks: workers.length, demand })];
    await submitJob(this, { steps, spec: { workMs: 300 } });
  },
);

When('the owner is lost', function (this: CellTestContext) {
  crashEntry(ownerEntry(this));
});

When('the owner is cut from the store', function (this: CellTestContext) {
  ownerEntry(this).store.fault = 'silent';
});

When(
  /^the store answers nobody for 2.5 s(, and all guards restart at the end of it)?$/,
  async function (this: CellTestContext, guardsRestart: string | null) {
    const cell = cellOf(this);
    const stores = [...cell.entries, ...cell.workers].map(({ store }) => store);
    stores.forEach((store) => Object.assign(store, { fault: 'silent' }));
    await sleep(2500);
    if (guardsRestart !== null) cell.workers.forEach((worker) => restartGuard(worker));
    stores.forEach((store) => Object.assign(store, { fault: 'none' }));
  },
);

When('the runner that runs it crashes and restarts', function (this: CellTestContext) {
  cellOf(this).replaceRunner(runningWorker(this));
});

When('the worker that runs it is unreachable', function (this: CellTestContext) {
  const { guard, store } = runningWorker(this);
  store.fault = 'silent';
  guard.stop();
});

When(
  'a job is submitted to that entry, and its key is removed once the job is stored',
  async function (this: CellTestContext) {
    const cell = cellOf(this);
    const id = cell.newJobId();
    const answer = submitToEntry(nonOwnerEntry(this), id);
    const key = jobRowKey(id, 'submission');
    assert.ok(await eventually(() => cell.tables.get(key) !== undefined));
    cell.configure({ accounts: [] });
    this.outcome = await answer;
  },
);

Then("the client isn't told that the job was rejected", function (this: CellTestContext) {
  assert.match(this.outcome ?? '', /^(accepted|unknown)$/);
});

When('the operator removes the key', function (this: CellTestContext) {
  cellOf(this).configure({ accounts: [] });
});

When(
  'the store drops its history repeatedly while jobs are submitted',
  async function (this: CellTestContext) {
    const cell = cellOf(this);
    for (let each = 0; each < 6; each++) {
      cell.tables.forgetHistory();
      await submitJob(this, { spec: { workMs: 50 } });
      cell.tables.forgetHistory();
    }
  },
);
