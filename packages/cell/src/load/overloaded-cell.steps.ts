import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { sleep } from '../clock/sleep.js';
import { DEFAULT_CELL_POLICY } from '../config/cell-policy.js';
import type { SubmitResult } from '../entry/call-result.js';
import { jobRowKey } from '../job/job-rows.js';
import {
  cellOf,
  nonOwnerEntry,
  ownerEntry,
  submitJob,
  type CellTestContext,
  type Entry,
} from '../owner/cell-test-context.support.js';
import { WIDTH_UNIT } from './capacity-forecast.js';
import { loadStatusSchema, type LoadSummary } from './load-summary.js';
import { TestCell, crashEntry, eventually, jobCall } from '../testing/test-cell.support.js';
import { testStep } from '../testing/test-jobs.support.js';

interface OverloadWorld extends CellTestContext {
  accepted: string[];
  refused: { id: string; result: SubmitResult; tookMs: number };
  result: SubmitResult;
  oldestMs: number;
}

/** A job that keeps both workers busy for this long, in ms. */
const JOB_MS = 500;

/** Jobs that are submitted at the same time; their work takes much longer than three times their objective. */
const JOBS_AT_ONCE = 24;

async function submit(entry: Entry, id: string): Promise<SubmitResult> {
  const steps = [testStep({ tasks: 16, estimateMs: JOB_MS })];
  const job = { spec: JSON.stringify({ workMs: JOB_MS }), steps };
  return entry.app.jobApi.submit(jobCall(id), { decode: () => ({ job }) });
}

/** The link over which an entry receives the summary. */
function statusLink(entry: Entry): Entry['app']['peerLinks'][number] | undefined {
  return entry.app.peerLinks.find(({ status }) => status.load !== undefined);
}

Given(
  'a cell of {int} entries and {int} worker(s) whose entries know its load',
  async function (this: OverloadWorld, entries: number, workers: number) {
    this.cell = new TestCell();
    this.jobs = [];
    await this.cell.start(entries, workers);
    const knowLoad = (): boolean =>
      cellOf(this).entries.every(
        (entry) => entry === ownerEntry(this) || statusLink(entry) !== undefined,
      );
    assert.ok(await eventually(knowLoad));
  },
);

Given(
  'a cell of {int} entries and {int} worker without admission',
  async function (this: OverloadWorld, entries: number, workers: number) {
    this.cell = new TestCell();
    this.cell.policy = { ...DEFAULT_CELL_POLICY, admission: 'off' };
    this.jobs = [];
    await this.cell.start(entries, workers);
  },
);

When(
  'more is submitted than it can do in time, until a job is refused',
  async function (this: OverloadWorld) {
    const cell = cellOf(this);
    const entry = nonOwnerEntry(this);
    this.accepted = Array.from({ length: JOBS_AT_ONCE }, () => cell.newJobId());
    const results = await Promise.all(this.accepted.map((id) => submit(entry, id)));
    assert.ok(results.every(({ outcome }) => outcome === 'accepted'));
    const isRefused = async (): Promise<boolean> => {
      const id = cell.newJobId();
      const at = performance.now();
      const result = await submit(entry, id);
      this.refused = { id, result, tookMs: performance.now() - at };
      if (result.outcome === 'accepted') this.accepted.push(id);
      return result.outcome !== 'accepted';
    };
    assert.ok(await eventually(isRefused, 5000));
  },
);

Then(
  'the refusal came within {int} ms, names the overload and says when to return',
  function (this: OverloadWorld, limitMs: number) {
    const { result, tookMs } = this.refused;
    assert.ok(result.outcome === 'not-accepted');
    assert.equal(result.reason, 'overload');
    assert.ok(result.retryAfterMs >= 1000);
    assert.ok(tookMs < limitMs, `${tookMs}`);
  },
);

Then('nothing of the refused job is stored', function (this: OverloadWorld) {
  const key = jobRowKey(this.refused.id, 'submission');
  assert.equal(cellOf(this).tables.get(key), undefined);
  assert.equal(cellOf(this).starts(this.refused.id).length, 0);
});

When(
  'its caller returns until the job is accepted',
  { timeout: 130_000 },
  async function (this: OverloadWorld) {
    const { id } = this.refused;
    const isAccepted = async (): Promise<boolean> => {
      const result = await submit(nonOwnerEntry(this), id);
      if (result.outcome === 'not-accepted') await sleep(1000);
      return result.outcome === 'accepted';
    };
    assert.ok(await eventually(isAccepted, 60_000));
    this.jobs.push(id);
    const hasEnded = async (): Promise<boolean> =>
      (await cellOf(this).jobState(id)) === 'completed';
    assert.ok(await eventually(hasEnded, 10_000));
  },
);

