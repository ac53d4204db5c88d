import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { sleep } from '../clock/sleep.js';
import { jobRowKey } from '../job/job-rows.js';
import {
  cellOf,
  submitJob,
  firstJob,
  nonOwnerEntry,
  ownerEntry,
  type CellTestContext,
} from '../owner/cell-test-context.support.js';
import { OWNER_ROW_KEY } from '../owner/owner-row.js';
import { crashEntry, submitToEntry } from '../testing/test-cell.support.js';
import { sameRow, type Transaction } from '../store/row-store.js';

interface SlowStoreWorld extends CellTestContext {
  /** Submission time of each job, and how long its acceptance took, in ms. */
  submissions: Map<string, { at: number; tookMs: number }>;
  /** All transactions that were requested. */
  transactions: Transaction[];
}

/** Time within which the entries detect the slow store by their reads, in ms. */
const DETECTION_MS = 1500;

Given(
  'a store that answers after {int} ms and executes one transaction at a time, each in {int} ms',
  async function (this: SlowStoreWorld, answerMs: number, turnMs: number) {
    const cell = cellOf(this);
    this.submissions = new Map();
    this.transactions = [];
    this.ownerRow = cell.tables.get(OWNER_ROW_KEY)?.value;
    const stores = [...cell.entries, ...cell.workers].map(({ store }) => store);
    stores.forEach((store) => {
      const transact = store.transact.bind(store);
      const watched: typeof transact = (tx, options) => {
        this.transactions.push(tx);
        return transact(tx, options);
      };
      Object.assign(store, { answerMs, turnMs, transact: watched });
    });
    await sleep(DETECTION_MS);
  },
);

When(
  '{int} jobs are submitted {int} ms apart, at different entries',
  async function (this: SlowStoreWorld, count: number, apartMs: number) {
    const { entries } = cellOf(this);
    const accepted = Array.from({ length: count }, async (_, index) => {
      await sleep(index * apartMs);
      const entry = entries[index % entries.length];
      assert.ok(entry);
      const id = cellOf(this).newJobId();
      this.jobs.push(id);
      const at = performance.now();
      assert.equal(await submitToEntry(entry, id, { spec: { workMs: 100 } }), 'accepted');
      this.submissions.set(id, { at, tookMs: performance.now() - at });
    });
    await Promise.all(accepted);
  },
);

When('the same job is submitted at all entries at once', async function (this: SlowStoreWorld) {
  const { entries } = cellOf(this);
  const id = cellOf(this).newJobId();
  this.jobs.push(id);
  const outcomes = await Promise.all(entries.map((entry) => submitToEntry(entry, id)));
  assert.deepEqual(
    outcomes,
    entries.map(() => 'accepted'),
  );
});

When(
  /^the owner (is cut from the store|is lost) and a job is submitted at another entry$/,
  async function (this: SlowStoreWorld, what: string) {
    const owner = ownerEntry(this);
    const other = nonOwnerEntry(this);
    if (what === 'is cut from the store') owner.store.fault = 'silent';
    if (what === 'is lost') crashEntry(owner);
    const id = cellOf(this).newJobId();
    this.jobs.push(id);
    assert.equal(await submitToEntry(other, id, { spec: { workMs: 100 } }), 'accepted');
  },
);

When('nothing is submitted for {int} s', async function (this: SlowStoreWorld, seconds: number) {
  this.transactions = [];
  await sleep(seconds * 1000);
});

When('a job is submitted', async function (this: SlowStoreWorld) {
  await submitJob(this, { spec: { workMs: 100 } });
});

When('the store is as fast as usual for {int} s', async function (this: SlowStoreWorld, s: number) {
  const cell = cellOf(this);
  const stores = [...cell.entries, ...cell.workers].map(({ store }) => store);
  stores.forEach((store) => Object.assign(store, { answerMs: 2, turnMs: 0 }));
  await sleep(s * 1000);
});

Then('each was accepted within {int} ms', function (this: SlowStoreWorld, withinMs: number) {
  this.submissions.forEach(({ tookMs }) => assert.ok(tookMs < withinMs, `took ${tookMs} ms`));
});

Then('each started within {int} ms', function (this: SlowStoreWorld, withinMs: number) {
  this.submissions.forEach(({ at }, id) => {
    const [first] = cellOf(this).starts(id);
    assert.ok(first !== undefined && first.at - at < withinMs, `began after ${first?.at} - ${at}`);
  });
});

Then(
  'no more than {int} transactions were requested in this time',
  function (this: SlowStoreWorld, most: number) {
    assert.ok(this.transactions.length <= most, `${this.transactions.length} transactions`);
  },
);

Then('the cell has the same owner as before', function (this: SlowStoreWorld) {
  assert.deepEqual(cellOf(this).tables.get(OWNER_ROW_KEY)?.value, this.ownerRow);
});

Then('the store was asked to accept it once', function (this: SlowStoreWorld) {
  const submission = jobRowKey(firstJob(this), 'submission');
  const acceptances = this.transactions.filter(({ set }) =>
    set.some((row) => sameRow(row, submission)),
  );
  assert.equal(acceptances.length, 1);
});
