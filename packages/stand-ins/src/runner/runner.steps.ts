import assert from 'node:assert/strict';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import Wreck from '@hapi/wreck';
import {
  call,
  closeAfter,
  type JsonAnswer,
  type StandInWorld,
} from '../server/stand-in.support.js';
import { startRunner, type RunnerStandIn } from './runner.js';

type Echo = JsonAnswer<{ requestId: string; kind: string; echo: { of: string } }>;

interface RunnerWorld extends StandInWorld {
  runner: RunnerStandIn;
  answers: (Echo | Error)[];
}

async function send(world: RunnerWorld, requestId: string): Promise<Echo | Error> {
  const url = `http://${world.runner.address}/v1/run/match`;
  const headers = { 'x-request-id': requestId };
  return call('POST', url, { of: requestId, serviceMs: 50 }, headers).catch(
    (err: unknown) => err as Error,
  ) as Promise<Echo | Error>;
}

/** Resolves once the request is noted as run. */
async function hasRun(world: RunnerWorld, requestId: string): Promise<void> {
  const noted = () => world.runner.ledger().entries.some((entry) => entry.requestId === requestId);
  while (!noted()) await nextTurn();
}

Given('a stand-in runner with {int} slots', async function (this: RunnerWorld, slots: number) {
  this.runner = await startRunner({ slots, graceMs: 5000 });
  closeAfter(this, () => this.runner.kill());
});

Given('the stand-in runner is told {string}', async function (this: RunnerWorld, faults: string) {
  const url = `http://${this.runner.address}/faults`;
  const { status } = await call('PUT', url, JSON.parse(faults) as object);
  assert.equal(status, 200);
});

When('the stand-in runner is sent {string}', async function (this: RunnerWorld, id: string) {
  this.answers = [await send(this, id)];
});

When(
  'the stand-in runner has taken {string} and is sent {string}',
  async function (this: RunnerWorld, taken: string, id: string) {
    const ids = taken.split(',');
    ids.forEach((takenId) => {
      void send(this, takenId);
    });
    await Promise.all(ids.map(async (takenId) => hasRun(this, takenId)));
    this.answers = [await send(this, id)];
  },
);

When(
  'the stand-in runner is sent {string} by a caller that hangs up once it has run',
  async function (this: RunnerWorld, id: string) {
    const pending = Wreck.request('POST', `http://${this.runner.address}/v1/run/match`, {
      headers: { 'x-request-id': id },
      payload: { serviceMs: 0 },
    });
    await hasRun(this, id);
    pending.req.destroy();
    await assert.rejects(pending);
  },
);

When(
  'the stand-in runner is sent {string} and stopped as planned while it runs',
  async function (this: RunnerWorld, id: string) {
    const answer = send(this, id);
    await hasRun(this, id);
    await this.runner.close();
    this.answers = [await answer];
  },
);

When(
  'the stand-in runner is sent {string} and crashes while it runs',
  async function (this: RunnerWorld, id: string) {
    const answer = send(this, id);
    await hasRun(this, id);
    await this.runner.kill();
    this.answers = [await answer];
  },
);

Then(
  'the stand-in runner answers {int} with the echo of {string}',
  function (this: RunnerWorld, status: number, id: string) {
    const [answer] = this.answers as Echo[];
    assert.equal(answer!.status, status);
    assert.equal(answer!.body.requestId, id);
    assert.equal(answer!.body.echo.of, id);
  },
);

Then('the stand-in runner answered {string}', function (this: RunnerWorld, statuses: string) {
  const answered = (this.answers as Echo[]).map(({ status }) => status);
  assert.equal(answered.join(','), statuses);
});

Then("the stand-in runner's answer is cut", function (this: RunnerWorld) {
  assert.ok(this.answers[0] instanceof Error);
});

Then(
  "the stand-in runner's ledger has {string} run {int} times",
  function (this: RunnerWorld, id: string, count: number) {
    const entry = this.runner.ledger().entries.find(({ requestId }) => requestId === id);
    assert.equal(entry?.count, count);
  },
);

Then(
  "the stand-in runner's ledger counts {int} violations and {int} slots",
  function (this: RunnerWorld, violations: number, slots: number) {
    const ledger = this.runner.ledger();
    assert.deepEqual([ledger.violations, ledger.maxInUse], [violations, slots]);
  },
);
