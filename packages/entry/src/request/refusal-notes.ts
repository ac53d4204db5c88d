/** Refused requests on the time line: every one is counted, but a burst becomes one event a second. */
import type { Problem, ProcessContext } from '@zincspan/core';
import type { RequestOrder } from './request-order.js';

const EVERY_MS = 1000;
const MAX_REMEMBERED = 10_000;

interface Noted {
  at: number;
  /** Refusals since then that have no event of their own. */
  more: number;
}

/** Notes refusals per account, kind of request and kind of problem. */
export class RefusalNotes {
  readonly #ctx: ProcessContext;

  readonly #noted = new Map<string, Noted>();

  constructor({ ctx }: { ctx: ProcessContext }) {
    this.#ctx = ctx;
  }

  note(
    { account, kind, requestId }: Pick<RequestOrder, 'account' | 'kind' | 'requestId'>,
    cause: Problem,
  ): void {
    const { metrics, timeline, clock } = this.#ctx;
    metrics.count('request.refused', 1, { kind: cause.kind });
    const name = `${account}/${kind.name}/${cause.kind}/${cause.ran}`;
    const noted = this.#noted.get(name);
    const now = clock.now();
    if (noted !== undefined && now - noted.at < EVERY_MS) {
      noted.more += 1;
      return;
    }
    if (this.#noted.size >= MAX_REMEMBERED) this.#noted.clear();
    this.#noted.set(name, { at: now, more: 0 });
    timeline.record('request.refused', requestId, {
      account,
      request: kind.name,
      problem: cause.kind,
      ran: cause.ran,
      moreBefore: noted?.more ?? 0,
    });
  }
}
