import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { quietContext } from '@zincspan/core';
import { RowTables } from '@zincspan/stand-ins';
import { sleep } from '../clock/sleep.js';
import { jobRowKey, packSubmission, unpackProgress } from '../job/job-rows.js';
import { eventually } from '../testing/test-cell.support.js';
import { noEvacuations } from '../testing/test-evacuations.support.js';
import { testSubmission, testOwnedJob } from '../testing/test-jobs.support.js';
import { MemoryRowStore } from '../testing/memory-row-store.support.js';
import type { OwnedJob } from './owned-job.js';
import { OWNER_ROW_KEY } from './owner-row.js';
import { ProgressWriter } from './progress-writer.js';

interface WriterScenario {
  tables: RowTables;
  store: MemoryRowStore;
  writer: ProgressWriter;
  job: OwnedJob;
  removed: OwnedJob[];
  deposed: string[];
}

const SUBMISSION = testSubmission({});
const PROGRESS_KEY = jobRowKey(SUBMISSION.id, 'progress');
const CONFIG_KEY = { table: 'operator', part: '', key: 'configuration' };
const FOREIGN_PROGRESS = Buffer.from('of another writer');

function newJob(submissionVersion: number): OwnedJob {
  return testOwnedJob(SUBMISSION, { submissionVersion });
}

function putRow(tables: RowTables, key: typeof PROGRESS_KEY, value: Buffer): number {
  const result = tables.transact({ expected: [], set: [{ ...key, value }], remove: [] });
  assert.equal(result.outcome, 'done');
  return tables.version;
}

function writeSubmission(world: WriterScenario): void {
  const key = jobRowKey(SUBMISSION.id, 'submission');
  Object.assign(world, { job: newJob(putRow(world.tables, key, packSubmission(SUBMISSION))) });
}

function startRun({ job, writer }: WriterScenario): void {
  job.progress.startRuns([
    { ref: { occurrence: 0, step: 0, index: 0 }, vm: 'worker-1', runner: 'runner-1' },
  ]);
  job.addChange();
  writer.markDirty(job);
}

Given("the progress writer of a cell's owner", function (this: WriterScenario) {
  this.tables = new RowTables();
  this.store = new MemoryRowStore(this.tables);
  this.removed = [];
  this.deposed = [];
  this.writer = new ProgressWriter({
    ctx: quietContext({ id: 'entry-1', role: 'entry' }),
    transact: (tx, options) => this.store.transact(tx, options),
    ownerVersion: putRow(this.tables, OWNER_ROW_KEY, Buffer.from('owner')),
    evacuations: noEvacuations(),
    configKey: CONFIG_KEY,
    events: {
      onEvacuationConflict: () => undefined,
      onDurable: () => undefined,
      onAccepted: () => undefined,
      onCancelled: () => undefined,
      onRemoved: (job) => this.removed.push(job),
      onOwnershipLost: (reason) => this.deposed.push(reason),
    },
  });
});

When('it writes the progress of a job without rows', function (this: WriterScenario) {
  this.job = newJob(1);
  startRun(this);
});

When(
  "the answer to a write of a job's progress is lost and the job goes on",
  async function (this: WriterScenario) {
    writeSubmission(this);
    this.store.fault = 'lost';
    startRun(this);
    assert.ok(await eventually(() => this.tables.get(PROGRESS_KEY) !== undefined));
    startRun(this);
    this.store.fault = 'none';
  },
);

When("another writer has written a job's progress", function (this: WriterScenario) {
  writeSubmission(this);
  putRow(this.tables, PROGRESS_KEY, FOREIGN_PROGRESS);
  startRun(this);
});

Then('the job is dropped and nothing is written', async function (this: WriterScenario) {
  assert.ok(await eventually(() => this.removed.includes(this.job)));
  assert.equal(this.tables.get(PROGRESS_KEY), undefined);
  assert.deepEqual(this.deposed, []);
});

Then('the newest progress is in the store', async function (this: WriterScenario) {
  assert.ok(await eventually(() => !this.job.isDirty));
  const row = this.tables.get(PROGRESS_KEY);
  assert.ok(row);
  const progress = unpackProgress(SUBMISSION, row.value);
  assert.equal(progress.findTask({ occurrence: 0, step: 0, index: 0 })?.run, 2);
  assert.deepEqual(this.deposed, []);
});

Then("the term ends and the other writer's progress stays", async function (this: WriterScenario) {
  assert.ok(await eventually(() => this.deposed.length === 1));
  await sleep(50);
  assert.deepEqual(this.tables.get(PROGRESS_KEY)?.value, FOREIGN_PROGRESS);
});
