/** A link server and dialers in one process, connected through a lossy proxy. */
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
import type { LinkLimits, LinkOptions } from './link-options.js';

export const LINK_KEY = 'a-link-key-for-the-tests-of-links';
export const OTHER_LINK_KEY = 'another-key-of-at-least-32-bytes!';
export const MAX_CALLS_IN_FLIGHT = 60;
export const MAX_UNAUTHENTICATED = 8;

/** Metrics that let a test wait for a counter. */
export class AwaitableMetrics extends CountingMetrics {
  readonly #events = new EventEmitter();

  override count(name: string, by = 1): void {
    super.count(name, by);
    this.#events.emit('counted');
  }

  async waitForCounter(name: string, least = 1): Promise<void> {
    while ((this.counters.get(name) ?? 0) < least) await once(this.#events, 'counted');
  }
}

export interface TestProcess {
  ctx: ProcessContext;
  metrics: AwaitableMetrics;
  /** Links that have come up, latest last. */
  links: Link[];
  events: EventEmitter;
  options: Omit<LinkOptions, 'handlers'>;
}

export class LinkWorld {
  server!: LinkServer;

  serverProcess!: TestProcess;

  dialer!: Dialer;

  dialerProcess!: TestProcess;

  proxy!: LossyProxy;

  inFlight: Promise<unknown> = Promise.resolve();
}

const cleanups: (() => unknown)[] = [];

After(async () => {
  await Promise.all(cleanups.splice(0).map((close) => close()));
});

export function closeAfterScenario(close: () => unknown): void {
  cleanups.push(close);
}

export function makeTestProcess(
  id: string,
  incarnation: string,
  key = LINK_KEY,
  bornAt = 0,
): TestProcess {
  const clock = new SystemClock();
  const hybrid = new HybridClock({ clock });
  const metrics = new AwaitableMetrics();
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
    limits: {
      maxCallsInFlight: MAX_CALLS_IN_FLIGHT,
      handshakeTimeoutMs: 400,
      maxUnauthenticated: MAX_UNAUTHENTICATED,
    },
    onPeer: (link: Link) => {
      links.push(link);
      events.emit('up');
    },
  };
  return { ctx, metrics, links, events, options };
}

/** Waits until `count` links have come up; returns the last of these. */
export async function waitForLinks({ links, events }: TestProcess, count: number): Promise<Link> {
  while (links.length < count) await once(events, 'up');
  return links[count - 1]!;
}

export async function startServer(
  world: LinkWorld,
  handlers: Handlers,
  { keys = [LINK_KEY], limits = {} }: { keys?: string[]; limits?: Partial<LinkLimits> } = {},
): Promise<void> {
  const testProcess = makeTestProcess('entry-1', 'incarnation-1');
  const server = new LinkServer({
    ...testProcess.options,
    keys,
    limits: { ...testProcess.options.limits, ...limits },
    handlers,
    listen: '127.0.0.1:0',
    bundleVersion: () => 7,
    onBundleVersion: (_link, version) => testProcess.events.emit('version', version),
  });
  const proxy = new LossyProxy({ to: await server.start() });
  await proxy.start();
  closeAfterScenario(() => server.close());
  closeAfterScenario(() => proxy.close());
  Object.assign(world, { server, proxy, serverProcess: testProcess });
}

/** Dials the server through the proxy. */
export function dial(
  world: LinkWorld,
  testProcess: TestProcess,
  overrides: Partial<DialerOptions> = {},
): Dialer {
  const dialer = new Dialer({
    ...testProcess.options,
    handlers: {},
    address: world.proxy.address,
    backoff: { firstMs: 10, maxMs: 50 },
    bundleVersion: () => 9,
    onBundleVersion: (_link, version) => testProcess.events.emit('version', version),
    ...overrides,
  });
  dialer.start();
  closeAfterScenario(() => dialer.close());
  return dialer;
}
