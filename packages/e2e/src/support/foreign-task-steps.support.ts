/** Steps with a task that a worker runs for somebody else, so that it refuses zincspan's. */
import { When } from '@cucumber/cucumber';
import Wreck from '@hapi/wreck';
import type { E2eWorld } from './e2e-world.support.js';

const TASK = 'own';
const LEASE_MS = 600_000;
const ACCELERATORS = 8;

When(
  '{word} runs a task of its own on all its accelerators',
  async function (this: E2eWorld, worker: string) {
    await post(this, worker, '/v1/tasks', {
      task: TASK,
      accelerators: Array.from({ length: ACCELERATORS }, (_, n) => n),
      cores: 1,
      memoryMb: 1,
      leaseMs: LEASE_MS,
      member: 0,
      tasks: 1,
      kind: 'own',
      params: {},
      checkpointable: false,
    });
  },
);

When('{word} ends the task of its own', async function (this: E2eWorld, worker: string) {
  await post(this, worker, `/v1/tasks/${TASK}/stop`, {});
});

async function post(world: E2eWorld, worker: string, path: string, body: unknown): Promise<void> {
  const vm = world.deployment.layout.upstreams.find(({ id }) => id === worker)?.vm;
  await Wreck.post(`http://${vm?.upstream}${path}`, {
    payload: JSON.stringify(body),
    headers: { 'content-type': 'application/json' },
  });
}
