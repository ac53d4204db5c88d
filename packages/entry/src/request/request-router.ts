/** Takes one request to its end: chooses runners, attempts, retries within the budget. */
import {
  ProblemError,
  problem,
  type Kind,
  type Peer,
  type Problem,
  type ProcessContext,
  type Ran,
  type RequestRun,
} from '@zincspan/core';
import type { BundleSource } from '../bundle-source.js';
import type { UpstreamDirectory } from '../membership/upstream-directory.js';
import { runAttempt, type Answer, type AttemptEnd, type AttemptTarget } from './attempt.js';
import type { RequestLife } from './request-life.js';
import type { RetryGate } from './retry-gate.js';
import type { RunnerChooser, RunnerMember } from './runner-chooser.js';
import { judge, lifeOver, mergeRan } from './verdict.js';

/** A request as its caller sent it. */
export interface RequestOrder {
  requestId: string;
  account: string;
  kind: Kind;
  contentType: string;
  body: RequestRun['body'];
}

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
  bundles: BundleSource;
  upstreams: UpstreamDirectory;
  chooser: RunnerChooser;
  retries: RetryGate;
}

/** Idempotent requests wait this long for a lost link to come back before they are tried elsewhere. */
const IDEMPOTENT_SETTLE_MS = 200;

const RETRY_AFTER_MS = 1000;

/** Routes requests to runners. */
export class RequestRouter {
  readonly #ctx: ProcessContext;

  readonly #bundles: BundleSource;

  readonly #upstreams: UpstreamDirectory;

  readonly #chooser: RunnerChooser;

  readonly #retries: RetryGate;

  constructor({ ctx, bundles, upstreams, chooser, retries }: RequestRouterOptions) {
    this.#ctx = ctx;
    this.#bundles = bundles;
    this.#upstreams = upstreams;
    this.#chooser = chooser;
    this.#retries = retries;
    upstreams.onChange((change) => {
      if (change.type === 'left') chooser.forget(change.member.upstream.id);
    });
  }

  /** The runner's answer. Throws ProblemError with a truthful `ran` over all attempts. */
  async run(order: RequestOrder, options: RouteOptions): Promise<Answer> {
    const { account, kind } = order;
    const tried = new Set<string>();
    let ran: Ran = 'not-run';
    let failed: Problem | undefined;
    this.#retries.first(account);
    for (;;) {
      const runner = this.#choose(kind, tried);
      if (runner === undefined) throw withRan(failed ?? this.#noRunner(kind, tried), ran);
      if (failed !== undefined && !this.#mayRetry(account)) throw withRan(failed, ran);
      tried.add(runner.upstream.id);
      const end = await this.#attempt(order, runner, options);
      const { over } = options.life;
      const verdict = judge(end, { kind, runner: runner.upstream.id, over });
      if (verdict.type === 'answer') return verdict.answer;
      ran = mergeRan(ran, verdict.problem.ran);
      this.#note(order, runner, end);
      if (verdict.type === 'fail') throw withRan(verdict.problem, ran);
      if (over !== undefined) throw new ProblemError(lifeOver(over, ran));
      failed = verdict.problem;
    }
  }

  #choose(kind: Kind, tried: ReadonlySet<string>): RunnerMember | undefined {
    const drained = this.#bundles.current?.bundle.drained ?? [];
    const runners = this.#upstreams
      .runners(kind.name)
      .filter(({ upstream }) => !tried.has(upstream.id) && !drained.includes(upstream.id))
      .filter(({ guard }) => this.#upstreams.guardPeer(guard) !== undefined);
    return this.#chooser.choose(runners);
  }

  async #attempt(
    order: RequestOrder,
    runner: RunnerMember,
    { life, beforeSend, keepRunning }: RouteOptions,
  ): Promise<AttemptEnd> {
    const peer = this.#upstreams.guardPeer(runner.guard);
    if (peer === undefined) return { type: 'not-sent' };
    const { id: guard, incarnation } = peer.process;
    await beforeSend?.({ guard, incarnation });
    if (life.over !== undefined) return { type: 'life-over', sent: false };
    const { id } = runner.upstream;
    const startedAt = this.#ctx.clock.now();
    this.#chooser.started(id);
    const end = await runAttempt(this.#upstreams, peer, toRun(order, life), {
      life,
      ...(order.kind.idempotent ? { settleWithinMs: IDEMPOTENT_SETTLE_MS } : {}),
    });
    this.#chooser.ended(id, {
      ok: end.type === 'answered',
      ms: this.#ctx.clock.now() - startedAt,
      load: 'load' in end ? end.load : undefined,
    });
    if (end.type === 'life-over' && keepRunning !== true) cancel(peer, order.requestId);
    return end;
  }

  #mayRetry(account: string): boolean {
    const share = this.#bundles.current?.bundle.policy.retryBudget ?? 0;
    const may = this.#retries.tryRetry(account, share);
    this.#ctx.metrics.count(may ? 'request.retried' : 'request.retry-refused');
    return may;
  }

  #note({ requestId }: RequestOrder, runner: RunnerMember, end: AttemptEnd): void {
    this.#ctx.metrics.count(`request.attempt.${end.type}`);
    if (end.type !== 'lost' && end.type !== 'barred') return;
    const why = end.type === 'lost' ? end.why : 'never-seen';
    const event = end.type === 'lost' ? 'request.lost' : 'request.settled';
    this.#ctx.timeline.record(event, requestId, { runner: runner.upstream.id, why });
  }

  #noRunner(kind: Kind, tried: ReadonlySet<string>): Problem {
    const listed = this.#upstreams.runners(kind.name).length;
    return problem('no-upstream', {
      detail: `No linked runner takes requests of kind ${kind.name}.`,
      remedy: 'Try again shortly; operators: look at the runners and their guards.',
      retryAfterMs: RETRY_AFTER_MS,
      facts: { listed, tried: tried.size },
    });
  }
}

/** Tells a guard that nobody waits for the request any more. */
function cancel(peer: Peer, requestId: string): void {
  peer.call('request.cancel', { requestId }).catch(() => undefined);
}

function toRun(order: RequestOrder, life: RequestLife): RequestRun {
  const { requestId, account, kind, contentType, body } = order;
  return {
    requestId,
    account,
    kind: kind.name,
    idempotent: kind.idempotent,
    urgent: kind.urgency === 'urgent',
    timeLeftMs: life.timeLeftMs(),
    contentType,
    body,
  };
}

function withRan(cause: Problem, ran: Ran): ProblemError {
  return new ProblemError({ ...cause, ran: mergeRan(cause.ran, ran) });
}
