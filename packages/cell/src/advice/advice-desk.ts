/** Asks the placement advisor, one question at a time: it handles a machine's calls in turn, and refuses long queues. */
import type { ProcessContext } from '@zincspan/core';
import type { AdviceBook } from './advice-book.js';
import type { Advisor } from './advisor.js';
import { runnerIdOf } from '../runner/incarnation-id.js';

/** An answer may take this long, in ms: a decision, a part for each runner, and what the advisor has before it. */
const ADVICE_TIMEOUT_MS = 5000;

/** After a question that failed nothing is asked for this long, in ms: the advisor may still be at work on it. */
const RETRY_PAUSE_MS = 300;

/** On which of these runners may the step run? */
export interface AdviceQuestion {
  step: string;
  runners: readonly string[];
}

/** One desk for one term of an owner. */
export class AdviceDesk {
  readonly #ctx: ProcessContext;

  readonly #advisor: Advisor;

  readonly #book: AdviceBook;

  readonly #onAdvice: () => void;

  #asking = false;

  #pauseUntil = -Infinity;

  constructor({
    ctx,
    advisor,
    book,
    onAdvice,
  }: {
    ctx: ProcessContext;
    advisor: Advisor;
    book: AdviceBook;
    /** The book has changed. */
    onAdvice: () => void;
  }) {
    this.#ctx = ctx;
    this.#advisor = advisor;
    this.#book = book;
    this.#onAdvice = onAdvice;
  }

  /** All questions that are open now, the most urgent first. Those that aren't repeated in the next call are dropped. */
  want(questions: readonly AdviceQuestion[]): void {
    const [first] = questions;
    if (first === undefined || this.#asking || this.#ctx.clock.now() < this.#pauseUntil) return;
    this.#asking = true;
    void this.#ask(first).finally(() => {
      this.#asking = false;
    });
  }

  async #ask({ step, runners }: AdviceQuestion): Promise<void> {
    const sentAt = this.#ctx.clock.now();
    // The advisor knows runners by their ids, and its tickets hold for their present lives.
    const lives = new Map(runners.map((life) => [runnerIdOf(life), life]));
    const ids = [...lives.keys()];
    const result = await this.#advisor.advise(step, ids, { timeoutMs: ADVICE_TIMEOUT_MS });
    const tookMs = Math.round(this.#ctx.clock.now() - sentAt);
    this.#ctx.metrics.timing('advice', tookMs);
    if (result.outcome === 'failed') {
      this.#ctx.metrics.count('advice.failed');
      this.#ctx.log.warn({ step, tookMs, detail: result.detail }, 'the placement advisor failed');
      this.#pauseUntil = this.#ctx.clock.now() + RETRY_PAUSE_MS;
      return;
    }
    const { validMs } = result;
    const approvals = result.approvals.flatMap(({ runner, ticket }) => {
      const life = lives.get(runner);
      return life === undefined ? [] : [{ runner: life, ticket }];
    });
    this.#book.note(step, { asked: runners, approvals, validMs, sentAt });
    this.#ctx.log.info(
      { step, asked: runners.length, approved: approvals.length, validMs, tookMs },
      'placement advised',
    );
    // Not in this turn: the desk is free only once this question has ended.
    setImmediate(this.#onAdvice);
  }
}
