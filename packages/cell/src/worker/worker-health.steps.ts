import assert from 'node:assert/strict';
import { Given, Then, When } from '@cucumber/cucumber';
import { FleetHealth } from './fleet-health.js';
import { WorkerHealth } from './worker-health.js';

interface HealthSteps {
  workers: WorkerHealth[];
  fleet: FleetHealth;
  now: number;
}

function failTask({ workers, fleet, now }: HealthSteps, worker: WorkerHealth, task: string): void {
  assert.ok(workers.includes(worker));
  fleet.noteFault(worker, task, now);
}

Given('{int} workers', function (this: HealthSteps, count: number) {
  this.workers = Array.from({ length: count }, () => new WorkerHealth());
  this.fleet = new FleetHealth(() => this.workers);
  this.now = 1000;
});

When(
  /^tasks (\w+) and (\w+) fail on worker 1$/,
  function (this: HealthSteps, first: string, second: string) {
    const [worker] = this.workers;
    assert.ok(worker);
    [first, second].forEach((task) => failTask(this, worker, task));
  },
);

When('two tasks fail on each worker', function (this: HealthSteps) {
  this.workers.forEach((worker, index) => {
    failTask(this, worker, `a${index}`);
    failTask(this, worker, `b${index}`);
  });
});

Then(/^(\d) workers? (?:is|are) quarantined$/, function (this: HealthSteps, count: string) {
  const quarantined = this.workers.filter((worker) => worker.isQuarantined(this.now));
  assert.equal(quarantined.length, Number(count));
});
