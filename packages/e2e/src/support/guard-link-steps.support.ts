/** Steps with lossy proxies between the guards and the entries. */
import { After, Given, When } from '@cucumber/cucumber';
import { LossyProxy, type Silence } from '@zincspan/stand-ins';
import { LoopbackNetwork } from '../deployment/loopback-vm.js';
import type { EntryVm } from '../deployment/machines.js';
import type { E2eWorld } from './e2e-world.support.js';

const proxies = new WeakMap<E2eWorld, { from: string; proxy: LossyProxy }[]>();

/** Puts a proxy of its own between each guard and each entry. */
Given(
  'a deployment of {int} failure domain(s) with {int} entries and {int} worker(s) in each, whose links pass a proxy',
  async function (this: E2eWorld, domains: number, entries: number, workers: number) {
    const network = new LoopbackNetwork();
    const made: { from: string; proxy: LossyProxy }[] = [];
    proxies.set(this, made);
    const linkAddress = (from: string, to: EntryVm): string => {
      if (!from.startsWith('guard-')) return to.vm.link;
      const { link } = network.nextVm();
      const proxy = new LossyProxy({ listen: link, to: to.vm.link });
      made.push({ from, proxy });
      void proxy.start();
      return link;
    };
    const failureDomains = Array.from({ length: domains }, (_, n) => `hall-${n + 1}`);
    const settings = { linkAddress };
    await this.deploy({ failureDomains, entries, runners: 0, workers, network, settings });
    await this.rollOut();
  },
);

When(
  'the links of {word} go silent {string}',
  function (this: E2eWorld, guard: string, directions: string) {
    const own = (proxies.get(this) ?? []).filter(({ from }) => from === guard);
    own.forEach(({ proxy }) => proxy.silenceOpen(directions as Silence));
  },
);

After({ tags: '@proxies' }, async function (this: E2eWorld) {
  await Promise.all((proxies.get(this) ?? []).map(({ proxy }) => proxy.close()));
});
