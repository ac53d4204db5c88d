/** GET /health and /ready, for the balancer in front of the entries. */
import type { Server } from '@hapi/hapi';
import { ProblemError, problem } from '@zincspan/core';
import type { BundleSource } from '../bundle-source.js';

const RETRY_AFTER_MS = 1000;

/** Adds the routes. An entry is ready from its first bundle until it drains. */
export function registerHealthRoutes(
  server: Server,
  { bundles, isDraining }: { bundles: BundleSource; isDraining: () => boolean },
): void {
  server.route({ method: 'GET', path: '/health', handler: () => ({ status: 'up' }) });
  server.route({
    method: 'GET',
    path: '/ready',
    handler: () => {
      if (isDraining()) throw notReady('draining', 'This entry is draining.');
      if (bundles.current === undefined) {
        throw notReady('overloaded', 'No configuration bundle is in force here yet.');
      }
      return { status: 'ready', bundleVersion: bundles.current.head.version };
    },
  });
}

function notReady(kind: 'draining' | 'overloaded', detail: string): ProblemError {
  return new ProblemError(
    problem(kind, { detail, remedy: 'Use another entry.', retryAfterMs: RETRY_AFTER_MS }),
  );
}
