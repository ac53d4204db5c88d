import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import {
  ManualClock,
  quietContext,
  type CountingMetrics,
  type ProcessContext,
} from '@zincspan/core';
import { DEFAULT_CELL_POLICY } from '../config/cell-policy.js';
import type { Step } from '../job/submission.js';
import { LogRecorder } from '../testing/log-recorder.support.js';
import { TEST_QUEUE, testStep } from '../testing/test-jobs.support.js';
import type { GatedSubmission } from './admission-gate.js';
import { EntryLoad } from './entry-load.js';
import { buildLoadSummary, encodedBytes, type LoadInput } from './load-summary-builder.js';
import { WORK_UNIT_MS, type LoadSummary } from './load-summary.js';
import { PredictionError } from './prediction-error.js';

interface StatusWorld {
  clock: ManualClock;
  ctx: ProcessContext & { metrics: CountingMetrics };
  log: LogRecorder;
  entry: EntryLoad;
  link: { status: Record<string, unknown>; statusAt: number } | undefined;
  summary: LoadSummary;
}

const CAPACITY = { milliCores: 128_000, memoryMb: 512_000, accelerators: 8 };
const JOB_ID = '0123456789abcdef';

function summaryInput(term: number, isBusy: boolean): LoadInput {
  const runs = isBusy ? [{ demand: CAPACITY, endsInMs: 60_000, isUrgent: false }] : [];
  const worker = { service: TEST_QUEUE.service, capacity: CAPACITY, runs };
  return {
    term,
    sequence: 1,
    workers: [worker, worker],
    waiting: [],
    refused: [],
    arriving: () => [],
    queues: [{ name: TEST_QUEUE.name, meanWork: 8000, expectedMs: (ms) => ms }],
    urgentAccelerators: new Map(),
    error: new PredictionError().quantiles(),
  };
}

function send(world: StatusWorld, status: Record<string, unknown>): void {
  world.clock.advance(800);
  Object.assign(world, { link: { status, statusAt: world.clock.now() } });
}

function sendSummary(world: StatusWorld, summary: object): void {
  send(world, { successors: [], load: { summary, ageMs: 100 } });
}

function newEntry(world: StatusWorld): EntryLoad {
  return new EntryLoad({
    ctx: world.ctx,
    policy: DEFAULT_CELL_POLICY,
    localLoad: () => undefined,
    isOwner: () => false,
    ownerLink: () => world.link,
    links: () => [],
  });
}

function submission(
  step: Partial<Step> = {},
  change: Partial<GatedSubmission> = {},
): GatedSubmission {
  const account = { name: 'weddings', keys: [], guaranteedAccelerators: 0 };
  const job = { spec: '', steps: [testStep({ estimateMs: 1000, ...step })] };
  return { id: JOB_ID, queue: TEST_QUEUE, account, job, ...change };
}

Given(
  'an entry and a summary of term {int} in which no capacity is free for {int} s',
  function (this: StatusWorld, term: number, _seconds: number) {
    this.clock = new ManualClock({ start: 10_000 });
    this.log = new LogRecorder();
    this.ctx = quietContext({ id: 'entry', clock: this.clock, log: this.log.logFor('entry') });
    this.entry = newEntry(this);
    this.summary = buildLoadSummary(summaryInput(term, true));
  },
);

When('the owner sends the summary', function (this: StatusWorld) {
  sendSummary(this, this.summary);
});

When(
  "the owner sends the summary with fields that this version doesn't know",
  function (this: StatusWorld) {
    const services = this.summary.services.map((service) => ({ ...service, later: 1 }));
    sendSummary(this, { ...this.summary, services, later: [2] });
  },
);

When('the summary gets older than {int} ms', function (this: StatusWorld, ms: number) {
  this.clock.advance(ms);
});

When('the link to the owner is lost', function (this: StatusWorld) {
  this.link = undefined;
});

When('the next status has no summary', function (this: StatusWorld) {
  send(this, { successors: [] });
});

When('the next status has half a summary', function (this: StatusWorld) {
  const { term, sequence, services } = this.summary;
  send(this, { load: { summary: { term, sequence, services }, ageMs: 0 } });
  this.entry.gate.decide(submission());
});

When('an owner of term {int} sends no summary yet', function (this: StatusWorld, _term: number) {
  send(this, { successors: [] });
});

When(
  'an owner of term {int} sends a summary of a free fleet',
  function (this: StatusWorld, term: number) {
    sendSummary(this, buildLoadSummary(summaryInput(term, false)));
    this.entry.gate.decide(submission());
  },
);

When(
  'the owner of term {int}, which returns after a pause, sends its summary again',
  function (this: StatusWorld, _term: number) {
    sendSummary(this, { ...this.summary, sequence: 9 });
  },
);

When('the entry is restarted', function (this: StatusWorld) {
  this.entry = newEntry(this);
});

