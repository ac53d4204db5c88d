import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { ManualClock, quietContext } from '@zincspan/core';
import { urgencyOf } from '../placing/job-urgency.js';
import { TEST_QUEUE, testStep } from '../testing/test-jobs.support.js';
import type { AdmissionDecision } from './admission-decision.js';
import { AdmissionGate } from './admission-gate.js';
import { buildLoadSummary } from './load-summary-builder.js';
import { PredictionError } from './prediction-error.js';
import { RefusalBook, refusalReportSchema } from './refusal-book.js';
import { RefusalRegister } from './refusal-register.js';

interface RefusalWorld {
  clock: ManualClock;
  gate: AdmissionGate;
  decision: AdmissionDecision;
  register: RefusalRegister;
  book: RefusalBook;
  now: number;
  known: Set<string>;
}

const ID = '0123456789abcdef';
const REPORT = { id: ID, queue: 'proofs', sinceMs: 1000, dueInMs: 5000, work: 1, urgency: 1 };

function tell(world: RefusalWorld, report: object): void {
  world.register.add([refusalReportSchema.parse(report)], world.now);
}

Given(
  /^an owner that was told of a job refused 1000 ms ago, (to return in 5000 ms|without more)$/,
  function (this: RefusalWorld, more: string) {
    this.register = new RefusalRegister();
    this.known = new Set();
    this.now = 10_000;
    const { id, queue, sinceMs } = REPORT;
    tell(this, more === 'without more' ? { id, queue, sinceMs } : REPORT);
  },
);

When('the job is accepted', function (this: RefusalWorld) {
  this.known.add(ID);
});

When('7500 ms pass and its entry reports it once more', function (this: RefusalWorld) {
  this.now += 7500;
  tell(this, { ...REPORT, sinceMs: 8500, dueInMs: -2500 });
});

When(
  '3000 ms pass and another entry reports it as refused 200 ms ago',
  function (this: RefusalWorld) {
    this.now += 3000;
    tell(this, { ...REPORT, sinceMs: 200 });
  },
);

Then('its first refusal was {int} ms ago', function (this: RefusalWorld, ms: number) {
  assert.equal(this.register.sinceFirstRefusalMs(ID, this.now), ms);
});

Then(/^(the|no) job is expected to return$/, function (this: RefusalWorld, which: string) {
  const expected = this.register.expected(this.now, (id) => this.known.has(id));
  assert.equal(expected.length, which === 'the' ? 1 : 0);
});

Given('an entry that refused {int} jobs', function (this: RefusalWorld, count: number) {
  this.now = 1;
  this.book = new RefusalBook(() => this.now);
  Array.from({ length: count }, (_, index) => `${index}`).forEach((id) => {
    const job = { id, queue: 'proofs', priority: 1, service: 'render', work: 1, urgency: 1 };
    this.book.record({ ...job, dueAt: this.now + 1000, sinceMs: 0 });
  });
});

Then(
  'it remembers {int} of them and reports the newest {int}',
  function (this: RefusalWorld, remembered: number, reported: number) {
    const ids = Array.from({ length: 1100 }, (_, index) => `${index}`);
    assert.equal(ids.filter((id) => this.book.get(id) !== undefined).length, remembered);
    const newest = ids.slice(-reported).reverse();
    assert.deepEqual(
      this.book.reports().map(({ id }) => id),
      newest,
    );
  },
);

Then('after {int} ms it remembers none', function (this: RefusalWorld, ms: number) {
  this.now += ms;
  assert.equal(this.book.get('1099'), undefined);
  assert.equal(this.book.reports().length, 0);
});

Then(
  'the ratio that nine of ten predictions exceed is below {float} without any',
  function (limit: number) {
    assert.ok(new PredictionError().quantiles().low < limit);
  },
);

Then(
  'it is above {float} after {int} predictions that were within 10 percent',
  function (limit: number, count: number) {
    const error = new PredictionError();
    Array.from({ length: count }, (_, index) => 900 + index).forEach((actualMs) =>
      error.record({ predictedMs: 1000, actualMs }),
    );
    const { low } = error.quantiles();
    assert.ok(low > limit, `${low}`);
  },
);

Then(
  'a job that already takes five times as long as predicted raises the median before it ends',
  function () {
    const error = new PredictionError();
    const pending = Array.from({ length: 30 }, () => ({ predictedMs: 1000, actualMs: 5000 }));
    assert.ok(error.quantiles(pending).median > error.quantiles().median * 1.5);
  },
);

/** A job that keeps both workers of the summary busy for this long, in ms. */
const JOB_MS = 500;
const ACCELERATORS = 8;
const WORKERS = 2;
const ACCOUNT = 'weddings';

Given(
  'an entry whose load summary has {int} waiting jobs that were accepted {int} ms before it',
  function (this: RefusalWorld, jobs: number, ageMs: number) {
    const work = JOB_MS * WORKERS * ACCELERATORS;
    const { stretch, targetLatencyMs, priority, name: queue, service } = TEST_QUEUE;
    const urgency = urgencyOf({
      priority,
      claim: false,
      totalWork: work,
      remainingWork: work,
      meanWork: work,
      ageMs,
      objectiveMs: stretch * JOB_MS + targetLatencyMs,
      remainingCriticalPathMs: JOB_MS,
    });
    const capacity = { milliCores: 64_000, memoryMb: 64_000, accelerators: ACCELERATORS };
    const summary = buildLoadSummary({
      term: 1,
      sequence: 1,
      workers: Array.from({ length: WORKERS }, () => ({
        service,
        capacity,
        runs: [{ demand: capacity, endsInMs: JOB_MS, isUrgent: false }],
      })),
      waiting: Array.from({ length: jobs }, () => ({
        queue,
        account: ACCOUNT,
        service,
        urgency,
        work: JOB_MS * WORKERS,
        width: WORKERS,
        wholeWorkers: 0,
        size: 'single' as const,
      })),
      refused: [],
      arriving: () => [],
      queues: [{ name: queue, meanWork: work, expectedMs: (estimateMs) => estimateMs }],
      urgentAccelerators: new Map(),
      error: new PredictionError().quantiles(),
    });
    this.clock = new ManualClock();
    const computedAt = this.clock.now();
    this.gate = new AdmissionGate({
      ctx: quietContext({ id: 'entry-1', clock: this.clock }),
      current: () => ({ summary, computedAt, receivedAt: computedAt }),
      hasFairShares: true,
    });
  },
);

When(
  /^(?:such a job is submitted|it returns) (\d+) ms (?:after the summary|later)$/,
  function (this: RefusalWorld, ms: string) {
    this.clock.advance(Number(ms));
    const steps = [testStep({ tasks: WORKERS * ACCELERATORS, estimateMs: JOB_MS })];
    const job = { spec: '', steps };
    const account = { name: ACCOUNT, keys: [], guaranteedAccelerators: 0 };
    const submission = { id: ID, queue: TEST_QUEUE, account, job };
    this.decision = this.gate.decide(submission);
    if (this.decision.outcome === 'refuse') this.gate.refuse(submission, this.decision);
  },
);

Then('it is refused', function (this: RefusalWorld) {
  assert.equal(this.decision.outcome, 'refuse', JSON.stringify(this.decision));
});
