/**
 * Requests to the runner beside this guard: recorded before they run, queued for its slots, answered once.
 *
 * A request that is given up (cancelled, or past its deadline) is answered at once. Its slot stays taken until the
 * runner has answered or `GRACE_MS` have passed, since the runner may still be busy with it.
 */
import {
  RequestLedger,
  SlotQueue,
  ProblemError,
  type GuardSettings,
  type Problem,
  type ProcessContext,
  type RequestResult,
  type RequestRun,
  type Runner,
  type RunnerLoad,
  type SettleResult,
  type SlotChange,
} from '@zincspan/core';
import { Alarm } from '../alarm.js';
import { refuse, refuseKnown } from './request-problem.js';
import { RunnerClient } from './runner-client.js';

const GRACE_MS = 2000;

interface InProgress {
  req: RequestRun;
  deadlineAt: number;
  deadlineTimer: NodeJS.Timeout | undefined;
  running: boolean;
  answer: Promise<RequestResult>;
  resolve: (result: RequestResult) => void;
}

/** The sole way to one runner. */
export class RequestRunner {
  readonly #ctx: ProcessContext;

  readonly #ledger: RequestLedger;

  readonly #queuedRequests: number;

  readonly #inProgress = new Map<string, InProgress>();

  #runner: Runner | undefined;

  #client: RunnerClient | undefined;

  #queue: SlotQueue;

  readonly #alarm: Alarm;

  #draining = false;

  #onIdle: (() => void)[] = [];

