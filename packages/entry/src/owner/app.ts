/** Ownership of failure domains, jobs and claims as one part of an entry. */
import { createScheduler } from '@zincspan/core';
import type { EntryApp, EntryAppFactory, EntryDeps } from '../app.js';
import { ClaimService } from '../claim/claim-service.js';
import { ClaimStore } from '../claim/claim-store.js';
import { registerClaimRoutes } from '../claim/routes.js';
import { EndedSweeper } from '../job/ended-sweeper.js';
import { JobService } from '../job/job-service.js';
import { JobStore } from '../job/job-store.js';
import { KnownWorkers } from '../job/known-workers.js';
import { QueueCounts } from '../job/queue-counts.js';
import { RowWatch } from '../job/row-watch.js';
import { registerJobRoutes } from '../job/routes.js';
import type { AttemptLimits } from './attempt-runner.js';
import type { SchedulerFactory } from './domain-owner-options.js';
import { ownerHandlers } from './handlers.js';
import { Owners } from './owners.js';
import { SystemTimers, type Timers } from './timers.js';
import { WriteQueue } from './write-queue.js';

/** Variations of the part. */
export interface OwnerAppOptions {
  createScheduler?: SchedulerFactory;
  timers?: Timers;
  limits?: AttemptLimits;
  /** An entry can't say "never fits" before it has been up for this long, in ms. */
  settleMs?: number;
}

/** Makes the part that owns failure domains and serves jobs and claims. */
export function ownerApp(options: OwnerAppOptions = {}): EntryAppFactory {
  return (deps) => createOwnerApp(deps, options);
}

function createOwnerApp(
  deps: EntryDeps,
  { timers = new SystemTimers(), settleMs, ...options }: OwnerAppOptions,
): EntryApp {
  const { ctx, settings, table, bundles, upstreams, mesh } = deps;
  const watch = new RowWatch();
  const knownWorkers = new KnownWorkers({
    directory: upstreams,
    clock: ctx.clock,
    ...(settleMs === undefined ? {} : { settleMs }),
  });
  const owners = new Owners({
    ctx,
    settings,
    table,
    bundles,
    directory: upstreams,
    mesh,
    knownWorkers,
    watch,
    createScheduler,
    timers,
    ...options,
  });
  const writer = new WriteQueue({ table, metrics: ctx.metrics });
  const jobs = new JobStore({ table, writer });
  const claims = new ClaimStore({ table, writer });
  const { failureDomains } = owners;
  const [first = ''] = failureDomains;
  const { keepEndedMs } = settings;
  const isMyTurn = (): boolean => owners.local(first) !== undefined;
  const sweeper = new EndedSweeper({ ctx, table, timers, keepEndedMs, isMyTurn });
  const counts = new QueueCounts({ store: jobs, clock: ctx.clock, failureDomains });
  const shared = { ctx, bundles, owners };
  const jobService = new JobService({ ...shared, store: jobs, claims, counts });
  const claimService = new ClaimService({ ...shared, knownWorkers, store: claims });
  return {
    name: 'owner',
    handlers: ownerHandlers(owners),
    routes: (server) => {
      const waiting = { ctx, owners, watch, timers };
      registerJobRoutes(server, { ...waiting, service: jobService, store: jobs });
      registerClaimRoutes(server, { ...waiting, service: claimService, store: claims });
    },
    start: () => {
      owners.start();
      sweeper.start();
    },
    drain: () => owners.handOver(),
    stop: () => {
      sweeper.stop();
      owners.stop();
    },
    status: () => owners.status(),
  };
}
