/**
 * A caller's own retry of a non-idempotent request, by `Idempotency-Key`. Before each attempt a row claims the key
 * for one request id at one guard incarnation; a repeat is settled there. Only a request that this guard surely never
 * ran is sent again, after the row was changed over to the new attempt.
 */
import { ProblemError, problem, type Problem, type ProcessContext } from '@zincspan/core';
import type { UpstreamDirectory } from '../membership/upstream-directory.js';
import { settleAttempt, type Answer, type AttemptEnd } from './attempt.js';
import { answeredRow, keyRowKey, orderDigest, type KeyRow } from './key-row.js';
import { KeyRowChanged, type KeyRows, type ReadKeyRow } from './key-rows.js';
import type { RequestLife } from './request-life.js';
import type { RequestOrder } from './request-order.js';
import type { RequestRouter } from './request-router.js';
import { lifeOver } from './verdict.js';

/** An answer and the id of the request that it belongs to: a repeat gets the first one's. */
export interface KeyedAnswer {
  answer: Answer;
  requestId: string;
}

/** What keyed requests work with. */
export interface KeyedRequestsOptions {
  ctx: ProcessContext;
  upstreams: UpstreamDirectory;
  router: RequestRouter;
  rows: KeyRows;
}

/** What a row says of its request. `free`: it surely didn't run and never will. */
type Settled =
  | { type: 'answer'; keyed: KeyedAnswer }
  | { type: 'fail'; problem: Problem; final: boolean }
  | { type: 'free' };

type ClaimedRow = Extract<KeyRow, { state: 'claimed' }>;

const RETRY_AFTER_MS = 1000;

/** Runs requests with keys at most once each. */
export class KeyedRequests {
  readonly #ctx: ProcessContext;

  readonly #upstreams: UpstreamDirectory;

  readonly #router: RequestRouter;

  readonly #rows: KeyRows;

  readonly #unwritten = new Set<Promise<unknown>>();

  constructor({ ctx, upstreams, router, rows }: KeyedRequestsOptions) {
    this.#ctx = ctx;
    this.#upstreams = upstreams;
    this.#router = router;
    this.#rows = rows;
  }

  /** The answer of the first request with this key. Throws ProblemError; `ran` speaks of all tries with the key. */
  async run(idempotencyKey: string, order: RequestOrder, life: RequestLife): Promise<KeyedAnswer> {
    const key = keyRowKey(order.account, idempotencyKey);
    const digest = orderDigest(order);
    for (;;) {
      const { version, row } = await this.#rows.read(key, life);
      if (row !== undefined && row.digest !== digest) throw keyReused();
      const settled: Settled = row === undefined ? { type: 'free' } : await this.#settle(row, life);
      if (row !== undefined) this.#noteSettled(key, version, row, settled);
      if (settled.type === 'answer') return settled.keyed;
      if (settled.type === 'fail') throw new ProblemError(settled.problem);
      try {
        return await this.#claimAndRun(key, { version, row }, { order, digest, life });
      } catch (err) {
        // Another try with this key came between: its row is settled next.
        if (!(err instanceof KeyRowChanged)) throw err;
      }
    }
  }

