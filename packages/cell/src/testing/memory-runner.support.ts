/** An emulated runner as a guard of a test calls it, with answers that are lost and starts that come late. */
import type { RunnerModel } from '@zincspan/stand-ins';
import type {
  RunListing,
  RunnerAnswer,
  RunnerIncarnation,
  RunnerApi,
} from '../guard/runner-api.js';
import { sleep } from '../clock/sleep.js';

const ANSWER_MS = 1;

/** Calls one machine's runner, whichever life it is in. */
export class MemoryRunner implements RunnerApi {
  life: RunnerModel | undefined;

  /** No call gets through. */
  dark = false;

  /** Starts get no answer and are carried out after this long, in ms. */
  lateStartsMs: number | undefined;

  /** Starts that were sent while no call got through, and have been given up. */
  startsWithoutAnswer = 0;

  /** Starts that got no answer for that. */
  lateCalls = 0;

  /** So many starts have their connections reset, each second one only after it was carried out. */
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
      const answer = await this.#noTarget(timeoutMs);
      if (answer.outcome === 'no-answer') this.startsWithoutAnswer += 1;
      return answer;
    }
    if (lateStartsMs !== undefined) {
      // By then another life may be there, and takes it if it has the id that the call was meant for.
      setTimeout(() => this.#target(life)?.start(order), lateStartsMs);
      this.lateCalls += 1;
      await sleep(timeoutMs);
      return { outcome: 'no-answer', detail: 'late' };
    }
    await sleep(ANSWER_MS);
    if (this.resetStarts > 0) {
      this.resetStarts -= 1;
      if (this.resetStarts % 2 === 0) target.start(order);
      return { outcome: 'no-answer', detail: 'connection reset' };
    }
    const word = target.start(order);
    if (word === 'ok') return { outcome: 'ok', clockMs: target.clockMs };
    return { outcome: 'refused', reason: word, detail: word };
  }

  async stop(
    life: RunnerIncarnation,
    order: Parameters<RunnerApi['stop']>[1],
    { timeoutMs }: { timeoutMs: number },
  ): Promise<RunnerAnswer> {
    const target = this.#target(life);
    if (target === undefined) return this.#noTarget(timeoutMs);
    await sleep(ANSWER_MS);
    const word = target.stop(order);
    if (word === 'ok') return { outcome: 'ok', clockMs: target.clockMs };
    return { outcome: 'refused', reason: word, detail: word };
  }

  async pace(
    life: RunnerIncarnation,
    order: Parameters<RunnerApi['pace']>[1],
    { timeoutMs }: { timeoutMs: number },
  ): Promise<RunnerAnswer> {
    const target = this.#target(life);
    if (target === undefined) return this.#noTarget(timeoutMs);
    await sleep(ANSWER_MS);
    const word = target.pace(order);
    if (word === 'ok') return { outcome: 'ok', clockMs: target.clockMs };
    return { outcome: 'refused', reason: word, detail: word };
  }

  async poll(
    life: RunnerIncarnation,
    { term, confirmedEnd: confirmed, deadlineMs, waitMs }: Parameters<RunnerApi['poll']>[1],
    { timeoutMs }: { timeoutMs: number },
  ): Promise<RunnerAnswer<RunListing>> {
    const target = this.#target(life);
    if (target === undefined) return this.#noTarget(timeoutMs);
    await sleep(ANSWER_MS);
    const word = target.hold({ term, confirmed, deadlineMs });
    if (word !== 'ok') return { outcome: 'refused', reason: word, detail: word };
    if (waitMs > 0) await target.ended(waitMs);
    if (this.#target(life) === undefined) return this.#noTarget(0);
    return {
      outcome: 'ok',
      clockMs: target.clockMs,
      running: target.running(),
      ends: target.finished(),
      bornMs: target.bornMs,
    };
  }

  #target({ id }: RunnerIncarnation): RunnerModel | undefined {
    return !this.dark && this.life?.id === id ? this.life : undefined;
  }

  async #noTarget(
    timeoutMs: number,
  ): Promise<{ outcome: 'wrong-life' } | { outcome: 'no-answer'; detail: string }> {
    if (!this.dark && this.life !== undefined) return { outcome: 'wrong-life' };
    if (!this.dark) return { outcome: 'no-answer', detail: 'connection refused' };
    await sleep(timeoutMs);
    return { outcome: 'no-answer', detail: 'dark' };
  }
}
