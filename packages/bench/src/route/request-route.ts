/** One request at an entry of the driver: attempts, hedging, retries, its deadline. */
import type {
  HedgePolicy,
  LatencyTracker,
  Problem,
  RequestEnd,
  RetryBudget,
  RunnerChooser,
} from '@zincspan/core';
import type { BenchRequest, RequestEnding } from './bench-entry.js';
import type { FakeRunner, RunnerAnswer } from './fake-runner.js';
import type { VirtualTime } from './virtual-time.js';

/** What a route works with. */
export interface RouteDeps {
  time: VirtualTime;
  chooser: RunnerChooser;
  latency: LatencyTracker;
  budget: RetryBudget;
  hedging: HedgePolicy | undefined;
  runners: Map<string, FakeRunner>;
  linkMs(runner: FakeRunner): number;
}

interface Attempt {
  id: string;
  runner: FakeRunner;
  sentAt: number;
  ended: boolean;
}

/** Takes one request to its end, and its attempts to theirs. */
export class RequestRoute {
  readonly #deps: RouteDeps;

  readonly #req: BenchRequest;

  readonly #done: (end: RequestEnding) => void;

  readonly #attempts: Attempt[] = [];

  #over = false;

  /** Two attempts were open at once. */
  #copied = false;

  constructor(deps: RouteDeps, req: BenchRequest, done: (end: RequestEnding) => void) {
    this.#deps = deps;
    this.#req = req;
    this.#done = done;
  }

  start(): void {
    const { time, budget } = this.#deps;
    budget.firstAttempt(this.#req.account);
    const refused = this.#attempt();
    if (refused) {
      this.#finish({ type: 'refused', problem: refused });
      return;
    }
    time.after(this.#req.deadlineAt - time.now, () => this.#expire());
    this.#planHedge();
  }

  cancel(): void {
    this.#finish({ type: 'deadline' });
  }

  /** The runner doesn't answer any more: an idempotent request is tried elsewhere, under the budget. */
  runnerSilent(id: string): void {
    const { budget } = this.#deps;
    const open = this.#openAttempts();
    if (this.#over || !this.#req.idempotent || open.length !== 1 || open[0]?.runner.id !== id) {
      return;
    }
    if (budget.take(this.#req.account)) this.#copy();
  }

  /** Sends one more copy; returns the problem if no runner can take it. */
  #attempt(): Problem | undefined {
    const { chooser, time, runners } = this.#deps;
    const { kind, idempotent } = this.#req;
    const exclude = new Set(this.#attempts.map(({ runner }) => runner.id));
    const choice = chooser.choose({ kind, idempotent, exclude }, time.now);
    if (choice.type === 'refused') return choice.problem;
    const runner = runners.get(choice.runner) as FakeRunner;
    const id = `${this.#req.id}.${this.#attempts.length}`;
    const attempt = { id, runner, sentAt: time.now, ended: false };
    this.#attempts.push(attempt);
    chooser.started(runner.id, time.now);
    this.#send(attempt);
    return undefined;
  }

  #copy(): void {
    if (this.#attempt() === undefined) this.#copied = true;
  }

  #openAttempts(): Attempt[] {
    return this.#attempts.filter(({ ended }) => !ended);
  }

  #send(attempt: Attempt): void {
    const { time, linkMs } = this.#deps;
    const delayMs = linkMs(attempt.runner);
    const answer = (result: RunnerAnswer): void =>
      time.after(delayMs, () => this.#answered(attempt, result));
    time.after(delayMs, () => attempt.runner.receive({ ...this.#req, id: attempt.id, answer }));
  }

  #planHedge(): void {
    const { time, hedging, chooser } = this.#deps;
    const { kind, idempotent, deadlineAt, account } = this.#req;
    const delayMs = hedging?.delayMs({ kind, idempotent, timeLeftMs: deadlineAt - time.now });
    if (delayMs === undefined) return;
    time.after(delayMs, () => {
      const utilisation = chooser.utilisation(kind, time.now);
      if (this.#over || this.#openAttempts().length !== 1) return;
      if (hedging?.mayHedge({ account, kind, utilisation })) this.#copy();
    });
  }

  #answered(attempt: Attempt, result: RunnerAnswer): void {
    const { chooser, time } = this.#deps;
    const { kind } = this.#req;
    if (attempt.ended) return;
    Object.assign(attempt, { ended: true });
    const end = whatItSaysOfItsRunner(result, time.now - attempt.sentAt);
    chooser.ended(attempt.runner.id, { kind, ...end, load: result.load }, time.now);
    if (this.#over) return;
    if (result.outcome === 'answered') {
      const won = attempt !== this.#attempts[0];
      if (this.#copied) this.#deps.hedging?.copyEnded(kind, { won });
      this.#finish({ type: 'answered' });
    } else this.#refusedByGuard(result.problem);
  }

  /** Not run there: another runner may have room. */
  #refusedByGuard(cause: Problem): void {
    if (this.#openAttempts().length > 0) return;
    const mayRetry = this.#deps.budget.take(this.#req.account);
    const refused = mayRetry ? this.#attempt() : cause;
    if (refused) this.#finish({ type: 'refused', problem: refused });
  }

  #expire(): void {
    if (this.#over) return;
    this.#finish({ type: 'deadline' });
  }

  #finish(end: RequestEnding): void {
    if (this.#over) return;
    this.#over = true;
    this.#openAttempts().forEach((attempt) => this.#abandon(attempt));
    this.#done(end);
  }

  #abandon(attempt: Attempt): void {
    const { chooser, time, linkMs } = this.#deps;
    const { kind } = this.#req;
    Object.assign(attempt, { ended: true });
    const ms = time.now - attempt.sentAt;
    chooser.ended(attempt.runner.id, { kind, how: 'abandoned', ms }, time.now);
    time.after(linkMs(attempt.runner), () => attempt.runner.cancel(attempt.id));
  }
}

/** A guard's own refusal says nothing of its runner. */
function whatItSaysOfItsRunner(
  result: RunnerAnswer,
  elapsedMs: number,
): Omit<RequestEnd, 'kind' | 'load'> {
  if (result.outcome === 'problem') return { how: 'abandoned' };
  return { how: 'answered', ms: result.serviceMs, elapsedMs };
}
