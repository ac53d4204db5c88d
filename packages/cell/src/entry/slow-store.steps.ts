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
import { crashEntry, submitJob } from '../testing/test-cell.support.js';
import { sameRow, type Transaction } from '../store/row-store.js';

interface SlowSteps extends CellTestContext {
  /** When each job was handed in, and how long its acceptance took, in ms. */
  handedIn: Map<string, { at: number; tookMs: number }>;
  /** All transactions that were asked for. */
  transactions: Transaction[];
}

/** Reads know of the slow store by then, in ms. */
const NOTICED_MS = 1500;

Given(
  'a store that answers after {int} ms and carries out one transaction after the other, each in {int} ms',
  async function (this: SlowSteps, answerMs: number, turnMs: number) {
    const cell = cellOf(this);
    this.handedIn = new Map();
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
    await sleep(NOTICED_MS);
  },
);

When(
  '{int} jobs are handed in {int} ms apart, at different entries',
  async function (this: SlowSteps, count: number, apartMs: number) {
    const { entries } = cellOf(this);
    const accepted = Array.from({ length: count }, async (_, index) => {
      await sleep(index * apartMs);
      const entry = entries[index % entries.length];
      assert.ok(entry);
      const id = cellOf(this).newJobId();
      this.jobs.push(id);
      const at = performance.now();
      assert.equal(await submitJob(entry, id, { spec: { workMs: 100 } }), 'accepted');
      this.handedIn.set(id, { at, tookMs: performance.now() - at });
    });
    await Promise.all(accepted);
  },
);

When('the same job is handed in at all entries at once', async function (this: SlowSteps) {
  const { entries } = cellOf(this);
  const id = cellOf(this).newJobId();
  this.jobs.push(id);
  const outcomes = await Promise.all(entries.map((entry) => submitJob(entry, id)));
  assert.deepEqual(
    outcomes,
    entries.map(() => 'accepted'),
  );
});

When(
  /^the owner (is cut from the store|is lost) and a job is handed in at another entry$/,
  async function (this: SlowSteps, what: string) {
    const owner = ownerEntry(this);
    const other = nonOwnerEntry(this);
    if (what === 'is cut from the store') owner.store.fault = 'silent';
    if (what === 'is lost') crashEntry(owner);
    const id = cellOf(this).newJobId();
    this.jobs.push(id);
    assert.equal(await submitJob(other, id, { spec: { workMs: 100 } }), 'accepted');
  },
);

When('nothing is handed in for {int} s', async function (this: SlowSteps, seconds: number) {
  this.transactions = [];
  await sleep(seconds * 1000);
});

When('a job is handed in', async function (this: SlowSteps) {
  await submitJob(this, { spec: { workMs: 100 } });
});

When('the store is as fast as usual for {int} s', async function (this: SlowSteps, s: number) {
  const cell = cellOf(this);
  const stores = [...cell.entries, ...cell.workers].map(({ store }) => store);
  stores.forEach((store) => Object.assign(store, { answerMs: 2, turnMs: 0 }));
  await sleep(s * 1000);
});

Then('each was accepted within {int} ms', function (this: SlowSteps, withinMs: number) {
  this.handedIn.forEach(({ tookMs }) => assert.ok(tookMs < withinMs, `took ${tookMs} ms`));
});

Then('each had begun within {int} ms', function (this: SlowSteps, withinMs: number) {
  this.handedIn.forEach(({ at }, id) => {
    const [first] = cellOf(this).starts(id);
    assert.ok(first !== undefined && first.at - at < withinMs, `began after ${first?.at} - ${at}`);
  });
});

Then(
  'no more than {int} transactions were asked for in this time',
  function (this: SlowSteps, most: number) {
    assert.ok(this.transactions.length <= most, `${this.transactions.length} transactions`);
  },
);

Then('the cell has the owner that it had', function (this: SlowSteps) {
  assert.deepEqual(cellOf(this).tables.get(OWNER_ROW_KEY)?.value, this.ownerRow);
});

Then('the store was asked to accept it once', function (this: SlowSteps) {
  const submission = jobRowKey(firstJob(this), 'submission');
  const acceptances = this.transactions.filter(({ set }) =>
    set.some((row) => sameRow(row, submission)),
  );
  assert.equal(acceptances.length, 1);
});
