import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { jobRowSchema } from '@zincspan/core';
import { ManualTimers } from '../owner/manual-timers.support.js';
import { OwnerSteps } from '../owner/owner.steps.js';

interface JobApiWorld extends OwnerSteps {
  before: string;
  queued: string[];
  pages: string[][];
  waited: Promise<{ state: string; at: number }>;
}

const SHAPE = { tasks: 1, acceleratorsPerTask: 1 };

async function post(world: JobApiWorld, kind: string, key: string, entry = 'entry-a') {
  const before = world.job;
  const headers = { 'idempotency-key': key };
  await world.http('POST', '/v1/jobs', { payload: { kind, shape: SHAPE }, headers, entry });
  Object.assign(world, { before, job: String(world.last.body.id) });
}

Given(
  'the caller posts a {string} job with key {string}',
  async function (this: JobApiWorld, kind: string, key: string) {
    await post(this, kind, key);
  },
);

Given(
  'the caller posts a {string} job with key {string} to the second entry',
  async function (this: JobApiWorld, kind: string, key: string) {
    await post(this, kind, key, 'entry-b');
  },
);

Given('the caller queues {int} jobs', async function (this: JobApiWorld, count: number) {
  this.queued = [];
  for (let i = 0; i < count; i += 1) {
    await this.submit('entry', 1, 1);
    this.queued.push(this.job);
  }
});

When('the caller asks for the submitted job', async function (this: JobApiWorld) {
  await this.http('GET', `/v1/jobs/${this.job}`);
});

When(
  'the account {string} asks for the submitted job',
  async function (this: JobApiWorld, account: 'malabar') {
    await this.http('GET', `/v1/jobs/${this.job}`, { account });
  },
);

When(
  /^the caller waits for the submitted job( at the second entry)?$/,
  async function (this: JobApiWorld, second: string | null) {
    const url = `/v1/jobs/${this.job}/wait?timeoutMs=60000`;
    const entry = second === null ? 'entry-a' : 'entry-b';
    this.waited = this.http('GET', url, { entry }).then(() => ({
      state: String(this.last.body.state),
      at: this.timers.clock.now(),
    }));
    await ManualTimers.settle();
  },
);

When(
  'the caller lists its {string} jobs by pages of {int}',
  async function (this: JobApiWorld, state: string, limit: number) {
    this.pages = [];
    let next: unknown;
    do {
      const after = next === undefined ? '' : `&after=${String(next)}`;
      await this.http('GET', `/v1/jobs?state=${state}&limit=${limit}${after}`);
      this.pages.push((this.last.body.jobs as { id: string }[]).map(({ id }) => id));
      next = this.last.body.next;
    } while (next !== undefined);
  },
);

When('the caller cancels all of them at once', async function (this: JobApiWorld) {
  const { server } = this.entryOf('entry-a');
  const headers = { authorization: 'Bearer token-of-tuul' };
  await Promise.all(
    this.queued.map((id) =>
      server.inject({ method: 'POST', url: `/v1/jobs/${id}/cancel`, headers }),
    ),
  );
});

Then('both submissions name the same job', function (this: JobApiWorld) {
  assert.equal(this.job, this.before);
});

Then(
  'the job API refuses with {int} {string}, ran {string}',
  function (this: JobApiWorld, status: number, kind: string, ran: string) {
    const { body } = this.last;
    assert.deepEqual([this.last.status, body.kind, body.ran], [status, kind, ran]);
  },
);

Then('the refusal tells the numbers {string}', function (this: JobApiWorld, text: string) {
  assert.ok(String(this.last.body.detail).includes(text), String(this.last.body.detail));
});

Then('the refusal says when to come back', function (this: JobApiWorld) {
  assert.ok(Number(this.last.headers['retry-after']) > 0);
});

Then('the job that it names runs', async function (this: JobApiWorld) {
  const { job } = this.last.body.facts as { job: string };
  await this.untilState(job, 'started');
});

Then(
  "the caller's wait ends with {string} before its time",
  async function (this: JobApiWorld, state: string) {
    const startedAt = this.timers.clock.now();
    await this.untilState(this.job, state);
    const ended = await this.waited;
    assert.equal(ended.state, state);
    assert.ok(ended.at - startedAt < 1000);
  },
);

Then(
  'the pages hold {int}, {int}, {int} jobs, each job once',
  function (this: JobApiWorld, a: number, b: number, c: number) {
    assert.deepEqual(
      this.pages.map(({ length }) => length),
      [a, b, c],
    );
    assert.deepEqual(this.pages.flat(), [...this.queued].sort());
  },
);

Then('all of them are cancelled and not run', function (this: JobApiWorld) {
  this.queued.forEach((id) => {
    const row = jobRowSchema.parse(this.store.get(`jobs/tuul/${id}`).value);
    assert.deepEqual([row.state, row.outcome?.ran], ['cancelled', 'not-run']);
  });
});
