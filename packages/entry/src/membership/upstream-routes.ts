/**
 * POST and DELETE /v1/upstreams, for upstreams without a guard. The bearer token is derived from a link key
 * (`upstreamToken`), so that announcing works before any bundle is in force and with no secret but the links' own.
 */
import type { Server } from '@hapi/hapi';
import {
  ProblemError,
  nameSchema,
  problem,
  upstreamSchema,
  type ProcessContext,
} from '@zincspan/core';
import type { UnguardedUpstreams } from './unguarded-upstreams.js';

/** Adds the routes. */
export function registerUpstreamRoutes(
  server: Server,
  { ctx, unguarded }: { ctx: ProcessContext; unguarded: UnguardedUpstreams },
): void {
  const options = { auth: 'upstream' };
  server.route([
    {
      method: 'POST',
      path: '/v1/upstreams',
      options,
      handler: (req) => {
        const parsed = upstreamSchema.safeParse(req.payload);
        if (!parsed.success) throw badUpstream(parsed.error.message);
        if (unguarded.announce(parsed.data)) noteUnguarded(ctx, parsed.data.id);
        throw needsGuard(parsed.data.id);
      },
    },
    {
      method: 'DELETE',
      path: '/v1/upstreams/{id}',
      options,
      handler: (req, h) => {
        const id = nameSchema.safeParse(req.params.id);
        if (id.success) unguarded.withdraw(id.data);
        return h.response().code(204);
      },
    },
  ]);
}

function noteUnguarded({ timeline, metrics, log }: ProcessContext, upstream: string): void {
  timeline.record('upstream.unguarded', upstream);
  metrics.count('upstream.unguarded');
  log.warn({ upstream }, 'an upstream without a guard announced itself');
}

/** Nothing but a guard can vouch that a request or task ran at most once. */
function needsGuard(id: string): ProblemError {
  return new ProblemError(
    problem('not-allowed', {
      detail: `Upstream ${id} has no guard. It is listed, but gets no work.`,
      remedy: 'Run zincspand with role "guard" beside it, and let it announce itself there.',
    }),
  );
}

function badUpstream(detail: string): ProblemError {
  return new ProblemError(
    problem('bad-input', {
      detail: `The body is no upstream: ${detail}`,
      remedy: 'Send a runner or a worker as the API page describes them.',
    }),
  );
}
