import assert from 'node:assert/strict';
import { setTimeout } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { ProblemError, taskName, type AttemptRef, type TaskEnd } from '@zincspan/core';
import { startWorker } from '@zincspan/stand-ins';
import {
  closeLater,
  startGuard,
  startOneGuard,
  type GuardWorld,
} from '../test/guard-world.support.js';

interface GangWorld extends GuardWorld {
  stops: Map<string, TaskEnd>;
}

const POLL_MS = 20;

const QUICK_LEASE = { taskLeaseMs: 500 };

function refOf(name: string): AttemptRef {
  return { key: `jobs/tuul/${name}`, attempt: 1, member: 0 };
}

function isFor(name: string): (ref: AttemptRef) => boolean {
  return ({ key }) => key === refOf(name).key;
}

async function reserve(
  { entry, worker }: GangWorld,
  accelerators: string,
  name: string,
  { ttlMs = 5000, runMs = 50 }: { ttlMs?: number; runMs?: number } = {},
): Promise<void> {
  await entry.guard.call('gang.reserve', {
    order: entry.order,
    ref: refOf(name),
    member: {
      member: 0,
      worker: worker!.worker.id,
      accelerators: accelerators.split(',').map(Number),
      cores: 1,
      memoryMb: 100,
    },
    ttlMs,
    task: {
      account: 'tuul',
      kind: 'render',
      tasks: 1,
      params: { runMs },
      checkpointable: true,
      maxRunMs: 600_000,
    },
  });
}

/** Whether the guard that is linked now is a later life than `before`. */
function isReplaced({ entry }: GangWorld, before: string): boolean {
  try {
    return entry.order.incarnation !== before;
  } catch {
    return false;
  }
}

function workerEntry(world: GangWorld, name: string) {
  const task = taskName(refOf(name));
  return world.worker!.ledger().entries.find((entry) => entry.task === task);
}

async function stop(world: GangWorld, name: string, checkpoint: boolean): Promise<void> {
  const { order, guard } = world.entry;
  const end = await guard.call('gang.stop', { order, ref: refOf(name), checkpoint, limitMs: 1000 });
  world.stops.set(name, end);
}

Given('a guard beside a worker', async function (this: GangWorld) {
  this.stops = new Map();
  const worker = await startWorker();
  this.worker = worker;
  closeLater(() => worker.close());
  await startGuard(this, worker.worker, QUICK_LEASE);
});

When(
  'an owner reserves accelerators {string} for {string}',
  async function (this: GangWorld, accelerators: string, name: string) {
    await reserve(this, accelerators, name);
  },
);

When(
  'an owner reserves accelerators {string} for {string} during {int} ms',
  async function (this: GangWorld, accelerators: string, name: string, ttlMs: number) {
    await reserve(this, accelerators, name, { ttlMs });
  },
);

When(
  'an owner reserves accelerators {string} for {string}, which runs {int} ms',
  async function (this: GangWorld, accelerators: string, name: string, runMs: number) {
    await reserve(this, accelerators, name, { runMs });
  },
);

When('the owner hears that {string} is ready', async function (this: GangWorld, name: string) {
  await this.entry.until(() => this.entry.readies.some(isFor(name)));
});

When('the owner starts {string}', async function (this: GangWorld, name: string) {
  const { order, guard } = this.entry;
  const { state } = await guard.call('gang.start', { order, ref: refOf(name) });
  assert.equal(state, 'running');
});

When('the owner stops {string}', async function (this: GangWorld, name: string) {
  await stop(this, name, false);
});

When('the owner checkpoints and stops {string}', async function (this: GangWorld, name: string) {
  await stop(this, name, true);
});

When('the owner has term {int}', function (this: GangWorld, term: number) {
  this.entry.term = term;
});

When('the guard is replaced', async function (this: GangWorld) {
  await this.guard.stop();
  this.entry.announcements.length = 0;
  await startOneGuard(this, this.worker!.worker, QUICK_LEASE);
});

When(
  'the guard is replaced before the worker has announced itself',
  async function (this: GangWorld) {
    const before = this.entry.order.incarnation;
    await this.guard.stop();
    await startOneGuard(this, undefined, QUICK_LEASE);
    while (!isReplaced(this, before)) await setTimeout(POLL_MS);
  },
);

When(
  'the owner stops {string} again until it is told its end',
  async function (this: GangWorld, name: string) {
    while (!this.stops.has(name)) {
      await stop(this, name, false).catch((err: unknown) => assert.ok(err instanceof ProblemError));
      await setTimeout(POLL_MS);
    }
  },
);

