/** Hosts many guards in one process of the bench, each with a worker stand-in of its own. */
import { setTimeout as sleep } from 'node:timers/promises';
import {
  BundleKeeper,
  BundleSync,
  guardSettingsSchema,
  quietContext,
  reportHandlers,
  type GuardSettings,
} from '@zincspan/core';
import { Guard } from '@zincspan/guard';
import { totalLinkTraffic, type Traffic } from '@zincspan/link';
import { startWorker } from '@zincspan/stand-ins';
import { answerOrders, hostArgument } from './child-host.js';

/** Settings that all hosted guards share. */
export type SharedGuardSettings = Pick<
  GuardSettings,
  'failureDomain' | 'linkKeys' | 'operators' | 'entries' | 'heartbeat' | 'announceTtlMs'
>;

/** What the bench asks of a host. */
export type GuardHostOrder = { type: 'add'; ids: string[] } | { type: 'figures' };

/** Totals over the hosted guards, and when the last of them took its newest bundle. */
export interface GuardHostFigures {
  traffic: Traffic[];
  lowestVersion: number;
  lastTakenAt: number;
}

interface Hosted {
  guard: Guard;
  keeper: BundleKeeper;
  ctx: ReturnType<typeof quietContext>;
}

/** Handshakes at once: an entry accepts so many unproved connections only. */
const BATCH = 10;
const RACK_SIZE = 30;
const LOOK_MS = 20;

const shared = hostArgument<SharedGuardSettings>();
const hosted: Hosted[] = [];
let lastTakenAt = 0;

async function addGuard(id: string): Promise<void> {
  const number = Number(id);
  const rack = Math.floor(number / RACK_SIZE);
  const { worker } = await startWorker({
    id: `worker-${id}`,
    rack: `rack-${rack}`,
    rackPosition: rack,
  });
  const settings = guardSettingsSchema.parse({
    ...shared,
    role: 'guard',
    id: `guard-${id}`,
    listenHttp: '127.0.0.1:0',
    upstream: worker,
  });
  const each = createHosted(settings);
  hosted.push(each);
  await each.guard.start();
  while (!isReady(each.guard)) await sleep(LOOK_MS);
}

/** As the daemon makes it. */
function createHosted(settings: GuardSettings): Hosted {
  const { id, failureDomain, operators } = settings;
  const ctx = quietContext({ id, role: 'guard', failureDomain });
  const keeper = new BundleKeeper({ operators });
  keeper.subscribe(() => {
    lastTakenAt = Date.now();
  });
  const sync = new BundleSync({ ctx, keeper });
  const guard: Guard = new Guard({
    ctx,
    settings,
    handlers: { ...sync.handlers, ...reportHandlers({ ctx, status: () => guard.status() }) },
    bundles: keeper,
    bundleVersion: () => keeper.version,
    onBundleVersion: (peer, version) => sync.onVersion(peer, version),
    onPeer: (peer) => sync.onPeer(peer),
  });
  return { guard, keeper, ctx };
}

function isReady(guard: Guard): boolean {
  const { state, entriesLinked } = guard.status();
  return state === 'ready' && entriesLinked === shared.entries.length;
}

async function add(ids: string[]): Promise<void> {
  for (let start = 0; start < ids.length; start += BATCH) {
    await Promise.all(ids.slice(start, start + BATCH).map(addGuard));
  }
}

function figures(): GuardHostFigures {
  return {
    traffic: hosted.map(({ ctx }) => totalLinkTraffic(ctx)),
    lowestVersion: Math.min(...hosted.map(({ keeper }) => keeper.version)),
    lastTakenAt,
  };
}

answerOrders<GuardHostOrder, GuardHostFigures>(async (order) => {
  if (order.type === 'add') await add(order.ids);
  return figures();
});