Then('the owner ranked the job by its first refusal', function (this: OverloadWorld) {
  const [line] = cellOf(this).logged('refused job returned');
  assert.ok(line);
  assert.equal(line.job, this.refused.id);
  assert.ok(Number(line.refusedForMs) >= 1000);
});

Then(
  'each accepted job is still accepted at the other entry',
  async function (this: OverloadWorld) {
    const results = await Promise.all(this.accepted.map((id) => submit(ownerEntry(this), id)));
    assert.ok(results.every((result) => result.outcome === 'accepted' && result.again));
  },
);

When(
  'an answer of the store is lost, and the job is submitted again',
  async function (this: OverloadWorld) {
    const entry = nonOwnerEntry(this);
    const lost = cellOf(this).newJobId();
    entry.store.fault = 'lost';
    const unanswered = entry.app.jobApi.submit(jobCall(lost), {
      decode: () => ({ job: { spec: '', steps: [testStep()] } }),
      budgetMs: 500,
    });
    await unanswered;
    entry.store.fault = 'none';
    this.result = await submit(entry, this.refused.id);
  },
);

When(
  'the owner is lost, and after the take-over a job is submitted',
  async function (this: OverloadWorld) {
    const owner = ownerEntry(this);
    const other = nonOwnerEntry(this);
    crashEntry(owner);
    assert.ok(await eventually(() => cellOf(this).owner() !== owner));
    this.result = await submit(other, cellOf(this).newJobId());
  },
);

Then('it was accepted', function (this: OverloadWorld) {
  assert.equal(this.result.outcome, 'accepted', JSON.stringify(this.result));
});

When(
  'a short job is submitted every {int} ms for {int} s',
  { timeout: 20_000 },
  async function (this: OverloadWorld, everyMs: number, seconds: number) {
    const entry = nonOwnerEntry(this);
    const endsAt = performance.now() + seconds * 1000;
    this.oldestMs = 0;
    while (performance.now() < endsAt) {
      const job = { spec: '{"workMs":10}', steps: [testStep()] };
      const id = cellOf(this).newJobId();
      await entry.app.jobApi.submit(jobCall(id), { decode: () => ({ job }) });
      const ageMs = performance.now() - (statusLink(entry)?.statusAt ?? 0);
      this.oldestMs = Math.max(this.oldestMs, ageMs);
      await sleep(everyMs);
    }
  },
);

Then(
  'the summary at the other entry was never older than {int} ms',
  function (this: OverloadWorld, limitMs: number) {
    assert.ok(this.oldestMs <= limitMs, `${this.oldestMs}`);
  },
);

When(
  'a job of {int} tasks is submitted that each take the whole worker for {int} ms',
  async function (this: OverloadWorld, tasks: number, workMs: number) {
    const demand = { milliCores: 1000, memoryMb: 100, accelerators: 8 };
    const steps = [testStep({ tasks, demand, estimateMs: workMs })];
    await submitJob(this, { steps, spec: { workMs } });
  },
);

Then(
  'for {int} s less than half of the service is free in each summary with waiting work',
  { timeout: 20_000 },
  async function (this: OverloadWorld, seconds: number) {
    const entry = nonOwnerEntry(this);
    const endsAt = performance.now() + seconds * 1000;
    const summaries = new Map<number, LoadSummary>();
    while (performance.now() < endsAt) {
      // There is none for some seconds after a pause of the owner.
      const load = statusLink(entry)?.status.load;
      const summary = load === undefined ? undefined : loadStatusSchema.parse(load).summary;
      if (summary !== undefined) summaries.set(summary.sequence, summary);
      await sleep(50);
    }
    const idle = [...summaries.values()].filter(({ services: [service] }) => {
      const { workers = 0, free = [], rungs = [] } = service ?? {};
      return rungs.length > 0 && (free[0] ?? 0) >= (workers / 2) * WIDTH_UNIT;
    });
    assert.ok(summaries.size > 0);
    assert.deepEqual(
      idle.map(({ sequence, services }) => ({ sequence, free: services[0]?.free })),
      [],
    );
  },
);

When('nothing happens for {int} s', async function (seconds: number) {
  await sleep(seconds * 1000);
});

Then('no entry has received a summary', function (this: OverloadWorld) {
  assert.ok(cellOf(this).entries.every((entry) => statusLink(entry) === undefined));
});
