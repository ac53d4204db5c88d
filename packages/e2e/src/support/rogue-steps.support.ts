/** Steps about peers that hold a link key but mean no good. */
import { When } from '@cucumber/cucumber';
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { join } from 'node:path';
import { quietContext, type BundleDelta } from '@zincspan/core';
import { Dialer, type Link } from '@zincspan/link';
import type { Deployment } from '../deployment/deployment.js';
import type { E2eWorld } from './e2e-world.support.js';

/** What the deployment's settings give every daemon. */
export function linkKeysOf({ directory, layout }: Deployment): string[] {
  const file = join(directory, `${layout.entries[0]?.id}.jsonc`);
  const json = readFileSync(file, 'utf8').replace(/^\/\/.*\n/, '');
  return (JSON.parse(json) as { linkKeys: string[] }).linkKeys;
}

/** A process with the link key that isn't of the deployment: an entry by what it says. */
class RoguePeer {
  /** What it answers to whoever fetches the bundle from it. */
  delta: BundleDelta | undefined;

  readonly #dialer: Dialer;

  readonly #linked: Promise<Link>;

  constructor({ address, deployment }: { address: string; deployment: Deployment }) {
    let resolve!: (link: Link) => void;
    this.#linked = new Promise((settle) => {
      resolve = settle;
    });
    this.#dialer = new Dialer({
      address,
      ctx: quietContext({ id: 'rogue', role: 'entry', failureDomain: 'hall-1' }),
      keys: linkKeysOf(deployment),
      handlers: { 'bundle.fetch': () => (this.delta ? { delta: this.delta } : {}) },
      heartbeat: { everyMs: 200, silenceMs: 5000 },
      onPeer: resolve,
    });
    this.#dialer.start();
  }

  /** The whole bundle in force at the entry. */
  async fetch(): Promise<BundleDelta> {
    const link = await this.#linked;
    const { delta } = await link.call('bundle.fetch', { have: 0 }, { timeoutMs: 2000 });
    assert.ok(delta);
    return delta;
  }

  /** Tells the entry of a version. */
  async tell(head: BundleDelta['head']): Promise<void> {
    const link = await this.#linked;
    await link.call('bundle.head', head, { timeoutMs: 2000 });
  }

  close(): void {
    this.#dialer.close();
  }
}

When(
  'a peer with the link key offers every entry a tampered version {int}',
  async function (this: E2eWorld, version: number) {
    const { deployment } = this;
    for (const { id, vm } of deployment.layout.entries) {
      const rogue = new RoguePeer({ address: vm.link, deployment });
      const delta = await rogue.fetch();
      const head = { ...delta.head, version, parent: version - 1 };
      rogue.delta = { ...delta, head };
      const refused = deployment.process(id).line((line) => line.includes('bundle refused'));
      await rogue.tell(head);
      await refused;
      rogue.close();
    }
  },
);
