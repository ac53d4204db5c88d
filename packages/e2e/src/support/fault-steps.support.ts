/** Steps that do something to a process. Names of processes are those of the deployment, or `the owner`. */
import { Given, Then, When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import type { E2eWorld } from './e2e-world.support.js';
import { jobOf } from './job-calls.support.js';
import { eventually, Processes } from './processes.support.js';

const NAME = '(the owner|the old owner|the other entry|[a-z]+-\\S+|platform)';

When(
  /^(the owner|the old owner|the other entry) is killed$/,
  async function (this: E2eWorld, name: string) {
    await (await Processes.of(this).find(name)).kill();
  },
);

When('the process of {word} is lost', async function (this: E2eWorld, worker: string) {
  await Processes.of(this).ledgers.killWorker(worker);
});

When(
  'the process of the worker of job {string} is lost',
  async function (this: E2eWorld, name: string) {
    const { ledgers } = Processes.of(this);
    const tasks = await ledgers.tasksOf(jobOf(this, name));
    const running = tasks.find(({ state }) => state === 'running');
    await ledgers.killWorker(running?.worker ?? 'none');
  },
);

When(new RegExp(`^${NAME} is frozen$`), async function (this: E2eWorld, name: string) {
  await Processes.of(this).freeze(name);
});

When(new RegExp(`^${NAME} goes on$`), async function (this: E2eWorld, name: string) {
  await Processes.of(this).resume(name);
});

When(new RegExp(`^${NAME} is started again$`), async function (this: E2eWorld, name: string) {
  await Processes.of(this).restart(name);
});

When(
  new RegExp(`^${NAME} is stopped as planned, with exit code 0$`),
  async function (this: E2eWorld, name: string) {
    assert.equal(await (await Processes.of(this).find(name)).terminate(), 0);
  },
);

Given(
  new RegExp(`^${NAME} has the faults (\\{.*\\})$`),
  async function (this: E2eWorld, name: string, faults: string) {
    await Processes.of(this).setFaults(name, JSON.parse(faults));
  },
);

Then('the failure domain is taken over', async function (this: E2eWorld) {
  await Processes.of(this).untilTakenOver();
});

Then('the time line shows {string}', async function (this: E2eWorld, event: string) {
  await eventually(async () => (await timeline(this)).some((line) => line.includes(event)));
});

Then(
  '{word} is quarantined after at most {int} failures',
  async function (this: E2eWorld, worker: string, most: number) {
    await eventually(async () =>
      (await timeline(this)).some((line) => line.includes('quarantined') && line.includes(worker)),
    );
    const tasks = await Processes.of(this).ledgers.tasks();
    const failed = tasks.filter((task) => task.worker === worker && task.state === 'failed');
    assert.ok(failed.length > 0 && failed.length <= most, `${failed.length} tasks failed.`);
  },
);

Then('no worker is quarantined', async function (this: E2eWorld) {
  const lines = await timeline(this);
  assert.deepEqual(
    lines.filter((line) => line.includes('quarantined')),
    [],
  );
});

async function timeline(world: E2eWorld): Promise<string[]> {
  const [operator] = world.deployment.operators;
  return (await operator?.run('timeline'))?.lines ?? [];
}
