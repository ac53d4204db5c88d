/** Two processes, a lossy proxy between them, and whoever else dials. */
import { EventEmitter, once } from 'node:events';
import { After } from '@cucumber/cucumber';
import {
  CountingMetrics,
  HybridClock,
  SystemClock,
  Timeline,
  type Handlers,
  type ProcessContext,
} from '@zincspan/core';
import { LossyProxy } from '@zincspan/stand-ins';
import { Dialer, type DialerOptions } from './dialer.js';
import type { Link } from './link.js';
import { LinkServer } from './link-server.js';
import type { LinkOptions } from './options.js';

export const KEY = 'a-link-key-for-the-tests-of-links';
export const OTHER_KEY = 'another-key-of-at-least-32-bytes!';
export const CALLS_IN_FLIGHT = 60;
export const UNAUTHENTICATED = 8;

/** Counters whose changes can be awaited. */
export class WatchedMetrics extends CountingMetrics {
  readonly #events = new EventEmitter();

  override count(name: string, by = 1): void {
    super.count(name, by);
    this.#events.emit('counted');
  }

  async until(name: string): Promise<void> {
    while (!this.counters.has(name)) await once(this.#events, 'counted');
  }
}

export interface Party {
  ctx: ProcessContext;
  metrics: WatchedMetrics;
  /** Each link that came up, latest last. */
  links: Link[];
  events: EventEmitter;
  options: Omit<LinkOptions, 'handlers'>;
}

export class LinkWorld {
  server!: LinkServer;

  serverParty!: Party;

  dialer!: Dialer;

  dialerParty!: Party;

  proxy!: LossyProxy;

  inFlight: Promise<unknown> = Promise.resolve();
}

const closers: (() => unknown)[] = [];

After(async () => {
  await Promise.all(closers.splice(0).map((close) => close()));
});

export function closeLater(close: () => unknown): void {
  closers.push(close);
}

export function makeParty(id: string, incarnation: string, key = KEY, bornAt = 0): Party {
  const clock = new SystemClock();
  const hybrid = new HybridClock({ clock });
  const metrics = new WatchedMetrics();
  const events = new EventEmitter();
  const links: Link[] = [];
  const ctx: ProcessContext = {
    self: { id, role: 'entry', incarnation, failureDomain: 'annex' },
    clock,
    hybrid,
    timeline: new Timeline({ process: id, hybrid }),
    metrics,
    log: { info: () => {}, warn: () => {}, error: () => {} },
  };
  const options = {
    ctx,
    keys: [key],
    bornAt,
    heartbeat: { everyMs: 50, silenceMs: 300 },
    limits: { callsInFlight: CALLS_IN_FLIGHT, handshakeMs: 400, unauthenticated: UNAUTHENTICATED },
    onPeer: (link: Link) => {
      links.push(link);
      events.emit('up');
    },
  };
  return { ctx, metrics, links, events, options };
}

/** Waits until this many links have come up. */
export async function untilLinks({ links, events }: Party, count: number): Promise<Link> {
  while (links.length < count) await once(events, 'up');
  return links[count - 1]!;
}

export async function startServer(
  world: LinkWorld,
  handlers: Handlers,
  keys = [KEY],
): Promise<void> {
  const party = makeParty('entry-1', 'incarnation-1');
  const server = new LinkServer({
    ...party.options,
    keys,
    handlers,
    listen: '127.0.0.1:0',
    bundleVersion: () => 7,
    onBundleVersion: (_link, version) => party.events.emit('version', version),
  });
  const proxy = new LossyProxy({ to: await server.start() });
  await proxy.start();
  closeLater(() => server.close());
  closeLater(() => proxy.close());
  Object.assign(world, { server, proxy, serverParty: party });
}

/** Dials the server through the proxy. */
export function dial(
  world: LinkWorld,
  party: Party,
  overrides: Partial<DialerOptions> = {},
): Dialer {
  const dialer = new Dialer({
    ...party.options,
    handlers: {},
    address: world.proxy.address,
    backoff: { firstMs: 10, maxMs: 50 },
    bundleVersion: () => 9,
    onBundleVersion: (_link, version) => party.events.emit('version', version),
    ...overrides,
  });
  dialer.start();
  closeLater(() => dialer.close());
  return dialer;
}
