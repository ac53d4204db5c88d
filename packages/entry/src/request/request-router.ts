/** Takes one request to its end: chooses runners, attempts, retries and hedges within the budget. */
import {
  ProblemError,
  mergeRan,
  type Problem,
  type ProcessContext,
  type Ran,
  type RequestEnd,
} from '@zincspan/core';
import type { UpstreamDirectory } from '../membership/upstream-directory.js';
import { runAttempt, type Answer, type AttemptEnd, type AttemptTarget } from './attempt.js';
import {
  AttemptRace,
  type RaceEnd,
  type StartAttempt,
  type StartedAttempt,
} from './attempt-race.js';
import type { RequestLife } from './request-life.js';
import { toRequestRun, type RequestOrder } from './request-order.js';
import type { ChosenRunner, RunnerPool } from './runner-pool.js';
import { judge, lifeOver, type Verdict } from './verdict.js';

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

  /** Idempotent requests under way. */
  readonly #races = new Set<AttemptRace>();

  constructor({ ctx, upstreams, pool }: RequestRouterOptions) {
    this.#ctx = ctx;
    this.#upstreams = upstreams;
    this.#pool = pool;
    pool.onSilence((runner) => this.#races.forEach((race) => race.runnerSilent(runner)));
  }

  /** The runner's answer. Throws ProblemError with a truthful `ran` over all attempts. */
  async run(order: RequestOrder, options: RouteOptions): Promise<Answer> {
    const { account, kind } = order;
    const { life } = options;
    const tried = new Set<string>();
    let ran: Ran = 'not-run';
    let failed: Extract<Verdict, { type: 'retry' | 'reroute' }> | undefined;
    this.#pool.firstAttempt(account);
    for (;;) {
      const choice = this.#pool.choose(kind, life.timeLeftMs(), tried);
      if (choice.type === 'refused') throw withRan(failed?.problem ?? choice.problem, ran);
      if (failed?.type === 'retry' && !this.#pool.mayRetry(account)) {
        throw withRan(failed.problem, ran);
      }
      const { end, runner } = await this.#attempt(order, choice.runner, options, tried);
      const verdict = judge(end, { kind, runner, over: life.over });
      if (verdict.type === 'answer') return verdict.answer;
      ran = mergeRan(ran, verdict.problem.ran);
      this.#note(order, runner, end);
      if (verdict.type === 'reroute') this.#ctx.metrics.count('request.rerouted');
      if (verdict.type === 'fail') throw withRan(verdict.problem, ran);
      if (life.over !== undefined) throw new ProblemError(lifeOver(life.over, ran));
      failed = verdict;
    }
  }

  /** One attempt; of an idempotent kind with a copy elsewhere when it takes long or its runner falls silent. */
  async #attempt(
    order: RequestOrder,
    runner: ChosenRunner,
    options: RouteOptions,
    tried: Set<string>,
  ): Promise<RaceEnd> {
    const { life, beforeSend } = options;
    tried.add(runner.id);
    const { id: guard, incarnation } = runner.peer.process;
    await beforeSend?.({ guard, incarnation });
    if (life.over !== undefined) {
      return { end: { type: 'life-over', sent: false }, runner: runner.id };
    }
    const first = this.#start(order, runner, options);
    if (!order.kind.idempotent) return { end: await first.end, runner: runner.id };
    return this.#race(order, first, () => this.#startElsewhere(order, options, tried), life);
  }

  async #race(
    { account, kind }: RequestOrder,
    first: StartedAttempt,
    elsewhere: StartAttempt,
    life: RequestLife,
  ): Promise<RaceEnd> {
    const resend: StartAttempt = () => (this.#pool.mayRetry(account) ? elsewhere() : undefined);
    const hedge: StartAttempt = () =>
      this.#pool.mayHedge(account, kind) ? this.#counted('request.hedged', elsewhere()) : undefined;
    const race = new AttemptRace({ first, resend });
    const delayMs = this.#pool.hedgeDelayMs(kind, life.timeLeftMs());
    const timer = delayMs === undefined ? undefined : setTimeout(() => race.copy(hedge), delayMs);
    this.#races.add(race);
    try {
      const ended = await race.end;
      if (ended.copyWon !== undefined) this.#pool.copyEnded(kind, { won: ended.copyWon });
      return ended;
    } finally {
      clearTimeout(timer);
      this.#races.delete(race);
    }
  }

  #startElsewhere(
    order: RequestOrder,
    options: RouteOptions,
    tried: Set<string>,
  ): StartedAttempt | undefined {
    const { life } = options;
    if (life.over !== undefined) return undefined;
    const choice = this.#pool.choose(order.kind, life.timeLeftMs(), tried);
    if (choice.type === 'refused') return undefined;
    tried.add(choice.runner.id);
    return this.#start(order, choice.runner, options);
  }

  #counted<T>(name: string, started: T | undefined): T | undefined {
    if (started !== undefined) this.#ctx.metrics.count(name);
    return started;
  }

  #start(
    order: RequestOrder,
    { id, peer }: ChosenRunner,
    { life, keepRunning = false }: RouteOptions,
  ): StartedAttempt {
    const { clock } = this.#ctx;
    const kind = order.kind.name;
    const sentAt = clock.now();
    let open = true;
    const note = (end: RequestEnd): void => {
      if (open) this.#pool.ended(id, end);
      open = false;
    };
    const cancel = (): void => {
      note({ kind, how: 'abandoned', ms: clock.now() - sentAt });
      peer.call('request.cancel', { requestId: order.requestId }).catch(() => undefined);
    };
    const settleWithinMs = order.kind.idempotent ? IDEMPOTENT_SETTLE_MS : undefined;
    this.#pool.started(id);
    const end = runAttempt(this.#upstreams, peer, toRequestRun(order, life), {
      life,
      ...(settleWithinMs === undefined ? {} : { settleWithinMs }),
    }).then((attemptEnd) => {
      note({ kind, ...whatItSaysOfItsRunner(attemptEnd, clock.now() - sentAt) });
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

/** What an attempt that took `ms` says of its runner. A guard's own refusal says nothing of it. */
function whatItSaysOfItsRunner(end: AttemptEnd, ms: number): Omit<RequestEnd, 'kind'> {
  switch (end.type) {
    case 'answered': {
      const how = end.answer.status >= SERVER_ERROR ? 'failed' : 'answered';
      return { how, ms: end.serviceMs, elapsedMs: ms, load: end.load };
    }
    case 'refused': {
      const { load, problem: cause } = end;
      if (cause.kind === 'upstream-failed') return { how: 'failed', load };
      return { how: 'abandoned', load, ...(cause.ran === 'not-run' ? {} : { ms }) };
    }
    case 'life-over':
      return { how: 'abandoned', ...(end.sent ? { ms } : {}) };
    default:
      return { how: 'failed' };
  }
}

function withRan(cause: Problem, ran: Ran): ProblemError {
  return new ProblemError({ ...cause, ran: mergeRan(cause.ran, ran) });
}
