import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import type { AttemptConclusion } from '../gang/attempt.js';
import { shapeSchema } from '../gang/shape.js';
import type { Worker } from '../upstream/upstream.js';
import { canEverFit } from './admission.js';
import { changeAfterAttempt } from './conclusion.js';
import { changeJob, type JobChange, type JobChangeResult } from './job-machine.js';
import { jobRowSchema, type JobRow } from './job.js';

interface JobMachineWorld {
  row: JobRow;
  result: JobChangeResult;
  change: JobChange | undefined;
  workers: Worker[];
}

/** Names of the examples that aren't a row's state by themselves. */
const STATES: Record<string, string> = {
  wanted: 'queued',
  barred: 'queued',
  doubtful: 'queued',
  first: 'started',
};

/** What ended attempts came to, where it isn't `ran`. */
const RAN_BEFORE: Record<string, string> = {
  first: 'not-run',
  barred: 'not-run',
  doubtful: 'unknown',
  started: 'unknown',
};

/** More than any bound on attempts. */
const MANY_ATTEMPTS = 10;

function accepted(result: JobChangeResult): JobRow {
  assert.ok(result.ok);
  return result.row;
}

function rowOf(state: string, attempt: number): JobRow {
  return jobRowSchema.parse({
    id: 'deed-1',
    account: 'malabar',
    failureDomain: 'kakkanad',
    spec: { kind: 'index', shape: { tasks: 2, acceleratorsPerTask: 4 } },
    digest: '',
    state: STATES[state] ?? state,
    ranBefore: attempt === 0 ? 'not-run' : (RAN_BEFORE[state] ?? 'ran'),
    attempt,
    term: 1,
    cancelRequested: state === 'wanted',
    submittedAt: 0,
  });
}

function membersOf(count: number): JobRow['members'] {
  return Array.from({ length: count }, (_, member) => ({
    member,
    worker: 'w1',
    accelerators: [member],
    cores: 1,
    memoryMb: 1,
    guard: 'g1',
    incarnation: 'life-one',
  }));
}

function changeOf(name: string): JobChange {
  const start = { type: 'start', attempt: 1, term: 2, at: 5 } as const;
  const withdraw = { type: 'withdraw', state: 'cancelled', kind: 'x', detail: '', at: 5 } as const;
  const requeue = { type: 'requeue', ended: true, idempotent: true, ran: 'ran' } as const;
  const changes: Record<string, JobChange> = {
    'start attempt 1': { ...start, members: membersOf(2) },
    'start half its gang': { ...start, members: membersOf(1) },
    'withdraw, released': { ...withdraw, released: true },
    'withdraw, not released': { ...withdraw, released: false },
    'requeue, idempotent': requeue,
    'requeue, not idempotent': { ...requeue, idempotent: false },
    'requeue from its checkpoint': { ...requeue, idempotent: false, checkpoint: '["c"]' },
    'requeue before it has ended': { ...requeue, ended: false },
    'finish unknown': { type: 'finish', state: 'failed', ran: 'unknown', kind: 'lost', at: 5 },
    'finish not run': { type: 'finish', state: 'failed', ran: 'not-run', kind: 'lost', at: 5 },
    'request-cancel': { type: 'request-cancel' },
  };
  const change = changes[name];
  assert.ok(change, name);
  return change;
}

function conclusionOf(name: string): AttemptConclusion {
  if (name === 'released') return { type: 'released', reason: 'unplaced', detail: '' };
  const [end = ''] = name.split(' ');
  const left = end === 'checkpointed' || name.endsWith('checkpoint');
  return {
    type: 'ended',
    end: end as 'lost',
    detail: '',
    ran: true,
    neverStarted: false,
    ranMs: 10,
    results: [],
    ...(left ? { checkpoint: '["c"]' } : {}),
  };
}

Given(
  'a job row that is {string} with {int} attempts started',
  function (this: JobMachineWorld, state: string, attempts: number) {
    this.row = rowOf(state, attempts);
  },
);

Given(
  'a {string} job whose attempt ended as {string}',
  function (this: JobMachineWorld, kind: string, end: string) {
    const state = end === 'released' ? 'queued' : 'started';
    const row = { ...rowOf(state, 1), cancelRequested: kind.includes('cancelled') };
    this.change = changeAfterAttempt(row, conclusionOf(end), {
      idempotent: kind.startsWith('idempotent'),
      mayRetry: kind.includes('retries'),
      at: 5,
    });
    if (this.change !== undefined) assert.ok(changeJob(row, this.change).ok);
  },
);

Given(
  /^an idempotent job that is started again whenever its attempt is lost(, each time with a new checkpoint)?$/,
  function (this: JobMachineWorld, saves: string | null) {
    this.row = rowOf('queued', 0);
    for (let attempt = 1; attempt < MANY_ATTEMPTS && this.row.state === 'queued'; attempt++) {
      const start = { type: 'start', attempt, term: 2, members: membersOf(2), at: 5 } as const;
      this.row = accepted(changeJob(this.row, start));
      const checkpoint = saves === null ? {} : { checkpoint: `["c${attempt}"]` };
      const lost = { ...conclusionOf('lost'), ...checkpoint } as AttemptConclusion;
      const options = { idempotent: true, mayRetry: true, at: 5 };
      const change = changeAfterAttempt(this.row, lost, options);
      assert.ok(change);
      this.row = accepted(changeJob(this.row, change));
    }
  },
);

Given(
  'workers of 8 accelerators in racks at positions {string}',
  function (this: JobMachineWorld, racks: string) {
    this.workers = racks.split(', ').map((position, i) => ({
      type: 'worker',
      id: `w${i}`,
      address: '127.0.0.1:1',
      rack: `rack-${position}`,
      rackPosition: Number(position),
      cores: 64,
      memoryMb: 65_536,
      accelerators: 8,
    }));
  },
);

Then(
  'it has failed as {string} after {int} attempts',
  function (this: JobMachineWorld, kind: string, attempts: number) {
    assert.equal(this.row.state, 'failed');
    assert.equal(this.row.outcome?.kind, kind);
    assert.equal(this.row.attempt, attempts);
  },
);

Then('it is queued after {int} attempts', function (this: JobMachineWorld, attempts: number) {
  assert.equal(this.row.state, 'queued');
  assert.equal(this.row.attempt, attempts);
});

When('the row is asked to {string}', function (this: JobMachineWorld, change: string) {
  this.result = changeJob(this.row, changeOf(change));
});

Then('the row change answers {string}', function (this: JobMachineWorld, answer: string) {
  const { result } = this;
  if (!result.ok) assert.equal('refused', answer, result.problem.detail);
  else {
    const { state, outcome } = result.row;
    assert.equal(outcome === undefined ? state : `${state}, ${outcome.ran}`, answer);
  }
});

Then('its row change is {string}', function (this: JobMachineWorld, wanted: string) {
  const { change } = this;
  const state = change !== undefined && 'state' in change ? ` ${change.state}` : '';
  assert.equal(`${change?.type ?? 'none'}${state}`, wanted);
});

Then(
  /^a gang of (\d+) tasks of (\d+) accelerators, adjacent by "(.*)", (fits|never fits)$/,
  function (
    this: JobMachineWorld,
    tasks: string,
    accelerators: string,
    adjacency: string,
    answer: string,
  ) {
    const shape = shapeSchema.parse({
      tasks: Number(tasks),
      acceleratorsPerTask: Number(accelerators),
      adjacency,
    });
    assert.equal(canEverFit(shape, this.workers).fits, answer === 'fits');
  },
);
