import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { quietContext } from '@zincspan/core';
import { RowTables } from '@zincspan/stand-ins';
import { jobRowKey, packProgress, packSubmission } from '../job/job-rows.js';
import { jobState } from '../job/job-view.js';
import { JobProgress } from '../job/progress.js';
import { MemoryRowStore } from '../testing/memory-row-store.support.js';
import { testSubmission } from '../testing/test-jobs.support.js';
import { JobLookup, type FindResult } from './job-lookup.js';

interface JobLookupSteps {
  tables: RowTables;
  store: MemoryRowStore;
  lookup: JobLookup;
  ids: string[];
  /** The job that is looked up first, and the others in the order of their look-ups. */
  results: FindResult[];
}

const TIMEOUT_MS = 1000;

/** The read of the first job ends after those of the others, which take one answer time. */
const SLOW_ANSWER_MS = 100;

const ANSWER_MS = 2;

function find({ lookup }: JobLookupSteps, id: string): Promise<FindResult> {
  return lookup.find(id, { timeoutMs: TIMEOUT_MS });
}

/** Looks the first job up with a slow read, and others during it. */
async function findBesideOthers(world: JobLookupSteps, others: number): Promise<void> {
  const [first = '', ...rest] = world.ids;
  Object.assign(world.store, { answerMs: SLOW_ANSWER_MS });
  const slow = find(world, first);
  Object.assign(world.store, { answerMs: ANSWER_MS });
  const results: FindResult[] = [];
  for (const id of rest.slice(0, others)) results.push(await find(world, id));
  Object.assign(world, { results: [await slow, ...results] });
}

Given(
  'an entry that caches {int} jobs, and {int} jobs in the store of which one has been looked up',
  async function (this: JobLookupSteps, maxCachedJobs: number, jobs: number) {
    this.tables = new RowTables();
    this.store = new MemoryRowStore(this.tables);
    const ctx = quietContext({ id: 'entry-1', role: 'entry' });
    this.lookup = new JobLookup({ ctx, store: this.store, maxCachedJobs });
    this.ids = Array.from({ length: jobs }, (_, i) => `${i + 1}`.padStart(16, '0'));
    const set = this.ids.map((id) => ({
      ...jobRowKey(id, 'submission'),
      value: packSubmission(testSubmission({ id })),
    }));
    this.tables.transact({ expected: [], set, remove: [] });
    await find(this, this.ids[0] ?? '');
  },
);

When(
  'that job is looked up, and {int} others while its read is under way',
  async function (this: JobLookupSteps, others: number) {
    await findBesideOthers(this, others);
  },
);

When(
  'that job ends, and is looked up with {int} others while its read is under way',
  async function (this: JobLookupSteps, others: number) {
    const [first = ''] = this.ids;
    const submission = testSubmission({ id: first });
    const row = { outcome: 'completed' as const, begun: true, opened: 1, occurrences: [] };
    const value = packProgress(new JobProgress(submission, row));
    const set = [{ ...jobRowKey(first, 'progress'), value }];
    this.tables.transact({ expected: [], set, remove: [] });
    await findBesideOthers(this, others);
  },
);

Then('all look-ups find their jobs', function (this: JobLookupSteps) {
  const found = this.results.map((result) => (typeof result === 'string' ? result : result.id));
  assert.deepEqual(found, this.ids.slice(0, found.length));
});

Then('it is reported as completed', function (this: JobLookupSteps) {
  const [result] = this.results;
  assert.ok(result !== undefined && typeof result !== 'string');
  assert.equal(jobState(result), 'completed');
});
