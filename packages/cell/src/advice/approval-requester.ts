/** Sends approval requests to the placement advisor one at a time: it handles a machine's calls in turn and refuses long queues. */
import type { ProcessContext } from '@zincspan/core';
import type { ApprovalCache } from './approval-cache.js';
import type { Advisor } from './advisor.js';
import { runnerIdOf } from '../runner/incarnation-id.js';

/** Covers the advisor's decision, its share for each runner, and the calls queued ahead of this one. */
const ADVISOR_TIMEOUT_MS = 5000;

/** Delay after a failed request: the advisor may still be working on it. */
const RETRY_DELAY_MS = 300;

/** Asks which of these runners may run the step. */
export interface ApprovalRequest {
  step: string;
  runners: readonly string[];
}

/** One instance per ownership term. */
export class ApprovalRequester {
  readonly #ctx: ProcessContext;

  readonly #advisor: Advisor;

  readonly #cache: ApprovalCache;

  readonly #onUpdate: () => void;

  #inFlight = false;

  #retryAt = -Infinity;

  constructor({
    ctx,
    advisor,
    cache,
    onUpdate,
  }: {
    ctx: ProcessContext;
    advisor: Advisor;
    cache: ApprovalCache;
    /** Called after the cache has changed. */
    onUpdate: () => void;
  }) {
    this.#ctx = ctx;
    this.#advisor = advisor;
    this.#cache = cache;
    this.#onUpdate = onUpdate;
  }

  /**
   * Takes all requests open now, the most urgent first, and sends the first unless one is in flight or has just failed. Requests
   * are not queued: those that the next call doesn't repeat are dropped.
   */
  requestFirst(requests: readonly ApprovalRequest[]): void {
    const [first] = requests;
    if (first === undefined || this.#inFlight || this.#ctx.clock.now() < this.#retryAt) return;
    this.#inFlight = true;
    void this.#send(first).finally(() => {
      this.#inFlight = false;
    });
  }

  async #send({ step, runners }: ApprovalRequest): Promise<void> {
    const sentAt = this.#ctx.clock.now();
    // The advisor identifies runners by id; its tickets are valid for their current instances.
    const instances = new Map(runners.map((instance) => [runnerIdOf(instance), instance]));
    const ids = [...instances.keys()];
    const result = await this.#advisor.advise(step, ids, { timeoutMs: ADVISOR_TIMEOUT_MS });
    const tookMs = Math.round(this.#ctx.clock.now() - sentAt);
    this.#ctx.metrics.timing('advice', tookMs);
    if (result.outcome === 'failed') {
      this.#ctx.metrics.count('advice.failed');
      this.#ctx.log.warn(
        { step, tookMs, detail: result.detail },
        'placement advisor request failed',
      );
      this.#retryAt = this.#ctx.clock.now() + RETRY_DELAY_MS;
      return;
    }
    const { validMs } = result;
    const approvals = result.approvals.flatMap(({ runner, ticket }) => {
      const instance = instances.get(runner);
      return instance === undefined ? [] : [{ runner: instance, ticket }];
    });
    this.#cache.record(step, { asked: runners, approvals, validMs, sentAt });
    this.#ctx.log.info(
      { step, asked: runners.length, approved: approvals.length, validMs, tookMs },
      'placement advisor answered',
    );
    // Deferred to the next turn: no new request may be sent until this one has returned.
    setImmediate(this.#onUpdate);
  }
}
