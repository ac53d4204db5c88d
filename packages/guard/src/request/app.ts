/** Handlers for requests. */
import { ProblemError, problem, type Handlers, type ProcessContext } from '@zincspan/core';
import type { RequestRunner } from './request-runner.js';

/** Registers `request.*`. */
export function requestApp({
  ctx,
  runner,
}: {
  ctx: ProcessContext;
  runner: RequestRunner;
}): Handlers {
  return {
    'request.run': (req) => runner.run(req),
    'request.settle': ({ requestId, incarnation }) => {
      if (incarnation !== ctx.self.incarnation) throw otherIncarnation(ctx.self.incarnation);
      return runner.settle(requestId);
    },
    'request.cancel': ({ requestId }) => {
      runner.cancel(requestId);
      return {};
    },
  };
}

function otherIncarnation(incarnation: string): ProblemError {
  return new ProblemError(
    problem('conflict', {
      detail: 'The guard that had the request was replaced; this one knows nothing of it.',
      remedy: 'Answer the caller that the outcome is unknown.',
      ran: 'unknown',
      facts: { incarnation },
    }),
  );
}
