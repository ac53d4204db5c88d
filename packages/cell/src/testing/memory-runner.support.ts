/** In-memory runner port for a guard of a test, with lost answers and delayed starts. */
import type { RunnerModel } from '@zincspan/stand-ins';
import type {
  RunListing,
  RunnerAnswer,
  RunnerIncarnation,
  RunnerApi,
} from '../guard/runner-api.js';
import { sleep } from '../clock/sleep.js';

const ANSWER_MS = 1;

/** Calls the emulated runner on one machine, whichever incarnation is current. */
export class MemoryRunner implements RunnerApi {
  life: RunnerModel | undefined;

  /** The runner is unreachable: no call gets through. */
  dark = false;

  /** Starts are not answered, and are executed after this delay, in ms. */
  lateStartsMs: number | undefined;

  /** Number of starts that timed out because the runner was unreachable. */
  unreachableStarts = 0;

  /** Number of starts that were delayed by `lateStartsMs`. */
  lateStarts = 0;

  /** The next so many starts get a connection reset, every second one only after it was executed. */
  resetStarts = 0;

  constructor(life: RunnerModel) {
    this.life = life;
  }

  async start(
    life: RunnerIncarnation,
    order: Parameters<RunnerApi['start']>[1],
    { timeoutMs }: { timeoutMs: number },
  ): Promise<RunnerAnswer> {
    const { lateStartsMs } = this;
    const target = this.#target(life);
    if (target === undefined) {
      const answer = await this.#answerWithoutTarget(timeoutMs);
      if (answer.outcome === 'no-answer') this.unreachableStarts += 1;
      return answer;
    }
    if (lateStartsMs !== undefined) {
      // By then another incarnation may be running, which accepts the start if it has the same id.
      setTimeout(() => this.#target(life)?.start(order), lateStartsMs);
      this.lateStarts += 1;
      await sleep(timeoutMs);
      return { outcome: 'no-answer', detail: 'start delayed' };
    }
    await sleep(ANSWER_MS);
    if (this.resetStarts > 0) {
      this.resetStarts -= 1;
      if (this.resetStarts % 2 === 0) target.start(order);
      return { outcome: 'no-answer', detail: 'connection reset' };
    }
    const reply = target.start(order);
    if (reply === 'ok') return { outcome: 'ok', clockMs: target.clockMs };
    return { outcome: 'refused', reason: reply, detail: reply };
  }

  async stop(
    life: RunnerIncarnation,
    order: Parameters<RunnerApi['stop']>[1],
    { timeoutMs }: { timeoutMs: number },
  ): Promise<RunnerAnswer> {
    const target = this.#target(life);
    if (target === undefined) return this.#answerWithoutTarget(timeoutMs);
    await sleep(ANSWER_MS);
    const reply = target.stop(order);
    if (reply === 'ok') return { outcome: 'ok', clockMs: target.clockMs };
    return { outcome: 'refused', reason: reply, detail: reply };
  }

  async pace(
    life: RunnerIncarnation,
    order: Parameters<RunnerApi['pace']>[1],
    { timeoutMs }: { timeoutMs: number },
  ): Promise<RunnerAnswer> {
    const target = this.#target(life);
    if (target === undefined) return this.#answerWithoutTarget(timeoutMs);
    await sleep(ANSWER_MS);
    const reply = target.pace(order);
    if (reply === 'ok') return { outcome: 'ok', clockMs: target.clockMs };
    return { outcome: 'refused', reason: reply, detail: reply };
  }

  async poll(
    life: RunnerIncarnation,
    { term, confirmedEnd: confirmed, deadlineMs, waitMs }: Parameters<RunnerApi['poll']>[1],
    { timeoutMs }: { timeoutMs: number },
  ): Promise<RunnerAnswer<RunListing>> {
    const target = this.#target(life);
    if (target === undefined) return this.#answerWithoutTarget(timeoutMs);
    await sleep(ANSWER_MS);
    const reply = target.hold({ term, confirmed, deadlineMs });
    if (reply !== 'ok') return { outcome: 'refused', reason: reply, detail: reply };
    if (waitMs > 0) await target.ended(waitMs);
    if (this.#target(life) === undefined) return this.#answerWithoutTarget(0);
    const ends = target.finished();
    return {
      outcome: 'ok',
      clockMs: target.clockMs,
      running: target.running(),
      ends,
      hasMoreEnds: ends.length >= target.maxListedEnds,
      bornMs: target.bornMs,
    };
  }

  #target({ id }: RunnerIncarnation): RunnerModel | undefined {
    return !this.dark && this.life?.id === id ? this.life : undefined;
  }

  async #answerWithoutTarget(
    timeoutMs: number,
  ): Promise<{ outcome: 'wrong-life' } | { outcome: 'no-answer'; detail: string }> {
    if (!this.dark && this.life !== undefined) return { outcome: 'wrong-life' };
    if (!this.dark) return { outcome: 'no-answer', detail: 'connection refused' };
    await sleep(timeoutMs);
    return { outcome: 'no-answer', detail: 'runner unreachable' };
  }
}
