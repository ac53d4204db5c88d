/** What scenarios under faults keep besides their world: lossy links, and requests with what became of them. */
import { After, Given } from '@cucumber/cucumber';
import { LossyNetwork } from '../deployment/lossy-network.js';
import { RequestLog, type SentRequest } from '../audit/request-log.js';
import { readyAt } from '../audit/entry-view.js';
import type { E2eWorld } from './e2e-world.support.js';
import { until } from './until.js';

/** A scenario's requests and links. */
export class FaultyState {
  readonly requests = new RequestLog();

  readonly network = new LossyNetwork();

  /** Requests by name, the latest try of each. */
  readonly named = new Map<string, Promise<SentRequest>>();
}

const states = new WeakMap<E2eWorld, FaultyState>();

/** The state of this scenario. */
export function stateOf(world: E2eWorld): FaultyState {
  const known = states.get(world);
  if (known !== undefined) return known;
  const state = new FaultyState();
  states.set(world, state);
  return state;
}

/** Every entry may send work to every upstream. */
export async function untilLinked({ deployment }: E2eWorld): Promise<void> {
  const { entries, upstreams } = deployment.layout;
  await Promise.all(
    entries.map(({ id }) =>
      until(`all upstreams at ${id}`, async () => {
        const ready = await readyAt(deployment, id);
        return upstreams.every((upstream) => ready.includes(upstream.id));
      }),
    ),
  );
}

After({ tags: '@lossy' }, async function (this: E2eWorld) {
  await stateOf(this).network.close();
});

Given(
  'a deployment of {int} entries and {int} runner(s) over lossy links',
  async function (this: E2eWorld, entries: number, runners: number) {
    const settings = { linkAddress: stateOf(this).network.addressFor };
    await this.deploy({ failureDomains: ['hall-1'], entries, runners, workers: 0, settings });
    await this.rollOut();
    await untilLinked(this);
  },
);

Given(
  'a deployment of {int} entries and {int} runner(s)',
  async function (this: E2eWorld, entries: number, runners: number) {
    await this.deploy({ failureDomains: ['hall-1'], entries, runners, workers: 0 });
    await this.rollOut();
    await untilLinked(this);
  },
);
