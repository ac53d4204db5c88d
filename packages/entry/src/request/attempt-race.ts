/** Copies of an idempotent request at several runners: the first answer counts, the other copies are cancelled. */
import type { AttemptEnd } from './attempt.js';

/** An attempt under way. */
export interface StartedAttempt {
  runner: string;
  end: Promise<AttemptEnd>;
  /** Tells its guard that nobody waits for it any more. */
  cancel(): void;
}

/** Which attempt ended, and how. */
export interface EndedAttempt {
  runner: string;
  end: AttemptEnd;
}

/** The end that counts. `copyWon` is there if copies were made and one of the attempts was answered. */
export interface RaceEnd extends EndedAttempt {
  copyWon?: boolean;
}

/** Starts one more attempt, if there may be one. */
export type StartAttempt = () => StartedAttempt | undefined;

/** One request's attempts at the same time. A copy is made only while a single attempt is open. */
export class AttemptRace {
  /** The first answer, or what is known once all attempts ended without one. */
  readonly end: Promise<RaceEnd>;

  readonly #first: StartedAttempt;

  readonly #resend: StartAttempt;

  readonly #open = new Map<string, StartedAttempt>();

  #copied = false;

  #over = false;

  #unanswered: EndedAttempt | undefined;

  #resolve!: (end: RaceEnd) => void;

  #reject!: (err: unknown) => void;

  constructor({ first, resend }: { first: StartedAttempt; resend: StartAttempt }) {
    this.#first = first;
    this.#resend = resend;
    this.end = new Promise((resolve, reject) => {
      this.#resolve = resolve;
      this.#reject = reject;
    });
    this.#add(first);
  }

  /** Starts a copy beside the only attempt, if `start` gives one. */
  copy(start: StartAttempt): void {
    if (this.#over || this.#open.size !== 1) return;
    const attempt = start();
    if (attempt === undefined) return;
    this.#copied = true;
    this.#add(attempt);
  }

  /** The runner doesn't answer any more: if all depends on it, the request goes elsewhere as well. */
  runnerSilent(runner: string): void {
    if (this.#open.has(runner)) this.copy(this.#resend);
  }

  #add(attempt: StartedAttempt): void {
    const { runner } = attempt;
    this.#open.set(runner, attempt);
    attempt.end.then(
      (end) => this.#ended({ runner, end }),
      (err: unknown) => {
        this.#finish();
        this.#reject(err);
      },
    );
  }

  #ended(ended: EndedAttempt): void {
    this.#open.delete(ended.runner);
    if (this.#over) return;
    if (ended.end.type === 'answered') {
      this.#finish();
      const copyWon = ended.runner !== this.#first.runner;
      this.#resolve({ ...ended, ...(this.#copied ? { copyWon } : {}) });
      return;
    }
    this.#unanswered = worse(this.#unanswered, ended);
    if (this.#open.size > 0) return;
    this.#finish();
    this.#resolve(this.#unanswered);
  }

  #finish(): void {
    this.#over = true;
    this.#open.forEach((attempt) => attempt.cancel());
  }
}

/** Of two ends without an answer the one that leaves open whether it ran. */
function worse(a: EndedAttempt | undefined, b: EndedAttempt): EndedAttempt {
  return a !== undefined && leavesOpen(a) ? a : b;
}

function leavesOpen({ end }: EndedAttempt): boolean {
  if (end.type === 'refused') return end.problem.ran !== 'not-run';
  return end.type === 'lost' || end.type === 'life-over';
}
