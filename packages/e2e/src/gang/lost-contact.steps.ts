/** Steps that cut guards off from entries, for good: open connections and new ones alike lose everything. */
import { After, Given, Then, When } from '@cucumber/cucumber';
import { LossyProxy } from '@zincspan/stand-ins';
import assert from 'node:assert/strict';
import { LoopbackNetwork } from '../deployment/loopback-vm.js';
import type { EntryVm } from '../deployment/machines.js';
import type { E2eWorld } from '../support/e2e-world.support.js';
import { jobOf } from '../support/job-calls.support.js';
import { Processes } from '../support/processes.support.js';
import type { LedgerTask } from '../support/worker-ledgers.support.js';

interface CutLink {
  guard: string;
  entry: string;
  proxy: LossyProxy;
}

interface CutWorld extends E2eWorld {
  links: CutLink[];
  /** Task of the member whose guard was cut off. */
  cut: LedgerTask;
}

function cutOff(world: CutWorld, isCut: (link: CutLink) => boolean): void {
  world.links.filter(isCut).forEach(({ proxy }) => {
    Object.assign(proxy.faults, { silence: 'both' });
    proxy.silenceOpen('both');
  });
}

async function chooseMember(world: CutWorld, name: string): Promise<string> {
  const tasks = await Processes.of(world).ledgers.tasksOf(jobOf(world, name));
  const member = tasks.find(({ state }) => state === 'running');
  assert.ok(member);
  Object.assign(world, { cut: member });
  return `guard-${member.worker}`;
}

Given(
  'a deployment of {int} entries and {int} workers whose guards stop without contact after {int} ms',
  async function (this: CutWorld, entries: number, workers: number, ownerSilenceMs: number) {
    const network = new LoopbackNetwork();
    this.links = [];
    const linkAddress = (from: string, to: EntryVm): string => {
      if (!from.startsWith('guard-')) return to.vm.link;
      const { link } = network.nextVm();
      const proxy = new LossyProxy({ listen: link, to: to.vm.link });
      this.links.push({ guard: from, entry: to.id, proxy });
      void proxy.start();
      return link;
    };
    const guard = {
      heartbeat: { everyMs: 200, silenceMs: 1000 },
      announceTtlMs: 2000,
      taskLeaseMs: 2000,
      ownerSilenceMs,
    };
    const settings = { linkAddress, guard };
    await this.deploy({
      failureDomains: ['hall-1'],
      entries,
      runners: 0,
      workers,
      network,
      settings,
    });
    await this.rollOut();
  },
);

When(
  'the guard of a member of job {string} is cut off from every entry',
  async function (this: CutWorld, name: string) {
    const guard = await chooseMember(this, name);
    cutOff(this, (link) => link.guard === guard);
  },
);

When(
  'the guard of a member of job {string} is cut off from the owner',
  async function (this: CutWorld, name: string) {
    const guard = await chooseMember(this, name);
    const owner = await Processes.of(this).idOf('the owner');
    cutOff(this, (link) => link.guard === guard && link.entry === owner);
  },
);

Then(
  'the member of job {string} that was cut off is stopped',
  async function (this: CutWorld, name: string) {
    await Processes.of(this).ledgers.until(jobOf(this, name), (tasks) =>
      tasks.some(({ task, state }) => task === this.cut.task && state === 'stopped'),
    );
  },
);

Then(
  'job {string} runs anew without the worker that was cut off',
  async function (this: CutWorld, name: string) {
    const tasks = await Processes.of(this).ledgers.until(jobOf(this, name), (all) => {
      const again = all.filter(({ attempt }) => attempt > this.cut.attempt);
      return again.filter(({ state }) => state === 'running').length === this.cut.tasks;
    });
    const again = tasks.filter(({ attempt }) => attempt > this.cut.attempt);
    assert.ok(again.every(({ worker }) => worker !== this.cut.worker));
  },
);

After({ tags: '@cut-links' }, async function (this: CutWorld) {
  await Promise.all(this.links.map(({ proxy }) => proxy.close()));
});