Then('the entry refuses a job', function (this: StatusWorld) {
  const decision = this.entry.gate.decide(submission());
  assert.ok(decision.outcome === 'refuse', JSON.stringify(decision));
  const told = this.entry.gate.refuse(submission(), decision);
  assert.ok(told.retryAfterMs >= 1000);
  assert.equal(this.entry.gate.reports().length, 1);
});

Then(
  'the entry refuses the same job, with no time since a first refusal',
  function (this: StatusWorld) {
    const decision = this.entry.gate.decide(submission());
    assert.ok(decision.outcome === 'refuse');
    assert.equal(decision.elapsedMs, 0);
  },
);

Then('the entry accepts a job', function (this: StatusWorld) {
  assert.equal(this.entry.gate.decide(submission()).outcome, 'accept');
});

const NEVER_REFUSED: Record<string, () => GatedSubmission> = {
  "an urgent job within its account's guarantee": () =>
    submission(
      {},
      {
        queue: { ...TEST_QUEUE, priority: 0 },
        account: { name: 'weddings', keys: [], guaranteedAccelerators: 2 },
      },
    ),
  "an urgent job that may stop others'": () =>
    submission({}, { queue: { ...TEST_QUEUE, priority: 0 } }),
  'a job that is due later': () =>
    submission(
      {},
      {
        job: { spec: '', steps: [testStep()], schedule: { count: 1, firstAtMs: 0, everyMs: 0 } },
      },
    ),
  'a job whose tasks last': () => submission({ lasting: true }),
  "a job of a queue that isn't in the summary": () =>
    submission({}, { queue: { ...TEST_QUEUE, name: 'unlisted' } }),
  'a job that is too large for its objective': () => submission({ tasks: 400 }),
};

Then(/^the entry accepts (an urgent job .*|a job .*)$/, function (this: StatusWorld, what: string) {
  const create = NEVER_REFUSED[what];
  assert.ok(create);
  assert.equal(this.entry.gate.decide(create()).outcome, 'accept');
});

Then(
  '{int} unreadable summaries were counted and {int} was logged',
  function (this: StatusWorld, counted: number, logged: number) {
    assert.equal(this.ctx.metrics.counters.get('load.unreadable'), counted);
    const message = 'load summary cannot be decoded; ignoring it';
    assert.equal(this.log.withMessage(message).length, logged);
  },
);

When(
  'a summary of {int} queues, {int} accounts, {int} refused jobs, {int} workers and {int} waiting jobs is built',
  function (
    this: StatusWorld,
    queues: number,
    accounts: number,
    refused: number,
    workers: number,
    waiting: number,
  ) {
    const { service } = TEST_QUEUE;
    const nameOf = (kind: string, index: number): string => `${kind}-of-a-usual-length-${index}`;
    const demand = { milliCores: 30_000, memoryMb: 90_000, accelerators: 3 };
    this.summary = buildLoadSummary({
      ...summaryInput(70_000, true),
      workers: Array.from({ length: workers }, (_, index) => ({
        service: `${service}-${index % 4}`,
        capacity: CAPACITY,
        runs: [{ demand, endsInMs: index * 31, isUrgent: false }],
      })),
      queues: Array.from({ length: queues }, (_, index) => ({
        name: nameOf('queue', index),
        meanWork: 1_000_000 + index,
        expectedMs: (ms) => ms * 1000,
      })),
      waiting: Array.from({ length: waiting }, (_, index) => ({
        queue: nameOf('queue', index % queues),
        account: nameOf('account', index % accounts),
        service: `${service}-${index % 4}`,
        urgency: 1 / (index + 1),
        work: 3_600_000,
        width: 8,
        wholeWorkers: 4,
        size: 'whole',
      })),
      refused: Array.from({ length: refused }, (_, index) => ({
        id: (index * 7_777_777).toString(16).padStart(16, 'f'),
        service: `${service}-${index % 4}`,
        priority: index % 3,
        urgency: 1 / (index + 1),
        work: 3_600_000,
        ageMs: 30_000 - index,
      })),
      arriving: () => [{ urgency: 1, work: 900 }],
    });
  },
);

Then('it takes at most {int} bytes', function (this: StatusWorld, limit: number) {
  const bytes = encodedBytes(this.summary);
  if (process.env.LOAD_MODEL_FIGURES !== undefined) {
    process.stdout.write(`summary: ${bytes} bytes\n`);
  }
  assert.ok(bytes <= limit, `${bytes}`);
  const { queues, accounts } = this.summary;
  assert.ok(queues.length >= 5 && accounts.length >= 5, `${queues.length}, ${accounts.length}`);
});

Then('its work is complete with the rests', function (this: StatusWorld) {
  const { queues, accounts, restOfQueues, restOfAccounts } = this.summary;
  const byQueue = queues.reduce((sum, [, work]) => sum + work, restOfQueues);
  const byAccount = accounts.reduce((sum, [, work]) => sum + work, restOfAccounts);
  assert.equal(byQueue, (2000 * 3_600_000) / WORK_UNIT_MS);
  assert.equal(byAccount, (2000 * 3_600_000) / WORK_UNIT_MS);
});
