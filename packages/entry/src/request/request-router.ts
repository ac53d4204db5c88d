/** Takes one request to its end: chooses runners, attempts, retries and hedges within the budget. */
import {
  ProblemError,
  type Problem,
  type ProcessContext,
  type Ran,
  type RequestEnd,
} from '@zincspan/core';
import type { UpstreamDirectory } from '../membership/upstream-directory.js';
import { runAttempt, type Answer, type AttemptEnd, type AttemptTarget } from './attempt.js';
import { firstToAnswer, type StartedAttempt } from './hedge.js';
import type { RequestLife } from './request-life.js';
import { toRequestRun, type RequestOrder } from './request-order.js';
import type { ChosenRunner, RunnerPool } from './runner-pool.js';
import { judge, lifeOver, mergeRan } from './verdict.js';

/** How one request is taken care of. */
export interface RouteOptions {
  life: RequestLife;
  /** Called before each attempt is sent; what it throws ends the request, unsent. */
  beforeSend?: (target: AttemptTarget) => Promise<void>;
  /** A caller with a key of its own asks again, so an attempt isn't cancelled when it leaves. */
  keepRunning?: boolean;
}

/** What the router works with. */
export interface RequestRouterOptions {
  ctx: ProcessContext;
  upstreams: UpstreamDirectory;
  pool: RunnerPool;
}

/** Idempotent requests wait this long for a lost link to come back before they are tried elsewhere. */
const IDEMPOTENT_SETTLE_MS = 200;

const SERVER_ERROR = 500;

/** Routes requests to runners. */
export class RequestRouter {
  readonly #ctx: ProcessContext;

  readonly #upstreams: UpstreamDirectory;

  readonly #pool: RunnerPool;

  constructor({ ctx, upstreams, pool }: RequestRouterOptions) {
    this.#ctx = ctx;
    this.#upstreams = upstreams;
    this.#pool = pool;
  }

  /** The runner's answer. Throws ProblemError with a truthful `ran` over all attempts. */
  async run(order: RequestOrder, options: RouteOptions): Promise<Answer> {
    const { account, kind } = order;
    const { life } = options;
    const tried = new Set<string>();
    let ran: Ran = 'not-run';
    let failed: Problem | undefined;
    this.#pool.firstAttempt(account);
    for (;;) {
      const choice = this.#pool.choose(kind, life.timeLeftMs(), tried);
      if (choice.type === 'refused') throw withRan(failed ?? choice.problem, ran);
      if (failed !== undefined && !this.#pool.mayRetry(account)) throw withRan(failed, ran);
      const { end, runner } = await this.#attempt(order, choice.runner, options, tried);
      const verdict = judge(end, { kind, runner, over: life.over });
      if (verdict.type === 'answer') return verdict.answer;
      ran = mergeRan(ran, verdict.problem.ran);
      this.#note(order, runner, end);
      if (verdict.type === 'fail') throw withRan(verdict.problem, ran);
      if (life.over !== undefined) throw new ProblemError(lifeOver(life.over, ran));
      failed = verdict.problem;
    }
  }

  /** One attempt, with a second copy elsewhere if it takes longer than most of its kind. */
  async #attempt(
    order: RequestOrder,
    runner: ChosenRunner,
    options: RouteOptions,
    tried: Set<string>,
  ): Promise<{ end: AttemptEnd; runner: string }> {
    const { kind, account } = order;
    const { life } = options;
    tried.add(runner.id);
    const { id: guard, incarnation } = runner.peer.process;
    await options.beforeSend?.({ guard, incarnation });
    if (life.over !== undefined) {
      return { end: { type: 'life-over', sent: false }, runner: runner.id };
    }
    const first = this.#start(order, runner, options);
    const delayMs = this.#pool.hedgeDelayMs(kind, life.timeLeftMs());
    if (delayMs === undefined) return { end: await first.end, runner: runner.id };
    return firstToAnswer(first, {
      delayMs,
      life,
      second: () => {
        const choice = this.#pool.choose(kind, life.timeLeftMs(), tried);
        if (choice.type === 'refused' || !this.#pool.mayHedge(account, kind)) return undefined;
        tried.add(choice.runner.id);
        this.#ctx.metrics.count('request.hedged');
        return this.#start(order, choice.runner, options);
      },
    });
  }

  #start(
    order: RequestOrder,
    { id, peer }: ChosenRunner,
    { life, keepRunning = false }: RouteOptions,
  ): StartedAttempt {
    let cancelled = false;
    const cancel = (): void => {
      if (cancelled) return;
      cancelled = true;
      peer.call('request.cancel', { requestId: order.requestId }).catch(() => undefined);
    };
    const settleWithinMs = order.kind.idempotent ? IDEMPOTENT_SETTLE_MS : undefined;
    this.#pool.started(id);
    const end = runAttempt(this.#upstreams, peer, toRequestRun(order, life), {
      life,
      ...(settleWithinMs === undefined ? {} : { settleWithinMs }),
    }).then((attemptEnd) => {
      this.#pool.ended(id, toRequestEnd(order, attemptEnd, cancelled));
      if (attemptEnd.type === 'life-over' && !keepRunning) cancel();
      return attemptEnd;
    });
    return { runner: id, end, cancel };
  }

  #note({ requestId }: RequestOrder, runner: string, end: AttemptEnd): void {
    this.#ctx.metrics.count(`request.attempt.${end.type}`);
    if (end.type === 'lost') {
      this.#ctx.timeline.record('request.lost', requestId, { runner, why: end.why });
    } else if (end.type === 'barred') {
      this.#ctx.timeline.record('request.settled', requestId, { runner, state: 'never-seen' });
    }
  }
}

/** What an attempt's end says of its runner. */
function toRequestEnd({ kind }: RequestOrder, end: AttemptEnd, cancelled: boolean): RequestEnd {
  const load = 'load' in end ? end.load : undefined;
  if (end.type === 'answered') {
    const how = end.answer.status >= SERVER_ERROR ? 'failed' : 'answered';
    return { kind: kind.name, how, ms: end.serviceMs, load };
  }
  const given = cancelled || end.type === 'life-over';
  const busy = end.type === 'refused' && end.problem.kind !== 'upstream-failed';
  return { kind: kind.name, how: given || busy ? 'abandoned' : 'failed', load };
}

function withRan(cause: Problem, ran: Ran): ProblemError {
  return new ProblemError({ ...cause, ran: mergeRan(cause.ran, ran) });
}
