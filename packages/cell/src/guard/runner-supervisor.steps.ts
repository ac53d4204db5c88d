import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { quietContext } from '@zincspan/core';
import { LosableRunner } from '../testing/losable-runner.support.js';
import { eventually } from '../testing/test-cell.support.js';
import { RunnerSupervisor } from './runner-supervisor.js';

const BORN_MS = 1000;

interface SupervisorSteps {
  /** On the guard's monotonic clock, in ms. */
  now: number;
  runner: LosableRunner;
  supervisor: RunnerSupervisor;
}

After({ tags: '@runner-supervisor' }, function (this: SupervisorSteps) {
  this.supervisor.stop();
});

Given(
  'a guard that has just started beside a runner with a run, and leases of at most {int} ms',
  async function (this: SupervisorSteps, maxLeaseMs: number) {
    this.now = 0;
    this.runner = new LosableRunner({ bornMs: BORN_MS });
    const now = (): number => this.now;
    const ctx = quietContext({ id: 'worker-1', role: 'guard', clock: { now, wall: now } });
    const { runner } = this;
    this.supervisor = new RunnerSupervisor({ ctx, runner, maxLeaseMs, onChange: () => {} });
    this.supervisor.noteHeartbeat({
      id: 'runner-1',
      address: '127.0.0.1:1',
      service: 'render',
      failureDomain: 'hall',
      labels: [],
      capacity: { milliCores: 1, memoryMb: 1, accelerators: 1 },
      draining: false,
      bornMs: BORN_MS,
      sequence: 1,
    });
    assert.ok(await eventually(() => this.supervisor.contact().running.length === 1));
  },
);

When('the owner grants a lease of {int} ms', async function (this: SupervisorSteps, leaseMs) {
  const sent = this.supervisor.contact();
  this.supervisor.apply(
    {
      term: 1,
      runner: sent.runner?.id ?? '',
      leaseMs,
      unconfirmedMs: 0,
      confirmedEnd: 0,
      starts: [],
      stops: [],
      paces: [],
    },
    { sentAt: this.now, sent },
  );
  assert.ok(await eventually(() => this.runner.leases > 0));
});

When('the runner is lost', function (this: SupervisorSteps) {
  this.runner.isLost = true;
});

Then(
  /^(\d+) ms after the start (a lease may be|no lease is) left$/,
  function (this: SupervisorSteps, afterMs: string, what: string) {
    this.now = Number(afterMs);
    const { runner } = this.supervisor.contact();
    assert.equal(runner?.reachable, false);
    assert.equal(runner?.leaseLapsed, what === 'no lease is');
  },
);
