/** Answers of any process to operators' questions about it: its time line and its status. */
import type { Handlers } from '../message/peer.js';
import { MAX_BODY_BYTES } from '../message/message.js';
import type { TimelineEvent } from '../timeline/event.js';
import type { ProcessContext } from './context.js';

/** Most bytes of events in one answer, as JSON; a frame must hold them, with room for the rest. */
const MAX_EVENT_BYTES = MAX_BODY_BYTES * 0.8;

/** Handlers of `timeline.read` and `process.status`, the same in entries and guards. */
export function reportHandlers({
  ctx,
  status,
}: {
  ctx: Pick<ProcessContext, 'timeline'>;
  status: () => Record<string, unknown>;
}): Handlers {
  return {
    'timeline.read': (query) => {
      const events = ctx.timeline.read(query);
      const sent = latestWithin(events, MAX_EVENT_BYTES);
      return { events: sent, dropped: ctx.timeline.dropped + events.length - sent.length };
    },
    'process.status': () => ({ status: status() }),
  };
}

/** The latest events that fit in so many bytes of JSON. */
function latestWithin(events: TimelineEvent[], limit: number): TimelineEvent[] {
  let bytes = 0;
  const tooMany = events.findLastIndex((event) => {
    bytes += Buffer.byteLength(JSON.stringify(event));
    return bytes > limit;
  });
  return events.slice(tooMany + 1);
}