  /** Resolves once all ends that were answered are written down too, or couldn't be. */
  async whenWritten(): Promise<void> {
    await Promise.all(this.#unwritten);
  }

  async #claimAndRun(
    key: string,
    known: ReadKeyRow,
    { order, digest, life }: { order: RequestOrder; digest: string; life: RequestLife },
  ): Promise<KeyedAnswer> {
    const { requestId } = order;
    let { version } = known;
    let claim: ClaimedRow | undefined;
    try {
      const answer = await this.#router.run(order, {
        life,
        keepRunning: true,
        beforeSend: async ({ guard, incarnation }) => {
          const at = this.#ctx.clock.wall();
          const next: ClaimedRow = { state: 'claimed', digest, requestId, guard, incarnation, at };
          version = await this.#rows.write(key, version, next, life);
          claim = next;
        },
      });
      if (claim !== undefined) this.#writeLater(key, version, answeredRow(claim, answer));
      return { answer, requestId };
    } catch (err) {
      const latest = claim ?? known.row;
      if (!(err instanceof ProblemError) || latest === undefined) throw err;
      await this.#noteFailure(key, version, { latest, cause: err.problem, life });
      throw err;
    }
  }

  /**
   * Frees the key if its request didn't run, before the caller is told so: were another try to have changed the row
   * since it was read, that one might have run. A final end is written down later.
   */
  async #noteFailure(
    key: string,
    version: number,
    { latest, cause, life }: { latest: KeyRow; cause: Problem; life: RequestLife },
  ): Promise<void> {
    if (cause.ran === 'not-run') {
      await this.#rows.write(key, version, toFree(latest), life);
    } else if (cause.kind === 'upstream-lost' || cause.kind === 'upstream-failed') {
      this.#writeLater(key, version, toFailed(latest, cause));
    }
  }

  async #settle(row: KeyRow, life: RequestLife): Promise<Settled> {
    if (row.state === 'free') return { type: 'free' };
    if (row.state === 'failed') return { type: 'fail', problem: row.problem, final: true };
    const kept = row.state === 'answered' ? keptAnswer(row) : undefined;
    if (kept !== undefined) return { type: 'answer', keyed: kept };
    const { requestId, guard, incarnation } = row;
    const end = await settleAttempt(this.#upstreams, requestId, { guard, incarnation }, { life });
    return row.state === 'answered' ? judgeLong(end, requestId) : judgeClaim(end, requestId, life);
  }

  #noteSettled(key: string, version: number, row: KeyRow, settled: Settled): void {
    const { metrics, timeline } = this.#ctx;
    metrics.count(`request.key.${settled.type}`);
    timeline.record('request.settled', row.requestId, { by: 'key', state: settled.type });
    if (row.state !== 'claimed') return;
    if (settled.type === 'answer') {
      this.#writeLater(key, version, answeredRow(row, settled.keyed.answer));
    } else if (settled.type === 'fail' && settled.final) {
      this.#writeLater(key, version, toFailed(row, settled.problem));
    }
  }

  #writeLater(key: string, version: number, row: KeyRow): void {
    const writing = this.#rows.writeLater(key, version, row).then((written) => {
      this.#unwritten.delete(writing);
      if (!written) this.#ctx.metrics.count('request.key.unwritten');
    });
    this.#unwritten.add(writing);
  }
}

function keptAnswer(row: Extract<KeyRow, { state: 'answered' }>): KeyedAnswer | undefined {
  const { requestId, status, contentType, body } = row;
  if (body === undefined) return undefined;
  const bytes = new Uint8Array(Buffer.from(body, 'base64'));
  return { answer: { status, contentType, body: bytes }, requestId };
}

/** What the guard says of a claimed request. */
function judgeClaim(end: AttemptEnd, requestId: string, life: RequestLife): Settled {
  switch (end.type) {
    case 'answered':
      return { type: 'answer', keyed: { answer: end.answer, requestId } };
    case 'barred':
      return { type: 'free' };
    case 'refused':
      if (end.problem.ran === 'not-run') return { type: 'free' };
      return { type: 'fail', problem: end.problem, final: true };
    case 'lost': {
      const final = end.why === 'guard-restarted' || end.why === 'forgotten';
      return { type: 'fail', problem: unknownOutcome(end.why, final), final };
    }
    default:
      return { type: 'fail', problem: lifeOver(life.over, 'unknown'), final: false };
  }
}

/** What the guard says of a request that was answered, but too long for its row. */
function judgeLong(end: AttemptEnd, requestId: string): Settled {
  if (end.type === 'answered') return { type: 'answer', keyed: { answer: end.answer, requestId } };
  const cause = problem('upstream-lost', {
    detail: 'The request ran and was answered, but its answer is no longer kept.',
    remedy: 'Read the effect back from the service; do not send it again.',
    ran: 'ran',
  });
  return { type: 'fail', problem: cause, final: false };
}

function unknownOutcome(why: string, final: boolean): Problem {
  return problem('upstream-lost', {
    detail: `What became of the first request with this key can't be learned (${why}).`,
    remedy: 'It may have run: check its effect before sending it with a new key.',
    ran: 'unknown',
    ...(final ? {} : { retryAfterMs: RETRY_AFTER_MS }),
  });
}

function toFailed({ digest, requestId, guard, incarnation, at }: KeyRow, cause: Problem): KeyRow {
  return { state: 'failed', digest, requestId, guard, incarnation, at, problem: cause };
}

function toFree({ digest, requestId, guard, incarnation, at }: KeyRow): KeyRow {
  return { state: 'free', digest, requestId, guard, incarnation, at };
}

function keyReused(): ProblemError {
  return new ProblemError(
    problem('key-reused', {
      detail: 'This Idempotency-Key was used for another request.',
      remedy: 'Give each request a key of its own, and repeat a request unchanged.',
    }),
  );
}
