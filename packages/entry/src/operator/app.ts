/** The operators' API as a part of an entry: routes under /v1/operator, and this process's own reports. */
import type { Server } from '@hapi/hapi';
import { reportHandlers } from '@zincspan/core';
import type { EntryAppFactory, EntryDeps } from '../app.js';
import type { EntryBundles } from '../bundle/app.js';
import { BundleDesk, registerBundleRoutes } from './bundle-routes.js';
import { registerOperatorAuth } from './operator-auth.js';
import { readJobs, readProcesses, readTimeline, readUpstreams } from './report.js';

/** Makes the part. `bundles` is the entry's own. */
export function operatorApp(bundles: EntryBundles): EntryAppFactory {
  return (deps) => ({
    name: 'operator',
    handlers: reportHandlers({ ctx: deps.ctx, status: deps.status }),
    routes: (server) => registerOperatorApp(server, deps, bundles),
  });
}

/** Registers the routes and the authentication of operators. */
export function registerOperatorApp(server: Server, deps: EntryDeps, bundles: EntryBundles): void {
  registerOperatorAuth(server, { ctx: deps.ctx, operators: deps.settings.operators });
  registerBundleRoutes(server, new BundleDesk(deps, bundles));
  const options = { auth: 'operator' };
  const base = '/v1/operator';
  server.route([
    {
      method: 'GET',
      path: `${base}/timeline`,
      options,
      handler: (req) => readTimeline(deps, req.query),
    },
    { method: 'GET', path: `${base}/processes`, options, handler: () => readProcesses(deps) },
    { method: 'GET', path: `${base}/upstreams`, options, handler: () => readUpstreams(deps) },
    { method: 'GET', path: `${base}/jobs`, options, handler: (req) => readJobs(deps, req.query) },
  ]);
}
