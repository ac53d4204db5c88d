import assert from 'node:assert/strict';
import { After, Given, Then, When } from '@cucumber/cucumber';
import { quietContext, type StartOrder } from '@zincspan/core';
import { sleep } from '../clock/sleep.js';
import { LosableRunner } from '../testing/losable-runner.support.js';
import { eventually } from '../testing/test-cell.support.js';
import { RunnerSupervisor } from './runner-supervisor.js';

const BORN_MS = 1000;
const NEXT_BORN_MS = 2000;

/** Address in heartbeats of a process that isn't the runner beside the guard. */
const FOREIGN_ADDRESS = '127.0.0.9:http';

/** A guard that waits for the time-out of a call to another runner takes longer, in ms. */
const AT_ONCE_MS = 300;

const ORDER = { task: '0000000000000002.0.0.0', run: 1, spec: '', checkpoint: '' };

interface SupervisorSteps {
  /** On the guard's monotonic clock, in ms. */
  now: number;
  runner: LosableRunner;
  supervisor: RunnerSupervisor;
  /** The runner is lost as soon as the guard adopts its next incarnation. */
  isLostOnceAdopted?: boolean;
}

function noteHeartbeat(
  { supervisor }: SupervisorSteps,
  bornMs: number,
  { id, address }: { id: string; address: string } = { id: 'runner-1', address: '127.0.0.1:1' },
): void {
  supervisor.noteHeartbeat({
    id,
    address,
    service: 'render',
    failureDomain: 'hall',
    labels: [],
    capacity: { milliCores: 1, memoryMb: 1, accelerators: 1 },
    draining: false,
    bornMs,
    sequence: 1,
  });
}

/** A guard that has received no heartbeat yet. */
function startSupervisor(world: SupervisorSteps, maxLeaseMs: number): void {
  const runner = new LosableRunner({ bornMs: BORN_MS });
  Object.assign(world, { now: 0, runner });
  const now = (): number => world.now;
  const note = (_: object, msg: string): void => {
    if (world.isLostOnceAdopted && msg === 'new runner incarnation adopted') runner.isLost = true;
  };
  const clock = { now, wall: now };
  const log = { info: note, warn: note, error: note };
  const ctx = quietContext({ id: 'worker-1', role: 'guard', clock, log });
  const supervisor = new RunnerSupervisor({ ctx, runner, maxLeaseMs, onChange: () => {} });
  Object.assign(world, { supervisor });
}

/** A heartbeat that isn't the runner's, with an address at which a call fails at once or gets no answer. */
function noteForeignHeartbeat(world: SupervisorSteps, sender: string): void {
  world.runner.foreignAddresses.set(FOREIGN_ADDRESS, async () => {
    if (sender === "can't be called") throw new TypeError('Invalid URL');
    await sleep(10 * AT_ONCE_MS);
    return { outcome: 'no-answer', detail: 'timed out' };
  });
  noteHeartbeat(world, BORN_MS, { id: 'legacy-7', address: FOREIGN_ADDRESS });
}

/** Whether the guard reports the runner that started then, without a wait for another call. */
async function isReportedAtOnce({ supervisor }: SupervisorSteps, bornMs: number): Promise<boolean> {
  const isReported = (): boolean => supervisor.contact().runner?.id === `runner-1@${bornMs}`;
  return eventually(isReported, AT_ONCE_MS);
}

/** The owner answers a contact with a lease and orders to start these runs. */
function grantLease(
  { now, supervisor }: SupervisorSteps,
  { leaseMs, starts = [] }: { leaseMs: number; starts?: StartOrder[] },
): void {
  const sent = supervisor.contact();
  supervisor.apply(
    {
      term: 1,
      runner: sent.runner?.id ?? '',
      leaseMs,
      unconfirmedMs: 0,
      confirmedEnd: 0,
      starts,
      stops: [],
      paces: [],
    },
    { sentAt: now, sent },
  );
}

After({ tags: '@runner-supervisor' }, function (this: SupervisorSteps) {
  this.supervisor.stop();
});

Given(
  'a guard that has just started beside a runner with a run, and leases of at most {int} ms',
  async function (this: SupervisorSteps, maxLeaseMs: number) {
    startSupervisor(this, maxLeaseMs);
    noteHeartbeat(this, BORN_MS);
    assert.ok(await eventually(() => this.supervisor.contact().running.length === 1));
  },
);

Given(
  /^a guard that has received a foreign heartbeat whose sender (can't be called|gives no answer)$/,
  function (this: SupervisorSteps, sender: string) {
    startSupervisor(this, 4000);
    noteForeignHeartbeat(this, sender);
  },
);

When(
  "it receives a foreign heartbeat whose sender can't be called",
  function (this: SupervisorSteps) {
    noteForeignHeartbeat(this, "can't be called");
  },
);

When('its own runner sends a heartbeat', function (this: SupervisorSteps) {
  noteHeartbeat(this, BORN_MS);
});

When('its own runner restarts and sends a heartbeat', function (this: SupervisorSteps) {
  this.runner.bornMs = NEXT_BORN_MS;
  noteHeartbeat(this, NEXT_BORN_MS);
});

Then('the guard reports its own runner at once', async function (this: SupervisorSteps) {
  assert.ok(await isReportedAtOnce(this, BORN_MS));
});

Then('the guard reports the restarted runner at once', async function (this: SupervisorSteps) {
  assert.ok(await isReportedAtOnce(this, NEXT_BORN_MS));
});

When(
  'the owner grants a lease of {int} ms',
  async function (this: SupervisorSteps, leaseMs: number) {
    grantLease(this, { leaseMs });
    assert.ok(await eventually(() => this.runner.leases > 0));
  },
);

When(
  "the owner orders a start that the runner doesn't answer",
  async function (this: SupervisorSteps) {
    this.runner.answersStarts = false;
    grantLease(this, { leaseMs: 4000, starts: [ORDER] });
    assert.ok(await eventually(() => this.runner.starts > 1));
  },
);

When(
  'the runner restarts under its id and is lost before it has listed its runs',
  async function (this: SupervisorSteps) {
    this.isLostOnceAdopted = true;
    this.runner.bornMs = NEXT_BORN_MS;
    noteHeartbeat(this, NEXT_BORN_MS);
    assert.ok(await eventually(() => this.runner.isLost));
  },
);

Then('the guard reports no runner, but the start as in progress', function (this: SupervisorSteps) {
  const { runner, inProgress } = this.supervisor.contact();
  assert.equal(runner, undefined);
  assert.deepEqual(inProgress, [{ task: ORDER.task, run: ORDER.run }]);
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
