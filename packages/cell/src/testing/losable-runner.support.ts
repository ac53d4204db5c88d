/** A runner with one run for a guard of a test. It answers until it is lost. */
import { sleep } from '../clock/sleep.js';
import type {
  RunListing,
  RunnerAnswer,
  RunnerApi,
  RunnerIncarnation,
} from '../guard/runner-api.js';

/** Time that a call takes, in ms. */
const CALL_MS = 5;

/** Answers all calls until `isLost` is set. */
export class LosableRunner implements RunnerApi {
  isLost = false;

  /** False: no start is answered. */
  answersStarts = true;

  /** Start time of its present incarnation. */
  bornMs: number | undefined;

  /** Number of calls to start a run. */
  starts = 0;

  /** Number of leases that were passed to it. */
  leases = 0;

  /** What polls at addresses other than the runner's own do; it answers at any address that isn't listed. */
  readonly foreignAddresses = new Map<string, () => Promise<RunnerAnswer<RunListing>>>();

  constructor({ bornMs }: { bornMs?: number } = {}) {
    this.bornMs = bornMs;
  }

  async start(): Promise<RunnerAnswer> {
    this.starts += 1;
    return this.#answer({}, this.answersStarts);
  }

  async stop(): Promise<RunnerAnswer> {
    return this.#answer({});
  }

  async pace(): Promise<RunnerAnswer> {
    return this.#answer({});
  }

  async poll(
    { address }: RunnerIncarnation,
    { deadlineMs }: Parameters<RunnerApi['poll']>[1],
  ): Promise<RunnerAnswer<RunListing>> {
    const foreignCall = this.foreignAddresses.get(address);
    if (foreignCall !== undefined) return foreignCall();
    if (deadlineMs !== undefined) this.leases += 1;
    const run = { task: '0000000000000001.0.0.0', run: 1, checkpoint: '', percent: 3 };
    return this.#answer({ running: [run], ends: [], hasMoreEnds: false, bornMs: this.bornMs });
  }

  async #answer<T>(content: T, isAnswered = true): Promise<RunnerAnswer<T>> {
    await sleep(CALL_MS);
    if (this.isLost || !isAnswered) return { outcome: 'no-answer', detail: 'connection refused' };
    return { outcome: 'ok', clockMs: 0, ...content };
  }
}
