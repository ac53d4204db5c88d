/** Answers of any process to operators' questions about it: its time line and its status. */
import type { Handlers } from '../message/peer.js';
import type { ProcessContext } from './context.js';

/** Handlers of `timeline.read` and `process.status`, the same in entries and guards. */
export function reportHandlers({
  ctx,
  status,
}: {
  ctx: Pick<ProcessContext, 'timeline'>;
  status: () => Record<string, unknown>;
}): Handlers {
  return {
    'timeline.read': (query) => ({
      events: ctx.timeline.read(query),
      dropped: ctx.timeline.dropped,
    }),
    'process.status': () => ({ status: status() }),
  };
}
