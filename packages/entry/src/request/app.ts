/** The request path as a part of an entry. */
import { AccountLimiter } from '@zincspan/core';
import type { EntryApp, EntryDeps } from '../app.js';
import { KeyRows } from './key-rows.js';
import { KeySweeper } from './key-sweeper.js';
import { KindDirectory } from './kind-directory.js';
import { KeyedRequests } from './keyed-requests.js';
import { RefusalNotes } from './refusal-notes.js';
import { RequestIds } from './request-ids.js';
import { registerRequestRoute } from './request-route.js';
import { RequestRouter } from './request-router.js';
import { RunnerPool } from './runner-pool.js';

const REVIEW_EVERY_MS = 100;

/** Makes the request path. */
export function requestApp(deps: EntryDeps): EntryApp {
  const { ctx, settings, bundles, upstreams, mesh, table } = deps;
  const entries = (): number => mesh.peers().length + 1;
  const most = settings.limits.requestsInProgress;
  const limiter = new AccountLimiter({ entries, most, capacity: most });
  const followAccounts = (): void => limiter.setAccounts(bundles.current?.bundle.accounts ?? []);
  bundles.subscribe(followAccounts);
  followAccounts();
  const ids = new RequestIds({ incarnation: ctx.self.incarnation });
  const pool = new RunnerPool({ ctx, bundles, upstreams, entries });
  const router = new RequestRouter({ ctx, upstreams, pool });
  const keyed = new KeyedRequests({ ctx, upstreams, router, rows: new KeyRows({ table }) });
  const isMyTurn = (): boolean => mesh.peers().every(({ process }) => process.id > settings.id);
  const sweeper = new KeySweeper({ ctx, table, isMyTurn });
  const kinds = new KindDirectory({ bundles });
  const refusals = new RefusalNotes({ ctx });
  const followCapacity = (): void => limiter.setCapacity(pool.capacity());
  // At once, or requests right after a runner came would still be held to what there was without it.
  upstreams.onChange(followCapacity);
  bundles.subscribe(followCapacity);
  let timer: NodeJS.Timeout | undefined;
  return {
    name: 'request',
    routes: (server) =>
      registerRequestRoute(server, {
        ctx,
        settings,
        kinds,
        limiter,
        router,
        keyed,
        ids,
        refusals,
      }),
    start: () => {
      sweeper.start();
      timer = setInterval(() => {
        pool.checkSilence();
        followCapacity();
        ctx.metrics.gauge('request.in-progress', limiter.inProgress());
      }, REVIEW_EVERY_MS);
    },
    drain: () => keyed.whenWritten(),
    stop: async () => {
      clearInterval(timer);
      sweeper.stop();
      await keyed.whenWritten();
    },
    status: () => ({ inProgress: limiter.inProgress(), ejected: pool.ejected() }),
  };
}
