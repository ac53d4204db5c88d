/** The request path as a part of an entry. */
import type { EntryApp, EntryDeps } from '../app.js';
import { RequestAdmission } from './admission.js';
import { RequestIds } from './request-ids.js';
import { registerRequestRoute } from './request-route.js';
import { RequestRouter } from './request-router.js';
import { TokenRetryGate } from './retry-gate.js';
import { LeastLoadedChooser } from './runner-chooser.js';

/** Makes the request path. */
export function requestApp(deps: EntryDeps): EntryApp {
  const { ctx, settings, bundles, upstreams } = deps;
  const others = settings.entries.filter(({ id }) => id !== settings.id).length;
  const admission = new RequestAdmission({
    most: settings.limits.requestsInProgress,
    entries: others + 1,
  });
  const ids = new RequestIds({ incarnation: ctx.self.incarnation });
  const router = new RequestRouter({
    ctx,
    bundles,
    upstreams,
    chooser: new LeastLoadedChooser(),
    retries: new TokenRetryGate(),
  });
  return {
    name: 'request',
    routes: (server) =>
      registerRequestRoute(server, { ctx, settings, bundles, admission, router, ids }),
    status: () => ({ inProgress: admission.inProgress }),
  };
}