  constructor({ ctx, settings }: { ctx: ProcessContext; settings: GuardSettings }) {
    const { limits } = settings;
    this.#ctx = ctx;
    this.#alarm = new Alarm({ clock: ctx.clock, ring: () => this.#advance() });
    this.#queuedRequests = limits.queuedRequests;
    this.#queue = new SlotQueue({ slots: 0, bound: limits.queuedRequests });
    this.#ledger = new RequestLedger({
      entries: limits.ledgerEntries,
      bytes: limits.ledgerBytes,
      ageMs: limits.ledgerMs,
    });
  }

  /** The present runner. Undefined when it leaves: what runs goes on, what is queued is refused. */
  setRunner(runner: Runner | undefined): void {
    const before = this.#runner;
    this.#runner = runner;
    if (!runner) {
      this.#refuseQueued();
      return;
    }
    const slots = Math.min(runner.slots, runner.connections);
    if (before?.address !== runner.address || this.#queue.slots !== slots) {
      this.#client = new RunnerClient(runner);
    }
    if (this.#queue.slots !== slots) this.#resize(slots);
  }

  /** Takes nothing new; resolves when nothing is in progress. */
  async drain(): Promise<void> {
    this.#draining = true;
    if (this.#inProgress.size === 0) return;
    await new Promise<void>((resolve) => {
      this.#onIdle.push(resolve);
    });
  }

  /** Takes requests again. */
  resume(): void {
    this.#draining = false;
  }

  stop(): void {
    this.#alarm.stop();
    this.#inProgress.forEach(({ deadlineTimer }) => clearTimeout(deadlineTimer));
    this.#client?.close();
  }

  /** Runs a request, or answers what became of it if its id is known. */
  async run(req: RequestRun): Promise<RequestResult> {
    const known = this.#inProgress.get(req.requestId);
    if (known) return known.answer;
    const refusal = this.#whyNotNow(req);
    if (refusal) return this.#toResult(refusal);
    const now = this.#ctx.clock.now();
    const recorded = this.#ledger.record(req.requestId, now);
    if (recorded.state === 'ended') return recorded.result;
    if (recorded.state !== 'recorded') return this.#toResult(refuseKnown(recorded.state));
    return this.#take(req, now);
  }

  /** What became of an id; bars it if it was never seen. */
  settle(requestId: string): SettleResult {
    this.#ctx.metrics.count('request.settle');
    return this.#ledger.settle(requestId, this.#ctx.clock.now());
  }

  /** The caller left: a queued request doesn't run, a running one is answered at once. */
  cancel(requestId: string): void {
    const entry = this.#inProgress.get(requestId);
    if (!entry) return;
    this.#queue.remove(requestId);
    this.#answer(entry, this.#toResult(refuse.cancelled(entry.running)));
  }

  get load(): RunnerLoad {
    return this.#queue.load;
  }

  #whyNotNow({ kind }: RequestRun): Problem | undefined {
    if (this.#draining) return refuse.draining();
    if (!this.#runner) return refuse.noRunner();
    const { kinds, id } = this.#runner;
    return kinds.length > 0 && !kinds.includes(kind) ? refuse.otherKind(kind, id) : undefined;
  }

  async #take(req: RequestRun, now: number): Promise<RequestResult> {
    const deadlineAt = now + req.timeLeftMs;
    const entry = this.#open(req, deadlineAt);
    try {
      const { account, kind, urgent, requestId: id } = req;
      this.#apply(this.#queue.offer({ id, account, kind, urgent, deadlineAt }, now));
    } catch (err) {
      if (!(err instanceof ProblemError)) throw err;
      this.#answer(entry, this.#toResult(err.problem));
    }
    return entry.answer;
  }

  #open(req: RequestRun, deadlineAt: number): InProgress {
    let resolve!: (result: RequestResult) => void;
    const answer = new Promise<RequestResult>((settle) => {
      resolve = settle;
    });
    const entry = { req, deadlineAt, deadlineTimer: undefined, running: false, answer, resolve };
    this.#inProgress.set(req.requestId, entry);
    return entry;
  }

  #apply({ start, drop }: SlotChange): void {
    drop.forEach(({ id, problem: cause }) => {
      const entry = this.#inProgress.get(id);
      if (entry) this.#answer(entry, this.#toResult(cause));
    });
    start.forEach((id) => {
      const entry = this.#inProgress.get(id);
      if (entry) void this.#pass(entry);
      else this.#release(id);
    });
    this.#alarm.set(this.#queue.nextAdvanceAt());
  }

  #advance(): void {
    this.#apply(this.#queue.advance(this.#ctx.clock.now()));
  }

  #release(id: string): void {
    this.#apply(this.#queue.release(id, this.#ctx.clock.now()));
  }

  /** Passes a request to the runner. */
  async #pass(entry: InProgress): Promise<void> {
    const { req, deadlineAt } = entry;
    const startedAt = this.#ctx.clock.now();
    const timeLeftMs = Math.max(0, deadlineAt - startedAt);
    Object.assign(entry, {
      running: true,
      deadlineTimer: setTimeout(() => {
        this.#ctx.metrics.count('request.silent');
        this.#answer(entry, this.#toResult(refuse.silent(req.timeLeftMs)));
      }, timeLeftMs),
    });
    const answer = await this.#client!.run(req, { timeLeftMs, timeoutMs: timeLeftMs + GRACE_MS });
    const serviceMs = this.#ctx.clock.now() - startedAt;
    this.#release(req.requestId);
    if (answer.outcome === 'problem') {
      this.#answer(entry, this.#toResult(answer.problem));
      return;
    }
    const { length } = answer.body;
    this.#answer(entry, { ...answer, length, serviceMs, load: this.load });
  }

  /** Gives the one answer; a later one is dropped. */
  #answer(entry: InProgress, result: RequestResult): void {
    const { requestId } = entry.req;
    if (this.#inProgress.get(requestId) !== entry) return;
    this.#inProgress.delete(requestId);
    clearTimeout(entry.deadlineTimer);
    this.#ledger.end(requestId, result, this.#ctx.clock.now());
    this.#ctx.metrics.count(
      result.outcome === 'answered' ? 'request.answered' : `request.${result.problem.kind}`,
    );
    entry.resolve(result);
    if (this.#inProgress.size === 0) this.#onIdle.splice(0).forEach((resolve) => resolve());
  }

  #toResult(cause: Problem): RequestResult {
    return { outcome: 'problem', problem: cause, load: this.load };
  }

  #refuseQueued(): void {
    [...this.#inProgress.values()]
      .filter(({ running }) => !running)
      .forEach((entry) => {
        this.#queue.remove(entry.req.requestId);
        this.#answer(entry, this.#toResult(refuse.noRunner()));
      });
  }

  /** A runner with another number of slots: what is queued goes to other runners. */
  #resize(slots: number): void {
    this.#refuseQueued();
    this.#queue = new SlotQueue({ slots, bound: this.#queuedRequests });
  }
}