Then(
  /^(starting|stopping) "(.*)" is refused as "(.*)", and "(.*)" whether it runs$/,
  async function (this: GangWorld, what: string, name: string, kind: string, ran: string) {
    const { order, guard } = this.entry;
    const ref = refOf(name);
    const answer =
      what === 'starting'
        ? guard.call('gang.start', { order, ref })
        : guard.call('gang.stop', { order, ref, checkpoint: false, limitMs: 0 });
    await assert.rejects(answer, (err) => {
      assert.ok(err instanceof ProblemError);
      assert.deepEqual([err.problem.kind, err.problem.ran], [kind, ran]);
      return true;
    });
  },
);

When('the worker carries out each call {int} ms late', function (this: GangWorld, ms: number) {
  this.worker!.faults.slowMs = ms;
});

When('the worker freezes', function (this: GangWorld) {
  this.worker!.faults.freeze = true;
});

When(
  "the guard's process is paused for {int} ms as the owner starts {string}",
  async function (this: GangWorld, pauseMs: number, name: string) {
    const { order, guard } = this.entry;
    const start = guard.call('gang.start', { order, ref: refOf(name) });
    // All of this test is one process: blocking it pauses the guard with the order unread.
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, pauseMs);
    await start.catch((err: unknown) => assert.ok(err instanceof ProblemError));
  },
);

When(
  'the owner throttles {string} to {float} cores',
  async function (this: GangWorld, name: string, cores: number) {
    const { order, guard } = this.entry;
    await guard.call('gang.throttle', { order, ref: refOf(name), cores });
  },
);

When('the link to the guard is cut and comes back', async function (this: GangWorld) {
  this.entry.announcements.length = 0;
  this.entry.guard.close('overflow');
  await this.entry.untilReady();
});

When('the owner asks for the inventory', async function (this: GangWorld) {
  this.entry.ends.length = 0;
  const { order, guard } = this.entry;
  const { reservations } = await guard.call('guard.inventory', { order });
  assert.deepEqual(
    reservations.map(({ state }) => state),
    ['ended'],
  );
});

Then(
  'the owner hears that {string} uses {float} cores',
  async function (this: GangWorld, name: string, cores: number) {
    const { usages } = this.entry;
    await this.entry.until(() => usages.some((use) => isFor(name)(use.ref) && use.cores === cores));
  },
);

Then('the owner hears again that {string} ended', async function (this: GangWorld, name: string) {
  await this.entry.until(() => this.entry.ends.some(({ ref }) => isFor(name)(ref)));
});

Then(
  'the owner forgets {string} and finds nothing held',
  async function (this: GangWorld, name: string) {
    const { order, guard } = this.entry;
    await guard.call('gang.forget', { order, ref: refOf(name) });
    const { reservations } = await guard.call('guard.inventory', { order });
    assert.deepEqual(reservations, []);
  },
);

Then(
  'reserving accelerators {string} for {string} is refused as {string}',
  async function (this: GangWorld, accelerators: string, name: string, kind: string) {
    await assert.rejects(reserve(this, accelerators, name), (err) => {
      assert.ok(err instanceof ProblemError);
      assert.equal(err.problem.kind, kind);
      return true;
    });
  },
);

Then(
  'starting {string} answers {string}',
  async function (this: GangWorld, name: string, want: string) {
    const { order, guard } = this.entry;
    const { state } = await guard.call('gang.start', { order, ref: refOf(name) });
    assert.equal(state, want);
  },
);

Then(
  'the owner hears that {string} ended as {string}',
  async function (this: GangWorld, name: string, outcome: string) {
    await this.entry.until(() => this.entry.ends.some(({ ref }) => isFor(name)(ref)));
    assert.equal(this.entry.ends.find(({ ref }) => isFor(name)(ref))?.outcome, outcome);
  },
);

Then(
  'the stop of {string} said {string}',
  function (this: GangWorld, name: string, outcome: string) {
    assert.equal(this.stops.get(name)?.outcome, outcome);
  },
);

Then(
  'the worker started {string} {int} times',
  function (this: GangWorld, name: string, times: number) {
    assert.equal(workerEntry(this, name)?.starts ?? 0, times);
  },
);

Then("the worker's {string} is {string}", function (this: GangWorld, name: string, state: string) {
  assert.equal(workerEntry(this, name)?.state, state);
});
