import assert from 'node:assert/strict';
import { setTimeout as pause } from 'node:timers/promises';
import { Given, Then, When } from '@cucumber/cucumber';
import { taskName } from '@zincspan/core';
import { startWorker } from '@zincspan/stand-ins';
import { DOMAIN, FakeEntry } from '../test/fake-entry.support.js';
import { closeLater, startOneGuard, type GuardWorld } from '../test/guard-world.support.js';

interface LostContactWorld extends GuardWorld {
  other: FakeEntry;
}

const POLL_MS = 20;

const QUICK = { taskLeaseMs: 500, ownerSilenceMs: 500 };

function refOf(name: string) {
  return { key: `jobs/tuul/${name}`, attempt: 1, member: 0 };
}

Given(
  /^a guard beside a worker, linked to its owner and to an entry that (reaches|doesn't reach) the owner$/,
  async function (this: LostContactWorld, how: string) {
    const worker = await startWorker();
    closeLater(() => worker.close());
    const reachesOwner = how === 'reaches';
    Object.assign(this, { stops: new Map(), worker });
    this.entry = new FakeEntry();
    this.other = new FakeEntry({ id: 'entry-2', reachesOwner });
    this.entryAddress = await this.entry.start();
    const addresses = [this.entryAddress, await this.other.start()];
    closeLater(() => this.entry.close());
    closeLater(() => this.other.close());
    const entries = addresses.map((address, n) => ({
      id: `entry-${n + 1}`,
      failureDomain: DOMAIN,
      address,
    }));
    await startOneGuard(this, worker.worker, { ...QUICK, entries });
    await this.other.untilReady();
  },
);

When('the guard loses its link to the owner', async function (this: LostContactWorld) {
  await this.entry.close();
});

When('the guard loses all its links', async function (this: LostContactWorld) {
  await Promise.all([this.entry.close(), this.other.close()]);
});

When('the guard is linked to its owner again', async function (this: LostContactWorld) {
  await this.entry.start(this.entryAddress);
});

When(
  'the other entry was asked {int} times after the owner',
  async function (this: LostContactWorld, times: number) {
    await this.other.until(() => this.other.asked >= times);
  },
);

Then('the guard stops {string} by itself', async function (this: LostContactWorld, name: string) {
  const task = taskName(refOf(name));
  const find = () => this.worker!.ledger().entries.find((entry) => entry.task === task);
  while (find()?.state === 'running') await pause(POLL_MS);
  // By its order, before the lease was over.
  assert.equal(find()?.state, 'stopped');
});

Then(
  'a reservation for {string} is answered with {int} ms of silence and an end after {int} ms',
  async function (this: LostContactWorld, name: string, silenceMs: number, fencedMs: number) {
    const { contact } = await this.entry.guard.call('gang.reserve', {
      order: this.entry.order,
      ref: refOf(name),
      member: {
        member: 0,
        worker: this.worker!.worker.id,
        accelerators: [0],
        cores: 1,
        memoryMb: 100,
      },
      ttlMs: 5000,
    });
    assert.deepEqual(contact, { silenceMs, fencedMs });
  },
);
