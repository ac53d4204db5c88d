/**
 * Asks runners to confirm their heartbeats before a guard uses them: a heartbeat may have been delayed until its sender had ended,
 * or come from a process that is no runner of this platform.
 */
import type { ProcessContext } from '@zincspan/core';
import type { RunListing, RunnerAnswer, RunnerApi, RunnerHeartbeat } from './runner-api.js';
import { incarnationId, type RunnerIdentity } from '../runner/incarnation-id.js';

/** Timeout of the call that confirms a heartbeat, in ms. */
const CONFIRM_TIMEOUT_MS = 600;

/** Heartbeats that are verified at the same time; further ones are ignored until one of these calls has ended. */
const MAX_PENDING_CALLS = 16;

/** Verifies heartbeats independently of each other, since a foreign one may name an address that never answers. */
export class HeartbeatVerifier {
  readonly #ctx: ProcessContext;

  readonly #runner: RunnerApi;

  /** What the runners that are being called are asked to confirm. */
  readonly #pending = new Set<string>();

  constructor({ ctx, runner }: { ctx: ProcessContext; runner: RunnerApi }) {
    this.#ctx = ctx;
    this.#runner = runner;
  }

  /**
   * True if the runner is the incarnation that the heartbeat names. Also false if this heartbeat is being verified already.
   * `isKnownId`: another incarnation was known under this id. Never rejects.
   */
  async confirm(
    heartbeat: RunnerHeartbeat,
    options: { term: number; isKnownId: boolean },
  ): Promise<boolean> {
    const key = JSON.stringify([incarnationId(heartbeat), heartbeat.address]);
    if (this.#pending.has(key)) return false;
    if (this.#pending.size >= MAX_PENDING_CALLS) {
      this.#ctx.metrics.count('runner.verification-skipped');
      return false;
    }
    this.#pending.add(key);
    try {
      return await this.#call(heartbeat, options);
    } catch (err) {
      this.#ctx.metrics.count('runner.verification-failed');
      this.#ctx.log.error(
        { err, runner: incarnationId(heartbeat) },
        'verifying a runner heartbeat failed',
      );
      return false;
    } finally {
      this.#pending.delete(key);
    }
  }

  async #call(
    heartbeat: RunnerHeartbeat,
    { term, isKnownId }: { term: number; isKnownId: boolean },
  ): Promise<boolean> {
    const answer = await this.#runner.poll(
      heartbeat,
      { term, confirmedEnd: 0, waitMs: 0 },
      { timeoutMs: CONFIRM_TIMEOUT_MS },
    );
    // A runner that refuses the term is alive all the same: the guard of a newer owner has called it. Under a known id a refusal
    // says nothing.
    const isRefusal = answer.outcome === 'refused' && !isKnownId;
    if (isRefusal || listingOf(answer, heartbeat) !== undefined) return true;
    this.#ctx.metrics.count('runner.unverified');
    const { outcome } = answer;
    const bornMs = outcome === 'ok' ? answer.bornMs : undefined;
    this.#ctx.log.info(
      { runner: incarnationId(heartbeat), outcome, bornMs },
      'runner heartbeat ignored: the runner did not confirm this incarnation',
    );
    return false;
  }
}

/** The listing, if this incarnation sent it: an answer under the runner's id doesn't tell. */
export function listingOf(
  answer: RunnerAnswer<RunListing>,
  { bornMs }: RunnerIdentity,
): (RunListing & { clockMs: number }) | undefined {
  return answer.outcome === 'ok' && answer.bornMs === bornMs ? answer : undefined;
}
