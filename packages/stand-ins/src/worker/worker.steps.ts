import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, type Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Given, Then, When } from '@cucumber/cucumber';
import type { Worker, WorkerTaskStatus } from '@zincspan/core';
import Wreck from '@hapi/wreck';
import {
  call,
  closeAfter,
  type JsonAnswer,
  type StandInWorld,
} from '../server/stand-in.support.js';
import { startWorker, type WorkerStandIn } from './worker.js';

interface WorkerWorld extends StandInWorld {
  worker: WorkerStandIn;
  answer: JsonAnswer<unknown>;
  guard: Heard;
}

/** What a guard hears of its upstream. */
interface Heard {
  announced: Promise<Worker>;
  withdrawn: Promise<unknown>;
}

/** A guard that hears of one upstream and then of its withdrawal. */
async function listenAsGuard(): Promise<{ server: Server } & Heard> {
  const server = createServer();
  const announced = new Promise<Worker>((resolve, reject) => {
    server.on('request', (req, res) => {
      res.end('{}');
      if (req.method === 'POST') Wreck.read<Worker>(req, { json: 'force' }).then(resolve, reject);
      else server.emit(String(req.method));
    });
  });
  const withdrawn = once(server, 'DELETE');
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return { server, announced, withdrawn };
}

async function order(
  world: WorkerWorld,
  path: string,
  payload: object,
): Promise<JsonAnswer<unknown>> {
  return call('POST', `http://${world.worker.address}${path}`, payload);
}

const BODIES: Record<string, object> = {
  start: {},
  stop: {},
  checkpoint: { limitMs: 1000 },
};

Given('a stand-in worker', async function (this: WorkerWorld) {
  const { server, ...heard } = await listenAsGuard();
  this.guard = heard;
  closeAfter(this, () => server.close());
  const { port } = server.address() as AddressInfo;
  this.worker = await startWorker({ guard: `127.0.0.1:${port}` });
  closeAfter(this, () => this.worker.close());
});

Given('the stand-in worker is told {string}', async function (this: WorkerWorld, faults: string) {
  const url = `http://${this.worker.address}/faults`;
  const { status } = await call('PUT', url, JSON.parse(faults) as object);
  assert.equal(status, 200);
});

When(
  /^the stand-in worker prepares task "(.*)" on accelerators ([\d,]+)$/,
  async function (this: WorkerWorld, task: string, accelerators: string) {
    this.answer = await order(this, '/v1/tasks', {
      task,
      accelerators: accelerators.split(',').map(Number),
      cores: 1,
      memoryMb: 1,
      leaseMs: 600_000,
      member: 0,
      tasks: 1,
      kind: 'render',
      params: { runMs: 100 },
      checkpointable: true,
    });
  },
);

When(
  'the stand-in worker is asked to {string} task {string}',
  async function (this: WorkerWorld, what: string, task: string) {
    this.answer = await order(this, `/v1/tasks/${task}/${what}`, BODIES[what]!);
  },
);

When('the stand-in worker stops as planned', async function (this: WorkerWorld) {
  await this.worker.close();
});

Then('the stand-in worker answers {int}', function (this: WorkerWorld, status: number) {
  assert.equal(this.answer.status, status);
});

Then(
  'the stand-in worker tells of {string} as {string}',
  async function (this: WorkerWorld, task: string, state: string) {
    let after = 0;
    for (;;) {
      const url = `http://${this.worker.address}/v1/events?after=${after}&waitMs=2000`;
      const { body } = await call<{ next: number; tasks: WorkerTaskStatus[] }>('GET', url);
      if (body.tasks.some((status) => status.task === task && status.state === state)) return;
      assert.notEqual(body.next, after, `no change of ${task} to ${state}`);
      after = body.next;
    }
  },
);

Then(
  "the stand-in worker's ledger has {string} started {int} times",
  function (this: WorkerWorld, task: string, starts: number) {
    const entry = this.worker.ledger().entries.find((known) => known.task === task);
    assert.equal(entry?.starts, starts);
  },
);

Then(
  "the stand-in worker's ledger counts {int} violations",
  function (this: WorkerWorld, violations: number) {
    assert.equal(this.worker.ledger().violations, violations);
  },
);

Then('the stand-in worker has announced itself to its guard', async function (this: WorkerWorld) {
  assert.deepEqual(await this.guard.announced, this.worker.worker);
});

Then('the stand-in worker has withdrawn from its guard', async function (this: WorkerWorld) {
  await this.guard.withdrawn;
});
