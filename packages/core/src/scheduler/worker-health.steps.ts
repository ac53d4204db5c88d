import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { WorkerHealth, type Quarantine } from './worker-health.js';

const PROBATION_MS = 1000;
const SMALL = { idempotent: true, accelerators: 1 };

class HealthTrial {
  health = new WorkerHealth({ quarantineAfter: 3, probationMs: PROBATION_MS });

  now = 1_000_000;

  #made = 0;

  said: Quarantine[] = [];

  job = '';

  newJob(): string {
    this.#made += 1;
    return `jobs/tuul/j${this.#made}`;
  }
}

function end(world: HealthTrial, worker: string, job: string, succeeded: boolean): void {
  const verdict = { worker, job, account: 'tuul', kind: 'render', succeeded };
  world.said.push(...world.health.taskEnded(verdict, world.now));
}

function failThenFinish(world: HealthTrial, worker: string, count: number): void {
  for (let i = 0; i < count; i += 1) {
    const job = world.newJob();
    end(world, worker, job, false);
    end(world, 'w9', job, true);
  }
}

interface World {
  trial: HealthTrial;
}

Given('worker health over {int} workers', function (this: World, count: number) {
  this.trial = new HealthTrial();
  for (let i = 0; i < count; i += 1) this.trial.health.add(`w${i}`);
});

When(
  'worker {string} fails {int} jobs that others then finish',
  function (this: World, worker: string, count: number) {
    failThenFinish(this.trial, worker, count);
  },
);

When(
  'worker {string} fails {int} jobs that nobody retries',
  function (this: World, worker: string, count: number) {
    for (let i = 0; i < count; i += 1) end(this.trial, worker, this.trial.newJob(), false);
  },
);

When('worker {string} finishes a job of that kind', function (this: World, worker: string) {
  end(this.trial, worker, this.trial.newJob(), true);
});

When('others finish {int} jobs of that kind', function (this: World, count: number) {
  for (let i = 0; i < count; i += 1) end(this.trial, `w${i % 10}`, this.trial.newJob(), true);
});

When('one job fails on every worker {int} times', function (this: World, times: number) {
  this.trial.job = this.trial.newJob();
  for (let i = 0; i < 10 * times; i += 1) end(this.trial, `w${i % 10}`, this.trial.job, false);
});

When(
  '{int} jobs that nobody retries fail on workers in turn',
  function (this: World, count: number) {
    for (let i = 0; i < count; i += 1) end(this.trial, `w${i % 10}`, this.trial.newJob(), false);
  },
);

When(
  'worker {string} fails and finishes jobs in turn {int} times',
  function (this: World, worker: string, times: number) {
    for (let i = 0; i < times; i += 1) {
      end(this.trial, worker, this.trial.newJob(), false);
      end(this.trial, worker, this.trial.newJob(), true);
      end(this.trial, 'w1', this.trial.newJob(), true);
    }
  },
);

When(
  'workers {string} each fail {int} jobs that others then finish',
  function (this: World, workers: string, count: number) {
    workers.split(',').forEach((worker) => failThenFinish(this.trial, worker, count));
  },
);

When('its quarantine runs out', function (this: World) {
  this.trial.now += PROBATION_MS;
});

When('its probation task fails', function (this: World) {
  this.trial.job = this.trial.newJob();
  this.trial.health.placed('w0', this.trial.job, this.trial.now);
  this.trial.said = [];
  end(this.trial, 'w0', this.trial.job, false);
});

When('its probation task fails on another worker', function (this: World) {
  end(this.trial, 'w1', this.trial.job, false);
});

Then('worker health has quarantined none', function (this: World) {
  assert.deepEqual(this.trial.health.quarantined(this.trial.now), []);
});

Then('worker health has quarantined {string}', function (this: World, worker: string) {
  assert.deepEqual(this.trial.health.quarantined(this.trial.now), [worker]);
  assert.deepEqual([...new Set(this.trial.said.map((quarantine) => quarantine.worker))], [worker]);
});

Then('worker health has quarantined {int} workers', function (this: World, count: number) {
  assert.equal(this.trial.health.quarantined(this.trial.now).length, count);
});

Then('that job is suspect', function (this: World) {
  assert.ok(this.trial.health.isSuspect(this.trial.job));
});

Then(
  'worker health gives {string} one small idempotent task at a time',
  function (this: World, worker: string) {
    const may = (task: typeof SMALL): boolean =>
      this.trial.health.mayUse(worker, task, this.trial.now);
    assert.equal(may({ idempotent: false, accelerators: 1 }), false);
    assert.equal(may({ idempotent: true, accelerators: 8 }), false);
    assert.equal(may(SMALL), true);
    this.trial.health.placed(worker, 'jobs/tuul/trial', this.trial.now);
    assert.equal(may(SMALL), false);
    this.trial.health.released(worker, 'jobs/tuul/trial');
  },
);

Then('its quarantine is twice as long', function (this: World) {
  assert.equal(this.trial.said[0]?.until, this.trial.now + 2 * PROBATION_MS);
});

Then('worker health has lifted the quarantine of {string}', function (this: World, worker: string) {
  assert.deepEqual(this.trial.said[this.trial.said.length - 1]?.worker, worker);
  assert.equal(this.trial.said[this.trial.said.length - 1]?.until, this.trial.now);
  assert.equal(this.trial.health.state(worker, this.trial.now), 'probation');
});
